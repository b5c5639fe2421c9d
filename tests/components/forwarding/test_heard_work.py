"""Test what is kept of other hosts' work."""

import unittest

from trefoilstage.components.forwarding.heard_work import (
    MAX_REPORT_AGE_S,
    MAX_TOTALS_AGE_S,
    HomeTotals,
    PeerWork,
)
from trefoilstage.components.forwarding.work import Work

ONE = Work(n_requests=1)


class HeardWorkTest(unittest.TestCase):
    """Hear reports of hosts."""

    def test_work_counts_until_its_host_is_silent(self) -> None:
        heard = PeerWork()
        heard.receive_report("host-1", {"i-1": ONE}, 0.0)
        heard.receive_report("host-2", {"i-1": ONE, "i-2": ONE}, 1.0)
        self.assertEqual(heard.list_work("i-1", 1.0), [ONE, ONE])
        self.assertEqual(heard.list_work("i-1", 1.0, except_host="host-2"), [ONE])
        self.assertEqual(heard.list_work("i-1", MAX_REPORT_AGE_S + 0.1), [ONE])

    def test_replaced_hosts_are_forgotten(self) -> None:
        """Guard against memory that grows with each host that was ever heard."""
        heard = PeerWork()
        for number in range(1_000):
            heard.receive_report(f"host-{number}", {"i-1": ONE}, number * 0.1)
            heard.remove_expired(number * 0.1)
        self.assertLess(len(heard.reports), 20)


class AskedWorkTest(unittest.TestCase):
    """Take in totals that were asked for."""

    def test_total_counts_for_a_moment(self) -> None:
        asked = HomeTotals()
        asked.receive_totals({"i-1": ONE}, 1.0)
        self.assertEqual(asked.list_work("i-1", 1.0 + MAX_TOTALS_AGE_S / 2), [ONE])
        self.assertEqual(asked.list_work("i-1", 1.0 + 2 * MAX_TOTALS_AGE_S), [])
        self.assertEqual(asked.list_work("i-2", 1.0), [])

    def test_ended_targets_are_forgotten(self) -> None:
        """Guard against memory that grows with each start of a target."""
        asked = HomeTotals()
        for number in range(1_000):
            asked.receive_totals({f"i-1@{number}": ONE}, number * 0.1)
            asked.remove_expired(number * 0.1)
        self.assertLess(len(asked.totals), 5)


if __name__ == "__main__":
    unittest.main()
