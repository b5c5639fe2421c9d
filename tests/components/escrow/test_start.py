"""Test the load on the store when a large fleet starts."""

import unittest

from tests.components.boards import make_board
from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.call_intervals import STABLE_FLEET_S

N_HOSTS = 20
SILENT_S = 3.0


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Test when a home first draws for its workspaces."""

    def start_hosts(self, n_hosts: int) -> EscrowCluster:
        """Return hosts of which one has just received another's first heartbeat."""
        cluster = EscrowCluster(prepaid=200_000, home="brest-0")
        cluster.timer.time = 10.0
        for number in range(n_hosts):
            cluster.start(f"brest-{number}")
        cluster.update_all_peers()
        cluster.boards["brest-0"].live_changed_at = cluster.timer.time
        return cluster

    async def check_stocks(self, cluster: EscrowCluster) -> bool:
        """Let the home check its stocks; return whether it draws."""
        home = cluster.homes["brest-0"]
        await home._check_stocks()
        draw = home._account_tasks.get(WORKSPACE)
        if draw is not None:
            await draw
        return draw is not None

    async def test_home_does_not_draw_while_the_live_hosts_change(self) -> None:
        """Check the stocks while the live hosts change and after they are stable.

        A host that knows few others considers itself the home of most workspaces. 83
        starting hosts made 1,100 draws in a second that the store refused, besides 365
        that it accepted.
        """
        cluster = self.start_hosts(N_HOSTS)
        self.assertFalse(await self.check_stocks(cluster))
        cluster.timer.time += STABLE_FLEET_S
        cluster.update_all_peers()
        self.assertTrue(await self.check_stocks(cluster))

    async def test_waiting_request_causes_an_immediate_draw(self) -> None:
        cluster = self.start_hosts(N_HOSTS)
        self.assertTrue(await cluster.hold("brest-0", "brest-1", WORKSPACE, "a", 1_000))

    async def test_small_fleet_draws_immediately(self) -> None:
        cluster = self.start_hosts(5)
        self.assertTrue(await self.check_stocks(cluster))


class LiveHostsTest(unittest.TestCase):
    """Test when the set of live hosts counts as changed."""

    def test_lost_and_returned_hosts_are_a_change(self) -> None:
        """Miss the heartbeats of one of three hosts, then receive one again."""
        board = make_board("host-0", ["host-1", "host-2"])
        self.assertEqual(board.list_live_hosts(1.0, SILENT_S)[1:], ("host-1", "host-2"))
        board.peers["host-1"].last_heard = 5.0
        self.assertEqual(board.list_live_hosts(5.0, SILENT_S), ("host-0", "host-1"))
        self.assertEqual(board.live_changed_at, 5.0)
        board.peers["host-2"].last_heard = 6.0
        board.invalidate_live_hosts()
        self.assertEqual(len(board.list_live_hosts(6.0, SILENT_S)), 3)
        self.assertEqual(board.live_changed_at, 6.0)

    def test_heartbeat_within_the_timeout_is_no_change(self) -> None:
        board = make_board("host-0", ["host-1"])
        board.list_live_hosts(1.0, SILENT_S)
        board.peers["host-1"].last_heard = 4.0
        board.invalidate_live_hosts()
        board.list_live_hosts(4.0, SILENT_S)
        self.assertEqual(board.live_changed_at, 1.0)


if __name__ == "__main__":
    unittest.main()
