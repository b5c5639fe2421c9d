"""Test what reaches targets that name a limit, and what callers get, in emulation."""

import unittest
from statistics import fmean

from bench.emulator.callers import Result
from bench.emulator.results import compute_share
from bench.emulator.scenario import Fault, FaultKind, load_scenario
from bench.emulator.world import DayResult, run_day
from tests.emulator.common import make_warm_day

SEED = 1
SEEDS = (1, 2, 3)
MAX_BEHIND = 0.05
SECONDS = 14.0
PERIOD_S = 4.0
# The platform tolerates this much more than the limit, in each period.
TOLERANCE = 1.5
SLACK = 5.0
LIMIT_PER_S = 1.6
MIN_IN_TIME = 0.9
LIMIT = Fault(
    kind=FaultKind.TARGETS_NAME_LIMIT,
    at_s=1.0,
    for_s=SECONDS,
    share=0.34,
    factor=LIMIT_PER_S,
)


def count_peak(day: DayResult) -> int:
    """Return the most requests that reached a target that named a limit in a period."""
    return max(
        sum(start <= time < start + PERIOD_S for time in times)
        for times in day.limited_arrivals.values()
        for start in times or [0.0]
    )


def run_mixed_day(n_engines: int, seed: int, *faults: Fault) -> float:
    """Return the share of requests in time on a day of long and short prompts."""
    scenario = load_scenario("mixed-prompts")
    engines = scenario.engines.model_copy(update={"n": n_engines})
    changes = {"n_hosts": 7, "duration_s": 10.0, "faults": faults, "engines": engines}
    day = run_day(scenario.model_copy(update=changes), seed)
    return compute_share(day.outcomes, Result.IN_TIME)


class NamedLimitsTest(unittest.TestCase):
    """Test the rate at which requests reach targets that name a limit."""

    def run_and_check(self, n_hosts: int, *faults: Fault) -> DayResult:
        """Run a day and check that no target gets more than its limit allows."""
        day = run_day(make_warm_day(n_hosts, SECONDS, *faults), SEED)
        allowed = TOLERANCE * PERIOD_S * LIMIT_PER_S + SLACK
        self.assertLessEqual(count_peak(day), allowed)
        self.assertGreater(sum(map(len, day.limited_arrivals.values())), 0)
        return day

    def test_limit_holds_in_a_small_fleet(self) -> None:
        """Guard against targets in need that get more than the limit they named."""
        day = self.run_and_check(3, LIMIT)
        self.assertGreater(compute_share(day.outcomes, Result.IN_TIME), MIN_IN_TIME)

    def test_limit_holds_in_a_large_fleet(self) -> None:
        """Guard against a limit that each of many hosts keeps by itself."""
        day = self.run_and_check(40, LIMIT)
        self.assertGreater(compute_share(day.outcomes, Result.IN_TIME), MIN_IN_TIME)

    def test_limited_targets_cost_callers_no_more_than_lost_ones(self) -> None:
        """Guard against free targets that serve worse beside limited ones.

        Two of nine engines name a limit; the other fleet has the other seven only.
        """
        limit = LIMIT.model_copy(update={"share": 0.22, "factor": 1.2})
        limited = [run_mixed_day(9, seed, limit) for seed in SEEDS]
        lost = [run_mixed_day(7, seed) for seed in SEEDS]
        self.assertGreater(fmean(limited), fmean(lost) - MAX_BEHIND)

    def test_limit_holds_while_hosts_are_cut_and_started(self) -> None:
        """Guard against hosts that each keep the limit by themselves in a fault."""
        faults = (
            LIMIT,
            Fault(kind=FaultKind.STORE_CUT, at_s=4.5, for_s=5.0, share=0.5),
            Fault(kind=FaultKind.HOSTS_KILLED, at_s=6.0, for_s=1.0, share=0.3),
        )
        self.run_and_check(22, *faults)


if __name__ == "__main__":
    unittest.main()
