"""Share the memory for incomplete answers among requests; pure."""

from collections.abc import Iterator
from contextlib import contextmanager

from trefoilstage.components.forwarding.answers import AnswerBrokenError

# About a fifth of the memory of the smallest hosts, 88 MB.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class AnswerBuffers:
    """Limit the bytes of incomplete answers that a host holds.

    An answer may hold as much as it leaves free. Endless answers are thus broken off
    before the limit is reached, and there is always room for a short one.
    """

    def __init__(self, *, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self.n_bytes = 0  # of all answers

    @contextmanager
    def open(self) -> Iterator["AnswerBuffer"]:
        """Return the buffer of one answer, which is released at the end."""
        buffer = AnswerBuffer(buffers=self)
        try:
            yield buffer
        finally:
            self.n_bytes -= buffer.n_bytes

    def may_grow(self, answer_bytes: int, n_bytes: int) -> bool:
        """Return whether an answer of a given size may hold `n_bytes` more."""
        left_bytes = self._max_bytes - self.n_bytes - n_bytes
        return answer_bytes + n_bytes <= left_bytes


class AnswerBuffer:
    """Count the bytes that a host holds of one answer."""

    def __init__(self, *, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self.n_bytes = 0

    def may_grow(self, n_bytes: int) -> bool:
        """Return whether the answer may hold `n_bytes` more."""
        return self._buffers.may_grow(self.n_bytes, n_bytes)

    def resize(self, n_bytes: int) -> None:
        """Set the size of the buffer; raise AnswerBrokenError beyond its limit."""
        growth = n_bytes - self.n_bytes
        if growth > 0 and not self.may_grow(growth):
            raise AnswerBrokenError(f"the answer is too long, {n_bytes} bytes")
        self._buffers.n_bytes += growth
        self.n_bytes = n_bytes
