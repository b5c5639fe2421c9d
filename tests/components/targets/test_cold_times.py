"""Test how long targets count as cold."""

import unittest
from dataclasses import replace

from tests.components.forwarding.common import make_target
from trefoilstage.components.targets.directory import TargetDirectory


class ColdTimesTest(unittest.TestCase):
    """Test the cold times of one target."""

    def setUp(self) -> None:
        """Create an empty directory."""
        self.targets = TargetDirectory()
        self.target = make_target("i-1", started_ms=1)

    def receive(self, cold_s: float, now: float) -> None:
        """Receive an entry of the target."""
        entry = replace(self.target, cold_s=cold_s)
        self.targets.record_cold_time(entry, now)

    def test_entry_says_how_long_the_target_is_cold(self) -> None:
        self.receive(3.0, now=10.0)
        self.assertTrue(self.targets.is_cold(self.target, 12.9))
        self.assertFalse(self.targets.is_cold(self.target, 13.1))
        restarted = replace(self.target, started_ms=2)
        self.assertFalse(self.targets.is_cold(restarted, 12.9))

    def test_later_entry_replaces_an_earlier_one(self) -> None:
        """Guard against a target that turns cold again, or is warm sooner."""
        self.receive(3.0, now=10.0)
        self.receive(0.0, now=11.0)
        self.assertFalse(self.targets.is_cold(self.target, 11.1))
        self.receive(2.0, now=12.0)
        self.assertTrue(self.targets.is_cold(self.target, 13.9))

    def test_entry_does_not_shorten_a_presumed_time(self) -> None:
        """Guard against an entry written before the target was restarted."""
        self.targets.presume_cold(self.target.incarnation, 14.0, 11.0)
        self.receive(0.0, now=11.1)
        self.assertTrue(self.targets.is_cold(self.target, 13.9))

    def test_past_times_are_dropped(self) -> None:
        """Guard against times that accumulate with each restart."""
        for number in range(100):
            target = make_target(f"i-{number}")
            now = 10.0 * number
            self.targets.record_cold_time(replace(target, cold_s=1.0), now)
            self.targets.presume_cold(target.incarnation, now + 1.0, now)
        self.assertEqual(len(self.targets.cold_until), 1)
        self.assertEqual(len(self.targets.presumed_cold_until), 1)


if __name__ == "__main__":
    unittest.main()
