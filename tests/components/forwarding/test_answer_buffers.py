"""Test how hosts share the memory for incomplete answers."""

import unittest
from contextlib import ExitStack

from hypothesis import given
from hypothesis import strategies as st

from trefoilstage.components.forwarding.answer_buffers import (
    AnswerBuffer,
    AnswerBuffers,
)
from trefoilstage.components.forwarding.answers import AnswerBrokenError

MAX_BYTES = 1_000_000
PART_BYTES = 16_384


class AnswerBuffersTest(unittest.TestCase):
    """Let answers grow part by part, several at a time."""

    def setUp(self) -> None:
        self.buffers = AnswerBuffers(max_bytes=MAX_BYTES)

    def grow(self, answers: list[AnswerBuffer]) -> None:
        """Let endless answers grow in turn until each is broken off."""
        growing = list(answers)
        while growing:
            for answer in list(growing):
                try:
                    answer.resize(answer.n_bytes + PART_BYTES)
                except AnswerBrokenError:
                    growing.remove(answer)
                self.assertLessEqual(self.buffers.n_bytes, MAX_BYTES)

    @given(st.integers(1, 40))
    def test_endless_answers_stay_within_the_limit(self, n_answers: int) -> None:
        """Guard against a host whose memory fills up with answers without end."""
        self.buffers = AnswerBuffers(max_bytes=MAX_BYTES)
        with ExitStack() as stack:
            self.grow(
                [stack.enter_context(self.buffers.open()) for _ in range(n_answers)]
            )
        self.assertEqual(self.buffers.n_bytes, 0)

    def test_short_answer_fits_beside_endless_ones(self) -> None:
        """Guard against sound answers that fail because of endless ones."""
        with ExitStack() as stack:
            endless = [stack.enter_context(self.buffers.open()) for _ in range(8)]
            self.grow(endless)
            with self.buffers.open() as short:
                short.resize(5_000)

    def test_long_answer_has_half_of_the_limit_to_itself(self) -> None:
        with self.buffers.open() as answer:
            answer.resize(MAX_BYTES // 2)
            with self.assertRaises(AnswerBrokenError):
                answer.resize(MAX_BYTES // 2 + 1)


if __name__ == "__main__":
    unittest.main()
