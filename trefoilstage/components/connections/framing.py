"""Find where HTTP/1.1 requests begin and end, without keeping their bytes; pure.

Only what decides the length of a message is read here. The HTTP library parses the
message itself, and refuses it if it is malformed otherwise.
"""

import re
from enum import Enum, auto

from trefoilstage.exceptions import TrefoilstageError

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 4_096
# The size of a chunk with its extensions.
MAX_CHUNK_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 16 * 1024
# Of chunks and between them, taken at a time: each costs a step of the parser.
MAX_LINES = 64
MAX_LENGTH_DIGITS = 18
MAX_CHUNK_SIZE_DIGITS = 15
LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
HTTP_BAD_REQUEST = 400
HTTP_HEAD_TOO_LARGE = 431
# A header that decides the length, and whether it goes on in another line.
FRAMING_HEADER = re.compile(
    rb"\r\n(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*)(\r\n[ \t])?",
    re.I,
)
CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,%d})[ \t]*(?:;|$)" % MAX_CHUNK_SIZE_DIGITS)


class FramingError(TrefoilstageError):
    """Raised when a message is too long or its length is unclear."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class Position(Enum):
    """Enumerate the parts of a message."""

    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK = auto()
    TRAILERS = auto()


class RequestFramer:
    """Say how many of the received bytes belong to the current request."""

    def __init__(self, *, max_head_bytes: int = MAX_HEAD_BYTES) -> None:
        self._max_head_bytes = max_head_bytes
        self._position = Position.HEAD
        self._n_left_bytes = 0  # of the body, or of the chunk with its line end
        self._n_searched_bytes = 0  # of an incomplete head
        self._n_skipped_bytes = 0  # of blank lines before the head
        self.n_head_bytes = 0  # of the current request
        self.n_headers = 0

    @property
    def is_between_requests(self) -> bool:
        """Return whether the next byte begins a request."""
        return self._position is Position.HEAD

    def skip_blank_lines(self, data: bytearray) -> None:
        """Remove line ends before a request; raise FramingError if there are many."""
        is_before_head = self._position is Position.HEAD and not self._n_searched_bytes
        if not is_before_head or not data or data[0] not in LINE_END:
            return
        n_bytes = len(data) - len(data.lstrip(LINE_END))
        del data[:n_bytes]
        self._n_skipped_bytes += n_bytes
        if self._n_skipped_bytes > self._max_head_bytes:
            raise FramingError(HTTP_BAD_REQUEST, "too many blank lines")

    def take(self, data: bytearray) -> int:
        """Return how many bytes may be passed on as a part of a request, or 0.

        Raises FramingError if no valid request can follow.
        """
        start = 0
        if self.is_between_requests:
            start = self._take_head(data)
            if not start:
                return 0
        for _ in range(MAX_LINES):
            if start == len(data) or self.is_between_requests:
                break
            n_bytes = self._take_part(data, start)
            if not n_bytes:
                break
            start += n_bytes
        return start

    def _take_part(self, data: bytearray, start: int) -> int:
        if self._position is Position.BODY:
            return self._take_counted(len(data) - start, Position.HEAD)
        if self._position is Position.CHUNK:
            return self._take_counted(len(data) - start, Position.CHUNK_SIZE)
        if self._position is Position.CHUNK_SIZE:
            return self._take_chunk_size(data, start)
        return self._take_trailer(data, start)

    def _take_head(self, data: bytearray) -> int:
        end = data.find(HEAD_END, max(0, self._n_searched_bytes - len(HEAD_END) + 1))
        n_bytes = len(data) if end < 0 else end + len(HEAD_END)
        if n_bytes > self._max_head_bytes:
            raise FramingError(HTTP_HEAD_TOO_LARGE, "the head is too long")
        n_lines = data.count(LINE_END, 0, n_bytes)
        if data.count(b"\n", 0, n_bytes) != n_lines:
            raise FramingError(HTTP_BAD_REQUEST, "a line has no carriage return")
        if end < 0:
            self._n_searched_bytes = len(data)
            return 0
        self._n_searched_bytes = self._n_skipped_bytes = 0
        self.n_headers = n_lines - 2
        if self.n_headers > MAX_HEADERS:
            raise FramingError(HTTP_HEAD_TOO_LARGE, "the head has too many headers")
        self._set_length(data, n_bytes)
        self.n_head_bytes = n_bytes
        return n_bytes

    def _set_length(self, data: bytearray, n_head_bytes: int) -> None:
        lengths: set[bytes] = set()
        codings: list[bytes] = []
        headers = FRAMING_HEADER.findall(data, 0, n_head_bytes)
        for name, value, continuation in headers:
            if continuation:
                raise FramingError(HTTP_BAD_REQUEST, "the body's length is unclear")
            if name.lower() == b"content-length":
                lengths.add(value.strip())
            elif name.lower() == b"transfer-encoding":
                codings.append(value.strip().lower())
        if codings:
            if lengths or codings != [b"chunked"]:
                raise FramingError(HTTP_BAD_REQUEST, "the body's length is unclear")
            self._position = Position.CHUNK_SIZE
        elif lengths:
            self._n_left_bytes = parse_length(lengths)
            if self._n_left_bytes:
                self._position = Position.BODY

    def _take_counted(self, n_available: int, next_position: Position) -> int:
        n_bytes = min(n_available, self._n_left_bytes)
        self._n_left_bytes -= n_bytes
        if not self._n_left_bytes:
            self._position = next_position
        return n_bytes

    def _take_chunk_size(self, data: bytearray, start: int) -> int:
        n_bytes = find_line(data, start, MAX_CHUNK_LINE_BYTES)
        if not n_bytes:
            return 0
        match = CHUNK_SIZE.match(data[start : start + n_bytes - len(LINE_END)])
        if match is None:
            raise FramingError(HTTP_BAD_REQUEST, "the size of a chunk is not valid")
        size = int(match[1], 16)
        if size:
            self._n_left_bytes = size + len(LINE_END)
            self._position = Position.CHUNK
        else:
            self._n_left_bytes = MAX_TRAILER_BYTES
            self._position = Position.TRAILERS
        return n_bytes

    def _take_trailer(self, data: bytearray, start: int) -> int:
        n_bytes = find_line(data, start, self._n_left_bytes)
        self._n_left_bytes -= n_bytes
        if n_bytes == len(LINE_END):
            self._position = Position.HEAD
        return n_bytes


def find_line(data: bytearray, start: int, max_bytes: int) -> int:
    """Return the length of a line with its end, or 0 if it is incomplete."""
    end = data.find(LINE_END, start, start + max_bytes)
    if end >= 0:
        return end + len(LINE_END) - start
    if len(data) - start >= max_bytes:
        raise FramingError(HTTP_BAD_REQUEST, "a line in a body is too long")
    return 0


def parse_length(lengths: set[bytes]) -> int:
    """Return the length that a request's headers state; raise FramingError."""
    value = lengths.pop()
    if lengths or not value.isdigit() or len(value) > MAX_LENGTH_DIGITS:
        raise FramingError(HTTP_BAD_REQUEST, "the body's length is not valid")
    return int(value)
