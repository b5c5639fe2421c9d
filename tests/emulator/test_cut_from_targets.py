"""Test what callers get from hosts that are cut from all targets, in emulation."""

import unittest
from collections.abc import Sequence

from bench.emulator.callers import Outcome
from bench.emulator.scenario import Fault, FaultKind
from bench.emulator.world import DayResult, run_day
from standins.proxy import CutMode
from tests.emulator.common import make_warm_day

SEED = 1
SECONDS = 12.0
CUT_AT_S = 2.0
CUT_S = 8.0
# Hosts may take this long to notice a cut.
NOTICE_S = 3.0
MIN_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
MIN_SERVED = 0.95


def make_cut(mode: CutMode, share: float) -> Fault:
    """Return a cut of a share of the hosts."""
    return Fault(
        kind=FaultKind.HOSTS_CUT_FROM_TARGETS,
        at_s=CUT_AT_S,
        for_s=CUT_S,
        share=share,
        mode=mode,
    )


def compute_served(outcomes: Sequence[Outcome]) -> float:
    """Return the share of requests that were served at their first attempt."""
    return sum(item.is_first_served for item in outcomes) / max(1, len(outcomes))


class CutFromTargetsTest(unittest.TestCase):
    """Cut hosts from all targets, while callers, store and peers reach them."""

    def check_first_attempts(self, day: DayResult) -> None:
        """Check that cut hosts serve first attempts nearly as often as others."""
        begins_at = min(item.requested_at for item in day.outcomes)
        since = begins_at + CUT_AT_S + NOTICE_S
        until = begins_at + CUT_AT_S + CUT_S
        during = [item for item in day.outcomes if since < item.requested_at < until]
        cut = [item for item in during if item.first_host in day.cut_hosts]
        others = [item for item in during if item.first_host not in day.cut_hosts]
        n_failed = sum(not item.is_first_served for item in cut)
        self.assertGreaterEqual(compute_served(cut), MIN_RATIO * compute_served(others))
        self.assertLessEqual(n_failed, MAX_FAILED + MAX_FAILED_SHARE * len(during))
        self.assertGreater(compute_served(others), MIN_SERVED)

    def test_callers_of_cut_hosts_are_served(self) -> None:
        """Guard against hosts that know no way to the targets but their own links."""
        for mode in CutMode:
            with self.subTest(mode=mode):
                fault = make_cut(mode, 4 / 7)
                self.check_first_attempts(
                    run_day(make_warm_day(7, SECONDS, fault), SEED)
                )

    def test_callers_of_hosts_cut_from_one_service_are_served(self) -> None:
        """Guard against links to one service that are judged by those to another."""
        for targets in ("engine", "service"):
            for mode in CutMode:
                with self.subTest(targets=targets, mode=mode):
                    cut = make_cut(mode, 4 / 7)
                    fault = cut.model_copy(update={"targets": targets})
                    day = run_day(make_warm_day(7, SECONDS, fault), SEED)
                    self.check_first_attempts(day)

    def test_callers_of_cut_hosts_are_served_in_a_large_fleet(self) -> None:
        """Guard against hosts that find no peer that reaches the targets."""
        for mode in CutMode:
            with self.subTest(mode=mode):
                fault = make_cut(mode, 0.6)
                self.check_first_attempts(
                    run_day(make_warm_day(40, SECONDS, fault), SEED)
                )

    def test_cut_hosts_report_no_crashes(self) -> None:
        """Guard against lost links that are taken for crashes of targets.

        Sound requests under way would be blocked on all hosts.
        """
        for n_hosts in (7, 40):
            for mode in CutMode:
                with self.subTest(n_hosts=n_hosts, mode=mode):
                    fault = make_cut(mode, 4 / 7)
                    day = run_day(make_warm_day(n_hosts, SECONDS, fault), SEED)
                    self.assertEqual(day.n_crash_reports, 0)


if __name__ == "__main__":
    unittest.main()
