"""Test that streams keep to the version that began them, in emulation."""

import unittest
from collections.abc import Sequence

from bench.emulator.callers import Outcome
from bench.emulator.scenario import Fault, FaultKind
from bench.emulator.world import DayResult, run_day
from tests.emulator.common import make_warm_day

SECONDS = 8.0
N_VERSIONS = 2
OUTPUT_TOKENS = 400.0  # a stream takes 2 s
# The share of streams that go on, relative to the share of new streams that begin.
MIN_GONE_ON = 0.5
MIN_TAKEN_UP = 12


def run_mixed_day(
    n_hosts: int, *faults: Fault, callers_resume: bool, seed: int = 1
) -> DayResult:
    """Run a day with engines of two versions."""
    scenario = make_warm_day(n_hosts, SECONDS, *faults)
    engines = scenario.engines.model_copy(update={"n_versions": N_VERSIONS})
    kinds = tuple(
        kind.model_copy(update={"output_tokens": OUTPUT_TOKENS * kind.resumable})
        for kind in scenario.kinds
    )
    changes = {
        "engines": engines,
        "kinds": kinds,
        "callers_resume": callers_resume,
    }
    return run_day(scenario.model_copy(update=changes), seed)


def count_mixed(outcomes: Sequence[Outcome]) -> int:
    """Return how many callers hold events of several versions."""
    return sum(len(item.stream.versions) > 1 for item in outcomes)


def crash_engines(*times_s: float) -> list[Fault]:
    """Return crashes of different engines, one after another."""
    kind = FaultKind.ENGINES_CRASHED
    return [Fault(kind=kind, at_s=at_s, for_s=1.5, share=0.3) for at_s in times_s]


def kill_hosts(share: float) -> list[Fault]:
    """Return faults that kill hosts, and some engines just before."""
    kind = FaultKind.HOSTS_KILLED
    killed = Fault(kind=kind, at_s=4.0, for_s=1.0, share=share)
    return [*crash_engines(3.98), killed]


class VersionsTest(unittest.TestCase):
    """Play days on which engines of two versions serve side by side."""

    def check_gone_on(self, outcomes: Sequence[Outcome]) -> None:
        """Check that broken streams go on nearly as often as new ones begin."""
        streams = [item for item in outcomes if item.kind != "lookup"]
        n_begun = sum(bool(item.stream.first_id) for item in streams)
        n_taken_up = sum(item.stream.n_taken_up > 0 for item in streams)
        n_gone_on = sum(item.stream.n_gone_on > 0 for item in streams)
        self.assertGreaterEqual(n_taken_up, MIN_TAKEN_UP)
        begun_share = n_begun / len(streams)
        self.assertGreaterEqual(n_gone_on / n_taken_up, MIN_GONE_ON * begun_share)

    def check_within_an_answer(self, n_hosts: int) -> None:
        """Check the streams that hosts send on after a crash of engines."""
        day = run_mixed_day(n_hosts, *crash_engines(2.0, 4.0), callers_resume=False)
        self.assertEqual(count_mixed(day.outcomes), 0)

    def check_over_attempts(self, n_hosts: int) -> None:
        """Check the streams that callers take up after their hosts were killed."""
        day = run_mixed_day(n_hosts, *kill_hosts(0.4), callers_resume=True)
        self.assertEqual(count_mixed(day.outcomes), 0)
        self.check_gone_on(day.outcomes)

    def test_streams_keep_their_version_within_an_answer(self) -> None:
        """Guard against broken streams that a host sends on to another version."""
        self.check_within_an_answer(7)

    def test_streams_keep_their_version_within_an_answer_in_a_large_fleet(self) -> None:
        """Guard against candidates of another version, which homes are asked for."""
        self.check_within_an_answer(40)

    def test_streams_keep_their_version_over_callers_attempts(self) -> None:
        """Guard against hosts that don't know at which version a stream began."""
        self.check_over_attempts(7)

    def test_streams_keep_their_version_over_attempts_in_a_large_fleet(self) -> None:
        """Guard against a version that only the hosts know that a fault ended."""
        self.check_over_attempts(40)

    def check_changed_targets(self, n_hosts: int, *faults: Fault) -> None:
        """Check streams while engines return under their names with another version."""
        kind = FaultKind.ENGINES_RETURN_CHANGED
        changed = Fault(kind=kind, at_s=1.5, for_s=2.0, share=0.4)
        later = [kill_hosts(0.4)[1], *crash_engines(4.5, 5.0)]
        day = run_mixed_day(n_hosts, changed, *later, *faults, callers_resume=True)
        self.assertEqual(count_mixed(day.outcomes), 0)

    def test_target_that_changes_its_version_is_noticed(self) -> None:
        """Guard against the version of an entry that its target has outlived."""
        self.check_changed_targets(7)

    def test_target_that_changes_its_version_is_noticed_without_the_store(self) -> None:
        """Guard against entries that are old while no host reaches the store."""
        kind = FaultKind.STORE_CUT
        cut = Fault(kind=kind, at_s=1.0, for_s=6.0, share=1.0)
        for n_hosts in (7, 40):
            with self.subTest(n_hosts=n_hosts):
                self.check_changed_targets(n_hosts, cut)


if __name__ == "__main__":
    unittest.main()
