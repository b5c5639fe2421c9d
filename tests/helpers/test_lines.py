"""Test that log lines never hold a process up, and stay within their rate."""

import os
import unittest

from trefoilstage.helpers.lines import MAX_BUFFER_BYTES, LineBudget, LineWriter


class Clock:
    """Tell a time that the test sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def __call__(self) -> float:
        return self.time


class LineWriterTest(unittest.TestCase):
    """Write lines into a pipe."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.clock = Clock()

    def make(self, *, burst: float = 100_000.0, rate: float = 0.0) -> LineWriter:
        """Return a writer into the pipe."""
        budget = LineBudget(rate=rate, burst=burst, left=burst)
        return LineWriter(descriptor=self.writer, budget=budget, now=self.clock)

    def read(self) -> str:
        """Return what lies in the pipe."""
        os.set_blocking(self.reader, False)
        parts: list[bytes] = []
        while True:
            try:
                data = os.read(self.reader, 1_000_000)
            except BlockingIOError:
                return b"".join(parts).decode()
            parts.append(data)

    def test_stalled_reader_costs_lines_and_no_time(self) -> None:
        """Write 2 MB to a reader that has stopped reading.

        A blocking write would stop the host, and each caller with it. Lines are
        left out instead and counted, and the count is written once there is room.
        """
        self.addCleanup(os.close, self.writer)
        lines = self.make()
        for number in range(20_000):
            lines.write(f"number={number} " + "x" * 90, routine=False)
        self.assertGreater(lines.n_left_out, 0)
        kept = ""
        for _ in range(MAX_BUFFER_BYTES // 60_000 + 2):
            kept += self.read()
            lines.flush()
        lines.write("last", routine=False)
        kept += self.read()
        self.assertIn(f"lines_left_out count={lines.n_left_out}\n", kept)
        self.assertTrue(kept.endswith("last\n"))
        self.assertEqual(kept.count("number="), 20_000 - lines.n_left_out)

    def test_failures_go_before_routine(self) -> None:
        """Use up the rate by routine lines; failures still have half of it."""
        self.addCleanup(os.close, self.writer)
        lines = self.make(burst=10.0)
        for _ in range(20):
            lines.write("sent", routine=True)
        for _ in range(20):
            lines.write("refused", routine=False)
        text = self.read()
        self.assertEqual(text.count("sent"), 5)
        self.assertEqual(text.count("refused"), 5)

    def test_rate_is_kept(self) -> None:
        """Write for 10 s at ten times the rate."""
        self.addCleanup(os.close, self.writer)
        lines = self.make(burst=10.0, rate=5.0)
        for _ in range(500):
            self.clock.time += 0.02
            lines.write("refused", routine=False)
        self.assertLessEqual(self.read().count("refused"), 10 + 5 * 10)

    def test_reader_that_is_gone_ends_nothing(self) -> None:
        """Write to a pipe that nobody will ever read."""
        lines = self.make()
        os.close(self.writer)
        lines.write("text", routine=False)
        self.assertEqual(lines.n_left_out, 1)


if __name__ == "__main__":
    unittest.main()
