"""Test the outcomes while one part of prompts crashes each engine that runs it."""

import unittest

from bench.emulator.callers import Outcome
from bench.emulator.crashing_requests import CrashTimes
from bench.emulator.scenario import Fault, FaultKind, load_scenario
from bench.emulator.world import DayResult, run_day

SEEDS = (1, 2)
PART_AT_S = 5.0  # requests with the part begin
PARTS_PER_S = 2.0
# The platform's terms: from this time after the fifth crash on, at most three requests
# with the part may reach engines.
STABLE_WINDOW_S = 3.0
N_EXCUSED_CRASHES = 5
MAX_LATE_ARRIVALS = 3
# From twice the window on, sound requests of the route begin at their first attempt at
# least half as often as before.
MIN_SERVED_SHARE = 0.5
MIN_SAMPLE = 20
AFFECTED_KIND = "summary"  # on whose route the part comes


def make_part_fault(duration_s: float, **changes: object) -> Fault:
    """Return a part that crashes engines from its time until the day's end."""
    fault = Fault(
        kind=FaultKind.CRASHING_PART,
        at_s=PART_AT_S,
        for_s=duration_s - PART_AT_S,
        factor=PARTS_PER_S,
    )
    return fault.model_copy(update=changes)


def run_part_day(name: str, duration_s: float, seed: int, *faults: Fault) -> DayResult:
    """Run a day with the given faults instead of its own."""
    scenario = load_scenario(name)
    changes = {"duration_s": duration_s, "faults": faults}
    return run_day(scenario.model_copy(update=changes), seed)


def list_late_arrivals(times: CrashTimes) -> list[float]:
    """Return the arrivals that the platform's terms count."""
    if len(times.crashes) < N_EXCUSED_CRASHES:
        return []
    counted_from = times.crashes[N_EXCUSED_CRASHES - 1] + STABLE_WINDOW_S
    return [at for at in times.arrivals if at > counted_from]


def find_block_start(day: DayResult) -> float:
    """Return when sound requests have to begin again as often as before."""
    crashes = [
        min(times.crashes[-1], times.crashes[:N_EXCUSED_CRASHES][-1])
        for times in day.crashing_parts.values()
    ]
    return max(crashes) + 2 * STABLE_WINDOW_S


def compute_first_served(outcomes: list[Outcome]) -> float:
    """Return the share of requests that were served at their first attempt."""
    return sum(item.is_first_served for item in outcomes) / len(outcomes)


class CrashingPartTest(unittest.TestCase):
    """Test different requests that share a part that crashes engines."""

    def check(self, day: DayResult) -> None:
        """Check the bounds on crashing requests, and that sound ones are served."""
        for times in day.crashing_parts.values():
            self.assertLessEqual(len(list_late_arrivals(times)), MAX_LATE_ARRIVALS)
        begin = min(item.requested_at for item in day.outcomes)
        sound = [item for item in day.outcomes if item.kind == AFFECTED_KIND]
        before = [item for item in sound if item.requested_at - begin < PART_AT_S]
        start = find_block_start(day)
        after = [item for item in sound if item.requested_at > start]
        self.assertGreaterEqual(min(len(before), len(after)), MIN_SAMPLE)
        share = compute_first_served(after) / compute_first_served(before)
        self.assertGreaterEqual(share, MIN_SERVED_SHARE)

    def test_different_requests_with_the_part_stop_crashing_engines(self) -> None:
        """Guard against a part that crashes engines in ever new requests."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fault = make_part_fault(22.0)
                self.check(run_part_day("long-prompts", 22.0, seed, fault))

    def test_large_fleet_stops_the_part(self) -> None:
        """Guard against crashes under a part that only some of many hosts know."""
        fault = make_part_fault(18.0)
        self.check(run_part_day("many-targets", 18.0, SEEDS[0], fault))


if __name__ == "__main__":
    unittest.main()
