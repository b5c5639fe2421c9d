"""Write log lines without waiting for their reader, and within a rate."""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

# A host of the target's size serves 37 requests a second with four lines each.
LINES_PER_S = 300.0
BURST_LINES = 900.0
# Routine lines leave this share of the burst to failures and refusals.
RESERVED_SHARE = 0.5
# Kept for a reader that stalls: 4 s of lines at the full rate, 300 bytes each.
MAX_BUFFER_BYTES = 400_000


@dataclass(kw_only=True, slots=True)
class LineBudget:
    """Allow lines at a rate, in bursts; failures go before routine."""

    rate: float = LINES_PER_S
    burst: float = BURST_LINES
    left: float = BURST_LINES
    at: float = 0.0

    def take(self, now: float, *, routine: bool) -> bool:
        """Count a line if it may be written now."""
        self.left = min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        reserved = RESERVED_SHARE * self.burst if routine else 0.0
        if self.left - 1.0 < reserved:
            return False
        self.left -= 1.0
        return True


class LineWriter:
    """Pass lines on to a descriptor; leave lines out rather than wait.

    A reader of standard output that stalls fills the pipe. Written to as usual, it
    would stop the whole process, and every request with it.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        budget: LineBudget | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._budget = budget or LineBudget(at=now())
        self._now = now
        self._buffer = bytearray()
        self._n_unreported = 0
        self.n_left_out = 0
        # A terminal's flag is shared with the shell that started this process.
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, line: str, *, routine: bool) -> None:
        """Write a line now, later, or not at all."""
        data = line.encode() + b"\n"
        full = len(self._buffer) + len(data) > MAX_BUFFER_BYTES
        if full or not self._budget.take(self._now(), routine=routine):
            self._leave_out()
            return
        self._report_left_out()
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._buffer:
            try:
                n_written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere else to say so; the
                # count of lines left out is among the metrics.
                self._n_unreported += self._buffer.count(b"\n")
                self.n_left_out += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:n_written]

    def _leave_out(self) -> None:
        self.n_left_out += 1
        self._n_unreported += 1

    def _report_left_out(self) -> None:
        if self._n_unreported:
            text = f"message_type=lines_left_out count={self._n_unreported}\n"
            self._buffer += text.encode()
            self._n_unreported = 0
