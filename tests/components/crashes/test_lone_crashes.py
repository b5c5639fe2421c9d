"""Test causes beside harmless requests that are sent much more often."""

import unittest

from tests.components.crashes.test_causes import as_parts, crash, find
from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS, find_causes

N_HARMLESS_CRASHES = 6
SUBJECTS = "123456"


class LoneCrashTest(unittest.TestCase):
    """Test crashes of targets that ran a single suspected request."""

    def setUp(self) -> None:
        # Other targets crash under frequent requests, a few of each subject.
        self.crashes = [
            crash(f"{kind}-{subject}-{number}", f"t-{subject}-{number}", subject)
            for number in range(N_HARMLESS_CRASHES)
            for subject in SUBJECTS
            for kind in "ab"
        ]

    def test_request_is_blocked_whose_companion_parts_crashed_more_targets(
        self,
    ) -> None:
        """Guard against a request whose crashes its varying parts explain.

        Requests of the soak test hold another subject in each send.
        """
        for number in range(MIN_CRASHED_TARGETS):
            self.crashes.append(crash("dead", f"x-{number}", SUBJECTS[number]))
        self.assertIn("dead", find(*self.crashes).fingerprints)

    def test_part_is_blocked_whose_companions_crashed_more_targets(self) -> None:
        """Guard against a part whose crashes its varying companions explain."""
        for number in range(MIN_CRASHED_TARGETS):
            parts = f"dead {SUBJECTS[number]}"
            self.crashes.append(crash(f"r-{number}", f"x-{number}", parts))
        self.assertIn(frozenset({"dead"}), find(*self.crashes).part_sets)

    def test_blocked_request_stays_blocked_beside_a_frequent_one(self) -> None:
        """Guard against a frequent request that takes over a crash of the cause.

        In soak seed 302, the cause was unblocked as a request interrupted beside it
        reached as many targets, and the harmless one was refused.
        """
        cause = [crash("dead", target, target) for target in "xyz"]
        causes = find(*cause)
        self.assertEqual(causes.fingerprints, {"dead"})
        harmless = [crash("often", target, "s") for target in "xvw"]
        others = [crash("other", target, "s") for target in "vw"]
        causes = find_causes(as_parts([*cause, *harmless, *others]), causes)
        self.assertEqual(causes.fingerprints, {"dead"})


if __name__ == "__main__":
    unittest.main()
