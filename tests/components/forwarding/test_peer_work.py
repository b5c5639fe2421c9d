"""Test how long the work of peer hosts is stored."""

import unittest

from trefoilstage.components.forwarding.peer_work import (
    MAX_REPORT_AGE_S,
    MAX_TOTALS_AGE_S,
    HomeTotals,
    PeerWork,
)
from trefoilstage.components.forwarding.work import Work

ONE = Work(n_requests=1)


class PeerWorkTest(unittest.TestCase):
    """Test the reports of peer hosts."""

    def test_work_counts_until_its_report_expires(self) -> None:
        peer_work = PeerWork()
        peer_work.receive_report("host-1", {"i-1": ONE}, 0.0)
        peer_work.receive_report("host-2", {"i-1": ONE, "i-2": ONE}, 1.0)
        self.assertEqual(peer_work.list_work("i-1", 1.0), [ONE, ONE])
        self.assertEqual(peer_work.list_work("i-1", 1.0, except_host="host-2"), [ONE])
        self.assertEqual(peer_work.list_work("i-1", MAX_REPORT_AGE_S + 0.1), [ONE])

    def test_reports_of_replaced_hosts_are_removed(self) -> None:
        """Guard against memory that grows with each host that ever reported."""
        peer_work = PeerWork()
        for number in range(1_000):
            peer_work.receive_report(f"host-{number}", {"i-1": ONE}, number * 0.1)
            peer_work.remove_expired(number * 0.1)
        self.assertLess(len(peer_work.reports), 20)


class HomeTotalsTest(unittest.TestCase):
    """Test the totals returned by home hosts."""

    def test_total_expires(self) -> None:
        home_totals = HomeTotals()
        home_totals.receive_totals({"i-1": ONE}, {"i-1": 7}, 1.0)
        self.assertEqual(
            home_totals.list_work("i-1", 1.0 + MAX_TOTALS_AGE_S / 2), [ONE]
        )
        self.assertEqual(home_totals.list_work("i-1", 1.0 + 2 * MAX_TOTALS_AGE_S), [])
        self.assertEqual(home_totals.list_work("i-2", 1.0), [])
        self.assertEqual(home_totals.count_recent("i-1", 1.0), 7)
        later = 1.0 + 2 * MAX_TOTALS_AGE_S
        self.assertEqual(home_totals.count_recent("i-1", later), 0)

    def test_totals_of_ended_targets_are_removed(self) -> None:
        """Guard against memory that grows with each start of a target."""
        home_totals = HomeTotals()
        for number in range(1_000):
            home_totals.receive_totals({f"i-1@{number}": ONE}, {}, number * 0.1)
            home_totals.remove_expired(number * 0.1)
        self.assertLess(len(home_totals.totals), 5)


if __name__ == "__main__":
    unittest.main()
