"""Test which connections are closed to make room for others."""

import unittest
from unittest import mock

from trefoilstage.components.connections.limits import ClientLimits, plan_client_limits
from trefoilstage.components.connections.memory import MemoryAccount, MemoryLimitError
from trefoilstage.components.connections.table import ConnectionTable

MAX_BYTES = 160_000
MAX_CONNECTIONS = 5


class Connection:
    """Record whether a connection was closed."""

    def __init__(self, *, table: ConnectionTable) -> None:
        self.account = MemoryAccount(budget=table.budget)
        self.accounts = [self.account]
        self.is_closed = False
        self.is_admitted = table.admit(self)
        table.begin_wait(self)

    def close_for_room(self) -> None:
        """Record the end."""
        self.is_closed = True


class TableTest(unittest.TestCase):
    """Open more connections, or hold more bytes, than there is room for."""

    def setUp(self) -> None:
        limits = ClientLimits(max_bytes=MAX_BYTES, max_connections=MAX_CONNECTIONS)
        self.table = ConnectionTable(limits=limits)

    def open(self, n_connections: int) -> list[Connection]:
        """Open connections that wait for their clients."""
        return [Connection(table=self.table) for _ in range(n_connections)]

    def test_connection_that_waited_longest_is_closed(self) -> None:
        """Guard against ordinary callers that are refused for want of connections."""
        first, second, *_ = self.open(MAX_CONNECTIONS)
        self.table.end_wait(first)  # its request is at a target
        (newest,) = self.open(1)
        self.assertTrue(newest.is_admitted and second.is_closed)
        self.assertFalse(first.is_closed)
        self.assertEqual(self.table.n_open, MAX_CONNECTIONS)

    def test_requests_in_progress_are_not_closed(self) -> None:
        """Guard against requests that are cut for a new connection."""
        connections = self.open(MAX_CONNECTIONS)
        for connection in connections:
            self.table.end_wait(connection)
        self.assertFalse(self.open(1)[0].is_admitted)
        self.assertFalse(any(item.is_closed for item in connections))

    def test_balancers_are_admitted_while_callers_use_all(self) -> None:
        """Guard against a host that can't be checked, or stopped, in a crowd."""
        for connection in self.open(MAX_CONNECTIONS):
            self.table.end_wait(connection)
        balancer = mock.Mock()
        self.assertFalse(self.table.admit(mock.Mock()))
        self.assertTrue(self.table.admit(balancer, may_use_reserve=True))

    def test_small_request_fits_beside_what_slow_clients_hold(self) -> None:
        """Guard against a memory that slow clients fill up for all others."""
        slow = self.open(MAX_CONNECTIONS - 1)
        for connection in slow:
            with self.assertRaises(MemoryLimitError):
                while True:
                    connection.account.grow(MAX_BYTES // 32)
        (small,) = self.open(1)
        small.account.grow(MAX_BYTES // 16)
        self.assertTrue(slow[0].is_closed)
        self.assertFalse(slow[-1].is_closed)
        self.assertLessEqual(self.table.budget.n_bytes, MAX_BYTES)


class LimitsTest(unittest.TestCase):
    """Derive the limits from the smallest and the largest machines."""

    def test_limits_leave_most_of_a_machine(self) -> None:
        """Guard against limits that exceed a machine's memory or descriptors."""
        for memory_mb, n_descriptors in ((88.0, 4_100), (150.0, 4_200), (552.0, 8_192)):
            limits = plan_client_limits(memory_mb, n_descriptors)
            self.assertLessEqual(limits.max_bytes, memory_mb * 1_000_000 / 3)
            self.assertLessEqual(limits.max_connections, n_descriptors / 2)
            self.assertGreater(limits.max_bytes, 2 * 4_194_304)


if __name__ == "__main__":
    unittest.main()
