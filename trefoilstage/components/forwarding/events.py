"""Split an event stream into whole events; pure."""

from dataclasses import dataclass

from trefoilstage.exceptions import MalformedMessageError

MAX_EVENT_BYTES = 1_000_000
SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """Hold the bytes of one event with its separator, and its id if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Gather the bytes of a stream and give out whole events.

    A target may stop in the middle of an event. If that part went on to the
    caller, a resumed stream would join two halves of different runs.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Tell whether an event has begun that is not complete."""
        return bool(self._rest.strip())

    def add(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete now."""
        self._rest += data
        events: list[StreamEvent] = []
        while (end := find_end(self._rest)) > 0:
            events.append(make_event(self._rest[:end]))
            self._rest = self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MalformedMessageError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return events


def find_end(data: bytes) -> int:
    """Return where the first event ends, 0 if none is complete."""
    ends = [
        position + len(separator)
        for separator in SEPARATORS
        if (position := data.find(separator)) >= 0
    ]
    return min(ends, default=0)


def make_event(data: bytes) -> StreamEvent:
    """Return an event with its id."""
    for line in data.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return StreamEvent(data=data, number=int(text) if text.isdigit() else None)
    return StreamEvent(data=data, number=None)
