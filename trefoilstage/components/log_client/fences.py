"""Keep records unread that the fleet may have passed over; pure."""

from collections.abc import Iterable

from trefoilstage.components.log_client.client import LogRecord


class OffsetFences:
    """Hold up to which offset of each stream this host reads no more records.

    A record may come to light after another host has passed over its offset, as with
    the late answer to its append. Folded here, it would part this host's state from
    all others'. What lies behind the fence is known from a state alone.
    """

    def __init__(self) -> None:
        self._fenced: dict[str, int] = {}

    def add(self, stream: str, offset: int) -> None:
        """Read no record at the offset or before it from now on."""
        self._fenced[stream] = max(offset, self._fenced.get(stream, offset))

    def covers(self, stream: str, offset: int) -> bool:
        """Tell whether the record at an offset must not be read."""
        return offset <= self._fenced.get(stream, -1)

    def drop(self, stream: str, records: Iterable[LogRecord]) -> list[LogRecord]:
        """Return the records that may be read."""
        return [item for item in records if not self.covers(stream, item.offset)]

    def first_beyond(self, stream: str) -> int:
        """Return the first offset that may be read."""
        return self._fenced.get(stream, -1) + 1
