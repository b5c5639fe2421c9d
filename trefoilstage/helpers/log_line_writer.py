"""Write log lines without blocking, at a limited rate."""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass

# A host of the planned fleet serves 37 requests per second, with four lines for each.
LINES_PER_S = 300.0
BURST_LINES = 900.0
# Routine lines may not use this share of the burst; it is reserved for failures and
# refusals.
RESERVED_SHARE = 0.5
# While the reader stalls, 4 s of lines of 300 bytes each are buffered at the full rate.
MAX_BUFFER_BYTES = 400_000


@dataclass(kw_only=True, slots=True)
class LineRateLimiter:
    """Limit the rate of lines and allow bursts, part of them only for failures."""

    lines_per_s: float = LINES_PER_S
    burst_lines: float = BURST_LINES
    available_lines: float = BURST_LINES
    updated_at: float = 0.0

    def try_acquire(self, now: float, *, is_routine: bool) -> bool:
        """Return whether a line may be written now, and count it if so."""
        self.available_lines = min(
            self.burst_lines,
            self.available_lines + (now - self.updated_at) * self.lines_per_s,
        )
        self.updated_at = now
        reserved = RESERVED_SHARE * self.burst_lines if is_routine else 0.0
        if self.available_lines - 1.0 < reserved:
            return False
        self.available_lines -= 1.0
        return True


class LineWriter:
    """Write lines to a file descriptor; leave lines out instead of blocking.

    If the reader of standard output stalls, the pipe fills up. A blocking write would
    then stop the whole process and all its requests.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        limiter: LineRateLimiter | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._limiter = limiter or LineRateLimiter(updated_at=now())
        self._now = now
        self._buffer = bytearray()
        self._n_unreported = 0
        self.n_left_out = 0
        # A terminal is left blocking: the shell that started this process shares the
        # O_NONBLOCK flag.
        if not os.isatty(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, line: str, *, is_routine: bool) -> None:
        """Write or buffer a line; leave it out if the rate or buffer is exhausted."""
        data = line.encode() + b"\n"
        is_full = len(self._buffer) + len(data) > MAX_BUFFER_BYTES
        if is_full or not self._limiter.try_acquire(self._now(), is_routine=is_routine):
            self._count_left_out()
            return
        self._report_left_out()
        self._buffer += data
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            try:
                n_written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so nothing can be logged; the number
                # of lines left out is one of the metrics.
                self._n_unreported += self._buffer.count(b"\n")
                self.n_left_out += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:n_written]

    def _count_left_out(self) -> None:
        self.n_left_out += 1
        self._n_unreported += 1

    def _report_left_out(self) -> None:
        if self._n_unreported:
            text = f"message_type=lines_left_out count={self._n_unreported}\n"
            self._buffer += text.encode()
            self._n_unreported = 0
