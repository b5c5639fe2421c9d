"""Test which requests are identified as the cause of crashes."""

import random
import unittest
from collections import Counter
from unittest import mock

from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS, find_causes
from trefoilstage.components.crashes.evidence import (
    BLOCKED_RETENTION_S,
    DROPS_BETWEEN_REFRESHES,
    NO_PARTS,
    SUSPECT_RETENTION_S,
    CrashEvidence,
)
from trefoilstage.components.crashes.models import Crash, make_crash

SEEDS = range(20)
# The simulated crash rate is the highest observed: of nine targets, one crashes every
# 0.6 s and serves again after 3 s. Requests take up to 0.3 s to start running.
N_TARGETS = 9
MEAN_CRASH_INTERVAL_S = 0.6
RESTART_S = 3.0
DURATION_S = 100.0
REQUESTS_PER_S = 80
MAX_START_DELAY_S = 0.3
N_RETRIES = 4


def add_all(evidence: CrashEvidence, fingerprint: str, targets: str) -> None:
    """Add crashes of a request at targets that are named by one letter each."""
    for target in targets:
        evidence.add(make_crash(fingerprint, target), 0.0)


class CauseTest(unittest.TestCase):
    """Test how crashing and harmless requests are distinguished."""

    def test_two_crashes_do_not_block_a_request(self) -> None:
        """Guard against blocking a request for crashes that coincide with it."""
        evidence = CrashEvidence()
        add_all(evidence, "a", "xy")
        self.assertFalse(evidence.blocked_fingerprints)
        add_all(evidence, "a", "z")
        self.assertEqual(evidence.blocked_fingerprints, {"a"})

    def test_crashes_at_one_target_count_once(self) -> None:
        """Guard against counting a crash again that several hosts observed."""
        evidence = CrashEvidence()
        for _ in range(2 * MIN_CRASHED_TARGETS):
            add_all(evidence, "a", "x")
        self.assertFalse(evidence.blocked_fingerprints)

    def test_harmless_request_beside_the_cause_is_not_blocked(self) -> None:
        """Guard against blocking requests interrupted by a crashing request."""
        evidence = CrashEvidence()
        add_all(evidence, "crashing", "vwxyz")
        add_all(evidence, "harmless", "wxy")
        self.assertEqual(evidence.blocked_fingerprints, {"crashing"})

    def test_two_crashing_requests_are_both_blocked(self) -> None:
        """Guard against a crashing request that conceals another."""
        evidence = CrashEvidence()
        add_all(evidence, "a", "uvw")
        add_all(evidence, "b", "wxyz")
        self.assertEqual(evidence.blocked_fingerprints, {"b"})
        add_all(evidence, "a", "t")
        self.assertEqual(evidence.blocked_fingerprints, {"a", "b"})

    def test_wrong_choice_between_equal_requests_is_corrected(self) -> None:
        """Guard against a harmless request that stays blocked instead of the cause."""
        evidence = CrashEvidence()
        add_all(evidence, "zz-harmless", "xyz")
        add_all(evidence, "crashing", "xyz")
        self.assertEqual(len(evidence.blocked_fingerprints), 1)
        add_all(evidence, "crashing", "v")
        self.assertEqual(evidence.blocked_fingerprints, {"crashing"})

    def test_request_without_crashes_is_unblocked(self) -> None:
        """Guard against a request that stays blocked after it proved harmless."""
        evidence = CrashEvidence()
        add_all(evidence, "a", "xyz")
        for crash in evidence.list_crashes("a"):
            evidence.remove(crash)
        self.assertFalse(evidence.has_crashes("a"))
        self.assertFalse(evidence.blocked_fingerprints)


