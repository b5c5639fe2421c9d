"""Test what is stored of the limits that targets name."""

import unittest

from trefoilstage.components.targets.named_limits import (
    FORGET_AFTER_S,
    MAX_TARGETS,
    NamedLimit,
    NamedLimits,
)

TARGET = "i-1@0"


class NamedLimitsTest(unittest.TestCase):
    """Test the newest limit of each target."""

    def setUp(self) -> None:
        """Create a store without limits."""
        self.limits = NamedLimits()

    def record(self, limit_per_s: float | None, named_at: float) -> bool:
        """Record a limit of the target; return whether it changed."""
        limit = NamedLimit(limit_per_s=limit_per_s, named_at=named_at)
        return self.limits.record(TARGET, limit, now=named_at)

    def test_newest_limit_holds(self) -> None:
        """Guard against older news that lifts or restores a limit."""
        self.assertFalse(self.record(None, 1.0))
        self.assertTrue(self.record(2.0, 2.0))
        self.assertFalse(self.record(2.0, 3.0))
        self.assertFalse(self.record(None, 2.5))
        self.assertEqual(self.limits.get_limit(TARGET), 2.0)
        self.assertTrue(self.record(None, 4.0))
        self.assertFalse(self.record(2.0, 3.5))
        self.assertIsNone(self.limits.get_limit(TARGET))

    def test_target_that_ended_is_forgotten_after_a_time(self) -> None:
        """Guard against a look at limits for each request long after their targets.

        A listed target keeps its limit, and one whose entry is missing for a time.
        """
        self.record(2.0, 1.0)
        self.limits.remove_ended([], now=FORGET_AFTER_S)
        self.assertEqual(self.limits.get_limit(TARGET), 2.0)
        self.limits.remove_ended([TARGET], now=2 * FORGET_AFTER_S)
        self.assertEqual(self.limits.get_limit(TARGET), 2.0)
        self.limits.remove_ended([], now=2 * FORGET_AFTER_S)
        self.assertEqual(self.limits, NamedLimits())

    def test_number_of_targets_is_bounded(self) -> None:
        """Guard against limits of ended targets that accumulate."""
        for number in range(MAX_TARGETS + 10):
            limit = NamedLimit(limit_per_s=1.0, named_at=float(number))
            self.limits.record(f"i-{number}", limit, now=0.0)
        self.assertEqual(len(self.limits.limits), MAX_TARGETS)
        self.assertIsNone(self.limits.get_limit("i-0"))


if __name__ == "__main__":
    unittest.main()
