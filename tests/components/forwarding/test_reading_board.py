"""Test how hosts learn the paces of targets."""

import unittest

from trefoilstage.components.forwarding.reading_board import SharedPrefillSpeeds
from trefoilstage.components.forwarding.reading_pace import (
    DEFAULT_TOKENS_PER_S,
    DecayingTotals,
    PrefillTotals,
)


class ReadingBoardTest(unittest.TestCase):
    """Test paces by what was observed."""

    def test_unobserved_target_is_like_the_others(self) -> None:
        """Observe one target only; a new one is not taken for the fastest."""
        board = SharedPrefillSpeeds()
        self.assertEqual(board.get_speed("new", 0.0), DEFAULT_TOKENS_PER_S)
        for _ in range(20):
            board.add_sample("i-1", 20_000, 1.0, 10.0)
        self.assertLess(board.get_speed("new", 10.0), 25_000)

    def test_slow_target_is_known_after_a_few_prompts(self) -> None:
        """Let one of two targets take four times as long for each prompt."""
        board = SharedPrefillSpeeds()
        for number in range(6):
            board.add_sample("fast", 18_000, 0.3, 1.0 + number)
            board.add_sample("slow", 18_000, 1.2, 1.0 + number)
        fast, slow = (board.get_speed(name, 7.0) for name in ("fast", "slow"))
        self.assertGreater(fast, 1.8 * slow)

    def test_target_that_recovers_is_forgiven(self) -> None:
        """Let a slow target be silent for a minute; it is like the others then."""
        board = SharedPrefillSpeeds()
        for _ in range(6):
            board.add_sample("slow", 18_000, 3.0, 1.0)
        slow = board.get_speed("slow", 1.0)
        self.assertGreater(board.get_speed("slow", 61.0), 3 * slow)

    def test_peers_readings_count(self) -> None:
        """Learn a target's pace from a peer alone, then tell it to others."""
        board = SharedPrefillSpeeds()
        board.receive_totals(
            "host-1", {"i-1": PrefillTotals(tokens=100_000, seconds=10.0)}, 5.0
        )
        self.assertLess(board.get_speed("i-1", 5.0), 20_000)
        self.assertEqual(
            board.get_totals("i-1", 5.0, except_host="host-1"), PrefillTotals()
        )

    def test_only_news_is_told(self) -> None:
        """Tell a reading once; nothing is told again without another one."""
        board = SharedPrefillSpeeds()
        board.add_sample("i-1", 9_000, 0.2, 1.0)
        self.assertEqual(set(board.pop_changed(1.0)), {"i-1"})
        self.assertEqual(board.pop_changed(2.0), {})

    def test_restarted_target_begins_anew(self) -> None:
        board = SharedPrefillSpeeds()
        board.add_sample("i-1@1", 9_000, 9.0, 1.0)
        board.receive_totals(
            "host-1", {"i-1@1": PrefillTotals(tokens=1.0, seconds=1.0)}, 1.0
        )
        board.keep_only({"i-1@2"})
        self.assertEqual(board.get_totals("i-1@1", 1.0), PrefillTotals())

    def test_short_prompts_tell_nothing(self) -> None:
        """Note a short prompt: its time is that of a step and the network."""
        pace = DecayingTotals()
        pace.add_sample(300, 0.05, 1.0)
        self.assertEqual(pace.get(1.0), PrefillTotals())


if __name__ == "__main__":
    unittest.main()