class BoundsTest(unittest.TestCase):
    """Test the limits on the number and the age of crashes."""

    def test_blocked_request_outlasts_a_burst_of_crashes(self) -> None:
        """Guard against unblocking a crashing request when many targets crash."""
        evidence = CrashEvidence(max_crashes=50)
        add_all(evidence, "crashing", "xyz")
        for number in range(1_000):
            evidence.add(make_crash(f"r-{number}", "t"), 1.0)
        self.assertEqual(evidence.blocked_fingerprints, {"crashing"})
        self.assertEqual(len(evidence.seen_at), 50)
        self.assertEqual(sum(map(len, evidence.targets_by_fingerprint.values())), 50)

    def test_request_whose_crashes_were_dropped_is_not_blocked(self) -> None:
        """Guard against a refusal whose wait can't be computed without crashes."""
        evidence = CrashEvidence(max_crashes=MIN_CRASHED_TARGETS)
        add_all(evidence, "a", "xyz")
        add_all(evidence, "b", "uvw")
        self.assertEqual(evidence.blocked_fingerprints, {"b"})

    def test_suspects_expire_before_blocked_requests(self) -> None:
        """Guard against records that are kept permanently."""
        evidence = CrashEvidence()
        add_all(evidence, "crashing", "xyz")
        add_all(evidence, "suspect", "v")
        self.assertEqual(evidence.list_expired(SUSPECT_RETENTION_S), [])
        expired = evidence.list_expired(SUSPECT_RETENTION_S + 1.0)
        self.assertEqual(expired, [Crash(fingerprint="suspect", target="v")])
        self.assertEqual(len(evidence.list_expired(BLOCKED_RETENTION_S + 1.0)), 4)

    def test_wait_ends_when_too_few_crashes_remain(self) -> None:
        """Guard against asking callers to retry while they would still be refused."""
        evidence = CrashEvidence()
        for number, target in enumerate("wxyz"):
            evidence.add(make_crash("a", target), 10.0 * number)
        wait_s = evidence.compute_wait_s("a", NO_PARTS, 30.0)
        self.assertEqual(wait_s, BLOCKED_RETENTION_S - 20.0)

    def test_blocked_part_outlasts_a_burst_of_crashes(self) -> None:
        """Guard against unblocking a crashing part when many targets crash."""
        evidence = CrashEvidence(max_crashes=50)
        for target in "xyz":
            evidence.add(make_crash(f"r-{target}", target, parts=("dead",)), 0.0)
        for number in range(1_000):
            other = make_crash(f"o-{number}", "t", parts=(f"p-{number}",))
            evidence.add(other, 1.0)
        self.assertEqual(evidence.causes.part_sets, {frozenset({"dead"})})
        self.assertEqual(len(evidence.seen_at), 50)
        self.assertLessEqual(len(evidence.crashes_by_part), 48)
        expired = evidence.list_expired(SUSPECT_RETENTION_S + 2.0)
        self.assertEqual(len(expired), 47)

    def test_burst_at_the_bound_finds_causes_rarely(self) -> None:
        """Guard against a host that is busy finding causes while targets crash."""
        evidence = CrashEvidence(max_crashes=50)
        with mock.patch(
            "trefoilstage.components.crashes.evidence.find_causes", wraps=find_causes
        ) as calls:
            for number in range(1_000):
                evidence.add(make_crash(f"r-{number}", "t", parts=("all",)), 0.0)
        n_expected = 1 + 1_000 // DROPS_BETWEEN_REFRESHES
        self.assertLessEqual(calls.call_count, n_expected)

    def test_wait_for_a_part_ends_when_too_few_crashes_remain(self) -> None:
        """Guard against asking callers to retry while they would still be refused."""
        evidence = CrashEvidence()
        for number, target in enumerate("wxyz"):
            crash = make_crash(f"r-{target}", target, parts=("dead",))
            evidence.add(crash, 10.0 * number)
        wait_s = evidence.compute_wait_s("new", frozenset({"dead", "s"}), 30.0)
        self.assertEqual(wait_s, BLOCKED_RETENTION_S - 20.0)

    def test_removed_crashes_leave_no_parts(self) -> None:
        """Guard against memory that parts of forgotten crashes keep."""
        evidence = CrashEvidence()
        for target in "xyz":
            evidence.add(make_crash("a", target, parts=("p", "q")), 0.0)
        evidence.remove_part("p")
        self.assertEqual(list(evidence.crashes_by_part), ["q"])
        for crash in evidence.list_crashes("a"):
            evidence.remove(crash)
        self.assertFalse(evidence.crashes_by_part)
        self.assertFalse(evidence.list_all())

    def test_long_target_name_fits_into_a_key(self) -> None:
        """Guard against keys that the store permanently refuses."""
        crash = make_crash("f" * 24, "ü" * 400)
        self.assertLess(len(crash.key.encode()), 256)


class LoadTest(unittest.TestCase):
    """Simulate harmless requests at targets that crash for unrelated reasons."""

    def simulate(self, seed: int) -> tuple[int, int]:
        """Return the number of requests ever blocked, and of those interrupted."""
        generator = random.Random(seed)
        evidence = CrashEvidence()
        crashes = self.generate_crashes(generator)
        n_interruptions: Counter[str] = Counter()
        blocked: set[str] = set()
        for number in range(int(DURATION_S * REQUESTS_PER_S)):
            at = number / REQUESTS_PER_S
            for _ in range(1 + N_RETRIES):
                target = generator.randrange(N_TARGETS)
                starts_running_at = at + generator.uniform(0.0, MAX_START_DELAY_S)
                crashed_at = find_crash(crashes[target], at, starts_running_at)
                if crashed_at is None:
                    break
                n_interruptions[f"r-{number}"] += 1
                evidence.add(
                    make_crash(f"r-{number}", f"{target}@{crashed_at}"), crashed_at
                )
                blocked |= evidence.blocked_fingerprints
                at = crashed_at
        return len(blocked), len(n_interruptions)

    def generate_crashes(self, generator: random.Random) -> list[list[float]]:
        """Return the times at which each target crashes."""
        crashes: list[list[float]] = [[] for _ in range(N_TARGETS)]
        at = 0.0
        while at < DURATION_S:
            at += generator.expovariate(1 / MEAN_CRASH_INTERVAL_S)
            target = generator.choice(crashes)
            if not target or at - target[-1] > RESTART_S:
                target.append(at)
        return crashes

    def test_harmless_requests_are_rarely_blocked_when_targets_crash(
        self,
    ) -> None:
        """Guard against refusing harmless requests that ran while targets crashed."""
        results = [self.simulate(seed) for seed in SEEDS]
        n_interrupted = sum(interrupted for _, interrupted in results)
        self.assertGreater(n_interrupted, 1_000)
        n_blocked = sum(blocked for blocked, _ in results)
        self.assertLessEqual(n_blocked, n_interrupted / 1_000)


def find_crash(crashes: list[float], since: float, until: float) -> float | None:
    """Return the first crash of a target between two times, None if there is none."""
    return next((at for at in crashes if since < at <= until), None)


if __name__ == "__main__":
    unittest.main()
