"""Test that writing log lines never blocks and stays within the rate limit."""

import os
import unittest

from trefoilstage.helpers.log_line_writer import (
    MAX_BUFFER_BYTES,
    LineRateLimiter,
    LineWriter,
)


class ManualClock:
    """Return a time that the test sets."""

    def __init__(self) -> None:
        self.time = 0.0

    def __call__(self) -> float:
        return self.time


class LineWriterTest(unittest.TestCase):
    """Test writing lines to a pipe."""

    def setUp(self) -> None:
        self.read_descriptor, self.write_descriptor = os.pipe()
        self.addCleanup(os.close, self.read_descriptor)
        self.clock = ManualClock()

    def make_writer(self, *, burst: float = 100_000.0, rate: float = 0.0) -> LineWriter:
        """Return a writer to the pipe, with a burst in lines and a rate in lines/s."""
        limiter = LineRateLimiter(
            lines_per_s=rate, burst_lines=burst, available_lines=burst
        )
        return LineWriter(
            descriptor=self.write_descriptor, limiter=limiter, now=self.clock
        )

    def read_pipe(self) -> str:
        """Return the text that is in the pipe."""
        os.set_blocking(self.read_descriptor, False)
        parts: list[bytes] = []
        while True:
            try:
                data = os.read(self.read_descriptor, 1_000_000)
            except BlockingIOError:
                return b"".join(parts).decode()
            parts.append(data)

    def test_stalled_reader_loses_lines_without_blocking(self) -> None:
        """Write 2 MB while nothing reads the pipe.

        A blocking write would stop the host and all its requests. Lines are left out
        and counted instead; the count is logged once the pipe has room.
        """
        self.addCleanup(os.close, self.write_descriptor)
        writer = self.make_writer()
        for number in range(20_000):
            writer.write(f"number={number} " + "x" * 90, is_routine=False)
        self.assertGreater(writer.n_left_out, 0)
        kept = ""
        for _ in range(MAX_BUFFER_BYTES // 60_000 + 2):
            kept += self.read_pipe()
            writer.flush()
        writer.write("last", is_routine=False)
        kept += self.read_pipe()
        self.assertIn(f"lines_left_out count={writer.n_left_out}\n", kept)
        self.assertTrue(kept.endswith("last\n"))
        self.assertEqual(kept.count("number="), 20_000 - writer.n_left_out)

    def test_failures_take_precedence_over_routine_lines(self) -> None:
        """Exhaust the limit with routine lines; failures still have half the burst."""
        self.addCleanup(os.close, self.write_descriptor)
        writer = self.make_writer(burst=10.0)
        for _ in range(20):
            writer.write("sent", is_routine=True)
        for _ in range(20):
            writer.write("refused", is_routine=False)
        text = self.read_pipe()
        self.assertEqual(text.count("sent"), 5)
        self.assertEqual(text.count("refused"), 5)

    def test_rate_is_limited(self) -> None:
        """Write for 10 s at ten times the allowed rate."""
        self.addCleanup(os.close, self.write_descriptor)
        writer = self.make_writer(burst=10.0, rate=5.0)
        for _ in range(500):
            self.clock.time += 0.02
            writer.write("refused", is_routine=False)
        self.assertLessEqual(self.read_pipe().count("refused"), 10 + 5 * 10)

    def test_closed_pipe_raises_no_error(self) -> None:
        """Write after the pipe was closed; the line is counted as left out."""
        writer = self.make_writer()
        os.close(self.write_descriptor)
        writer.write("text", is_routine=False)
        self.assertEqual(writer.n_left_out, 1)


if __name__ == "__main__":
    unittest.main()
