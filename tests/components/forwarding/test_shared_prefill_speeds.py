"""Test how hosts estimate the prefill speeds of targets."""

import unittest

from trefoilstage.components.forwarding.prefill_speed import (
    DEFAULT_TOKENS_PER_S,
    DecayingTotals,
    PrefillTotals,
)
from trefoilstage.components.forwarding.shared_prefill_speeds import SharedPrefillSpeeds


class SharedPrefillSpeedsTest(unittest.TestCase):
    """Test speeds estimated from samples."""

    def test_target_without_samples_has_the_mean_speed(self) -> None:
        """Sample one slow target only; a new one is not assumed to be faster."""
        speeds = SharedPrefillSpeeds()
        self.assertEqual(speeds.get_speed("new", 0.0), DEFAULT_TOKENS_PER_S)
        for _ in range(20):
            speeds.add_sample("i-1", 20_000, 1.0, 10.0)
        self.assertLess(speeds.get_speed("new", 10.0), 25_000)

    def test_slow_target_is_detected_after_a_few_prompts(self) -> None:
        """Let one of two targets take four times as long for each prompt."""
        speeds = SharedPrefillSpeeds()
        for number in range(6):
            speeds.add_sample("fast", 18_000, 0.3, 1.0 + number)
            speeds.add_sample("slow", 18_000, 1.2, 1.0 + number)
        fast, slow = (speeds.get_speed(name, 7.0) for name in ("fast", "slow"))
        self.assertGreater(fast, 1.8 * slow)

    def test_old_samples_decay(self) -> None:
        """Let a slow target have no samples for a minute; its old ones have decayed."""
        speeds = SharedPrefillSpeeds()
        for _ in range(6):
            speeds.add_sample("slow", 18_000, 3.0, 1.0)
        slow = speeds.get_speed("slow", 1.0)
        self.assertGreater(speeds.get_speed("slow", 61.0), 3 * slow)

    def test_samples_of_peers_count(self) -> None:
        """Estimate a speed from a peer's totals; exclude them in a reply to it."""
        speeds = SharedPrefillSpeeds()
        speeds.receive_totals(
            "host-1", {"i-1": PrefillTotals(tokens=100_000, seconds=10.0)}, 5.0
        )
        self.assertLess(speeds.get_speed("i-1", 5.0), 20_000)
        self.assertEqual(
            speeds.get_totals("i-1", 5.0, except_host="host-1"), PrefillTotals()
        )

    def test_only_changed_totals_are_reported(self) -> None:
        """Report a sample once; without a new sample nothing is reported."""
        speeds = SharedPrefillSpeeds()
        speeds.add_sample("i-1", 9_000, 0.2, 1.0)
        self.assertEqual(set(speeds.pop_changed(1.0)), {"i-1"})
        self.assertEqual(speeds.pop_changed(2.0), {})

    def test_restarted_target_has_no_samples(self) -> None:
        speeds = SharedPrefillSpeeds()
        speeds.add_sample("i-1@1", 9_000, 9.0, 1.0)
        speeds.receive_totals(
            "host-1", {"i-1@1": PrefillTotals(tokens=1.0, seconds=1.0)}, 1.0
        )
        speeds.keep_only({"i-1@2"})
        self.assertEqual(speeds.get_totals("i-1@1", 1.0), PrefillTotals())

    def test_short_prompts_are_ignored(self) -> None:
        """Add a short prompt, whose time is mostly step time and network."""
        totals = DecayingTotals()
        totals.add_sample(300, 0.05, 1.0)
        self.assertEqual(totals.get(1.0), PrefillTotals())


if __name__ == "__main__":
    unittest.main()
