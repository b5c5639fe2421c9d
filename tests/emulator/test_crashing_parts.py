"""Test the outcomes while one part of prompts crashes each engine that runs it."""

import unittest

from bench.emulator.callers import Outcome
from bench.emulator.crashing_requests import CrashTimes
from bench.emulator.scenario import Fault, FaultKind, PartPosition, load_scenario
from bench.emulator.world import DayResult, run_day
from trefoilstage.helpers.verdict import Reason

SEEDS = (1, 2)
# In each, one part crashed a target together with the other, or answered once.
TWO_PARTS_SEEDS = (2, 4)
DURATION_S = 22.0
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
POPULAR_KIND = "hot-draft"  # all about one subject


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
                fault = make_part_fault(DURATION_S)
                self.check(run_part_day("long-prompts", DURATION_S, seed, fault))

    def check_small_day(self, seed: int, *faults: Fault) -> None:
        """Check a day of a small fleet with the given faults."""
        self.check(run_part_day("long-prompts", DURATION_S, seed, *faults))

    def test_part_is_found_although_ports_stay_open(self) -> None:
        """Guard against crashes that go unnoticed as engines' ports stay open."""
        fault = make_part_fault(DURATION_S, keeps_port=True)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_small_day(seed, fault)

    def test_first_part_of_prompts_is_blocked(self) -> None:
        """Guard against a part that is looked for only behind others."""
        fault = make_part_fault(DURATION_S, position=PartPosition.FIRST)
        self.check_small_day(SEEDS[0], fault)

    def test_two_parts_at_once_are_blocked(self) -> None:
        """Guard against a crashing part whose crashes another one explains."""
        faults = (
            make_part_fault(DURATION_S),
            make_part_fault(
                DURATION_S, at_s=PART_AT_S + 0.3, position=PartPosition.FIRST
            ),
        )
        for seed in TWO_PARTS_SEEDS:
            with self.subTest(seed=seed):
                self.check_small_day(seed, *faults)

    def test_part_is_blocked_while_hosts_are_killed(self) -> None:
        """Guard against evidence that is lost with the hosts that saw the crashes."""
        killed = [
            Fault(kind=FaultKind.HOSTS_KILLED, at_s=at, for_s=1.0, share=share)
            for at, share in ((5.5, 0.34), (7.0, 0.34), (9.0, 1.0))
        ]
        self.check_small_day(SEEDS[0], make_part_fault(DURATION_S), *killed)

    def test_part_is_blocked_while_hosts_are_cut_off(self) -> None:
        """Guard against hosts that learn of crashes from the store only."""
        cuts = (
            (FaultKind.STORE_CUT, 1.0),
            (FaultKind.HOSTS_CUT_FROM_TARGETS, 0.5),
        )
        for kind, share in cuts:
            with self.subTest(kind=kind):
                cut = Fault(kind=kind, at_s=PART_AT_S - 1.0, for_s=8.0, share=share)
                self.check_small_day(SEEDS[1], make_part_fault(DURATION_S), cut)

    def test_popular_part_is_served_when_engines_end_by_themselves(self) -> None:
        """Guard against refusing a part that is under way whenever a target ends."""
        ends = [
            Fault(kind=FaultKind.ENGINES_CRASHED, at_s=at, for_s=1.0, share=0.2)
            for at in (2.0, 3.0, 4.0, 5.0, 6.0, 7.0)
        ]
        day = run_part_day("many-targets", 9.0, SEEDS[0], *ends)
        popular = [item for item in day.outcomes if item.kind == POPULAR_KIND]
        self.assertGreater(len(popular), MIN_SAMPLE)
        reasons = {item.reason for item in popular}
        self.assertNotIn(Reason.CRASHES_TARGETS, reasons)

    def test_large_fleet_stops_the_part(self) -> None:
        """Guard against crashes under a part that only some of many hosts know."""
        fault = make_part_fault(18.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(run_part_day("many-targets", 18.0, seed, fault))


if __name__ == "__main__":
    unittest.main()
