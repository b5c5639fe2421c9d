"""Test how hosts learn the paces of targets."""

import unittest

from trefoilstage.components.forwarding.reading_board import ReadingBoard
from trefoilstage.components.forwarding.reading_pace import (
    FIRST_TOKENS_PER_S,
    Reading,
    ReadingPace,
)


class ReadingBoardTest(unittest.TestCase):
    """Test paces by what was observed."""

    def test_unobserved_target_is_like_the_others(self) -> None:
        """Observe one target only; a new one is not taken for the fastest."""
        board = ReadingBoard()
        self.assertEqual(board.get_pace("new", 0.0), FIRST_TOKENS_PER_S)
        for _ in range(20):
            board.note("i-1", 20_000, 1.0, 10.0)
        self.assertLess(board.get_pace("new", 10.0), 25_000)

    def test_slow_target_is_known_after_a_few_prompts(self) -> None:
        """Let one of two targets take four times as long for each prompt."""
        board = ReadingBoard()
        for number in range(6):
            board.note("fast", 18_000, 0.3, 1.0 + number)
            board.note("slow", 18_000, 1.2, 1.0 + number)
        fast, slow = (board.get_pace(name, 7.0) for name in ("fast", "slow"))
        self.assertGreater(fast, 1.8 * slow)

    def test_target_that_recovers_is_forgiven(self) -> None:
        """Let a slow target be silent for a minute; it is like the others then."""
        board = ReadingBoard()
        for _ in range(6):
            board.note("slow", 18_000, 3.0, 1.0)
        slow = board.get_pace("slow", 1.0)
        self.assertGreater(board.get_pace("slow", 61.0), 3 * slow)

    def test_peers_readings_count(self) -> None:
        """Learn a target's pace from a peer alone, then tell it to others."""
        board = ReadingBoard()
        board.take("host-1", {"i-1": Reading(tokens=100_000, seconds=10.0)}, 5.0)
        self.assertLess(board.get_pace("i-1", 5.0), 20_000)
        self.assertEqual(board.add_up("i-1", 5.0, without="host-1"), Reading())

    def test_only_news_is_told(self) -> None:
        """Tell a reading once; nothing is told again without another one."""
        board = ReadingBoard()
        board.note("i-1", 9_000, 0.2, 1.0)
        self.assertEqual(set(board.take_new(1.0)), {"i-1"})
        self.assertEqual(board.take_new(2.0), {})

    def test_restarted_target_begins_anew(self) -> None:
        board = ReadingBoard()
        board.note("i-1@1", 9_000, 9.0, 1.0)
        board.take("host-1", {"i-1@1": Reading(tokens=1.0, seconds=1.0)}, 1.0)
        board.forget_others({"i-1@2"})
        self.assertEqual(board.add_up("i-1@1", 1.0), Reading())

    def test_short_prompts_tell_nothing(self) -> None:
        """Note a short prompt: its time is that of a step and the network."""
        pace = ReadingPace()
        pace.note(300, 0.05, 1.0)
        self.assertEqual(pace.get(1.0), Reading())


if __name__ == "__main__":
    unittest.main()
