"""Keep the records that peers may need, read or appended here; pure."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from trefoilstage.components.log_client.appended import AppendedRecords
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.components.log_client.tail import RecordTail
from trefoilstage.const import NO_OFFSET


class KeptRecords:
    """Hold the newest records of each stream, and which of them must not be read.

    A record may come to light after another host has passed over its offset, as with
    the late answer to its append. Folded here, it would part this host's state from
    all others'. What lies behind the fence is known from a state alone.
    """

    def __init__(self) -> None:
        self._tails: defaultdict[str, RecordTail] = defaultdict(RecordTail)
        self._appended: defaultdict[str, AppendedRecords] = defaultdict(AppendedRecords)
        self._fenced: dict[str, int] = {}

    def add_read(self, stream: str, page: LogPage) -> None:
        """Keep what was read."""
        self._tails[stream].keep(self._drop_fenced(stream, page.records))

    def add_appended(self, stream: str, first: int, records: Sequence[bytes]) -> None:
        """Keep a group that was appended, if the log gave its first offset."""
        if first == NO_OFFSET:
            return
        kept = (
            LogRecord(offset=offset, data=data)
            for offset, data in enumerate(records, start=first)
        )
        self._appended[stream].add(self._drop_fenced(stream, kept))

    def find(self, stream: str, offset: int) -> LogPage | None:
        """Return records from an offset on, None if the first one is not held."""
        page = self.find_end(stream, offset)
        if page is not None and page.records:
            return page
        return self._appended[stream].read(offset)

    def find_end(self, stream: str, offset: int) -> LogPage | None:
        """Return what was read from an offset on, which may be the stream's end."""
        tail = self._tails.get(stream)
        if tail is None or not tail.holds(offset):
            return None
        return tail.read(offset)

    def get_tail(self, stream: str) -> RecordTail | None:
        """Return what was read of a stream, if anything was."""
        tail = self._tails.get(stream)
        return tail if tail is not None and tail.next_offset else None

    def get_next(self, stream: str) -> int:
        """Return the offset after the last record read."""
        return self._tails[stream].next_offset

    def fence(self, stream: str, offset: int) -> bool:
        """Read no record at an offset or before it any more, unless it is held."""
        if self.find(stream, offset) is not None:
            return False
        self._fenced[stream] = max(offset, self._fenced.get(stream, offset))
        return True

    def is_fenced(self, stream: str, offset: int) -> bool:
        """Tell whether the record at an offset must not be read."""
        return offset <= self._fenced.get(stream, -1)

    def find_first_beyond(self, stream: str) -> int:
        """Return the first offset that may be read."""
        return self._fenced.get(stream, -1) + 1

    def _drop_fenced(
        self, stream: str, records: Iterable[LogRecord]
    ) -> list[LogRecord]:
        return [item for item in records if not self.is_fenced(stream, item.offset)]
