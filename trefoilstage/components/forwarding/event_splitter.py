"""Split a server-sent event stream into complete events; pure."""

from dataclasses import dataclass

from trefoilstage.exceptions import MalformedMessageError

MAX_EVENT_BYTES = 1_000_000
SEPARATORS = (b"\n\n", b"\r\n\r\n")
MAX_SEPARATOR_BYTES = 4
ID_FIELD = b"id:"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """Represent one event with its trailing separator, and its id if it has one."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Buffer the bytes of a stream and return complete events.

    A target may stop in the middle of an event. If the partial event were passed on, a
    resumed stream would join two halves of different runs.
    """

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self._partial.strip())

    @property
    def n_partial_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    def add(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        # A separator may have begun in the bytes received before.
        searched = max(0, len(self._partial) - MAX_SEPARATOR_BYTES + 1)
        self._partial += data
        events: list[StreamEvent] = []
        first = 0
        while (end := find_end(self._partial, max(first, searched))) > 0:
            events.append(make_event(bytes(self._partial[first:end])))
            first = end
        del self._partial[:first]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise MalformedMessageError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def find_end(data: bytearray, first: int) -> int:
    """Return the end of the first event that ends after a position, 0 without one."""
    ends = [
        position + len(separator)
        for separator in SEPARATORS
        if (position := data.find(separator, first)) >= 0
    ]
    return min(ends, default=0)


def make_event(data: bytes) -> StreamEvent:
    """Return an event with its parsed id."""
    for line in data.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return StreamEvent(
                data=data, event_id=int(text) if text.isdigit() else None
            )
    return StreamEvent(data=data, event_id=None)
