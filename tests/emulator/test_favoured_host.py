"""Test what callers get while the balancer favours one host, in emulation."""

import unittest

from bench.emulator.callers import Outcome
from bench.emulator.scenario import Fault, FaultKind, load_scenario
from bench.emulator.world import DayResult, run_day

SEED = 1
SECONDS = 14.0
FAVOURED_AT_S = 6.0
FAVOURED_S = 7.0
STABLE_WINDOW_S = 3.0
MIN_RATIO = 3 / 4
MIN_SAMPLE = 20
MIN_FAVOURED_SHARE = 0.5


def run_favoured_day(name: str, *faults: Fault) -> DayResult:
    """Run a day on which most first attempts go to one host for some time."""
    favoured = Fault(
        kind=FaultKind.HOST_FAVOURED,
        at_s=FAVOURED_AT_S,
        for_s=FAVOURED_S,
        share=1.0,
    )
    changes = {"duration_s": SECONDS, "faults": (favoured, *faults)}
    return run_day(load_scenario(name).model_copy(update=changes), SEED)


def compute_served(outcomes: list[Outcome]) -> float:
    """Return the share of requests that were served at their first attempt."""
    return sum(item.is_first_served for item in outcomes) / len(outcomes)


class FavouredHostTest(unittest.TestCase):
    """Send four of five first attempts to one host."""

    def check(self, day: DayResult) -> None:
        """Check that first attempts are served nearly as often as before."""
        begin = min(item.requested_at for item in day.outcomes)
        favoured_at = begin + FAVOURED_AT_S
        before = [item for item in day.outcomes if item.requested_at < favoured_at]
        during = [
            item
            for item in day.outcomes
            if favoured_at + STABLE_WINDOW_S
            < item.requested_at
            < favoured_at + FAVOURED_S
        ]
        self.assertGreater(min(len(before), len(during)), MIN_SAMPLE)
        hosts = [item.first_host for item in during]
        n_most = max(hosts.count(name) for name in set(hosts))
        self.assertGreater(n_most, MIN_FAVOURED_SHARE * len(hosts))
        ratio = compute_served(during) / compute_served(before)
        self.assertGreaterEqual(ratio, MIN_RATIO)

    def test_favoured_host_of_a_small_fleet_serves_its_callers(self) -> None:
        """Guard against a host that serves only its usual share of the requests."""
        self.check(run_favoured_day("long-prompts"))

    def test_favoured_host_of_a_large_fleet_serves_its_callers(self) -> None:
        """Guard against tokens and places that are dealt out in equal shares."""
        self.check(run_favoured_day("many-targets"))

    def test_favoured_host_serves_while_targets_have_limits(self) -> None:
        """Guard against a host's share of limits that does not follow its callers."""
        for kind, factor in (
            (FaultKind.TARGETS_BRITTLE, 10.0),
            (FaultKind.TARGETS_NAME_LIMIT, 12.0),
        ):
            with self.subTest(kind=kind):
                limits = Fault(kind=kind, at_s=2.0, for_s=12.0, factor=factor)
                self.check(run_favoured_day("long-prompts", limits))

    def test_next_host_is_favoured_when_the_first_is_killed(self) -> None:
        """Guard against callers that are lost as the favoured host changes."""
        killed = Fault(kind=FaultKind.HOSTS_KILLED, at_s=8.0, for_s=3.0, share=0.3)
        self.check(run_favoured_day("long-prompts", killed))


if __name__ == "__main__":
    unittest.main()
