"""Cache the records that this host read or appended, for its peers; without I/O."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from trefoilstage.components.log_client.appended_records import AppendedRecords
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.components.log_client.tail import RecordTail
from trefoilstage.const import NO_OFFSET


class RecordCache:
    """Cache the newest records of each stream, except those at fenced offsets.

    A record may turn up after another host has skipped its offset, for example with a
    late response to its append. If this host folded it, its state would diverge from
    all others. A host that agrees to a skip therefore fences the offset: it no longer
    reads records up to there, and gets past them only by skipping or restoring a state.
    """

    def __init__(self) -> None:
        self._tails: defaultdict[str, RecordTail] = defaultdict(RecordTail)
        self._appended: defaultdict[str, AppendedRecords] = defaultdict(AppendedRecords)
        # The last fenced offset of each stream.
        self._fenced: dict[str, int] = {}

    def add_read(self, stream: str, page: LogPage) -> None:
        """Add a page that was read from the log or a peer."""
        self._tails[stream].add(self._drop_fenced(stream, page.records))

    def add_appended(self, stream: str, first: int, records: Sequence[bytes]) -> None:
        """Add an appended group if the log returned the offset of its first record."""
        if first == NO_OFFSET:
            return
        kept = (
            LogRecord(offset=offset, data=data)
            for offset, data in enumerate(records, start=first)
        )
        self._appended[stream].add(self._drop_fenced(stream, kept))

    def find_records(self, stream: str, offset: int) -> LogPage | None:
        """Return records from an offset, or None if the first one is not cached."""
        page = self.find_read_records(stream, offset)
        if page is not None and page.records:
            return page
        return self._appended[stream].read(offset)

    def find_read_records(self, stream: str, offset: int) -> LogPage | None:
        """Return the records read from an offset, or None if it is not cached.

        The page is empty if the offset is the end of what was read.
        """
        tail = self._tails.get(stream)
        if tail is None or not tail.covers(offset):
            return None
        return tail.read(offset)

    def get_tail(self, stream: str) -> RecordTail | None:
        """Return the newest records read from a stream, or None if there are none."""
        tail = self._tails.get(stream)
        return tail if tail is not None and tail.next_offset else None

    def get_next_offset(self, stream: str) -> int:
        """Return the offset after the newest record read."""
        return self._tails[stream].next_offset

    def fence(self, stream: str, offset: int) -> bool:
        """Fence all offsets up to one; return False if the record there is cached."""
        if self.find_records(stream, offset) is not None:
            return False
        self._fenced[stream] = max(offset, self._fenced.get(stream, offset))
        return True

    def is_fenced(self, stream: str, offset: int) -> bool:
        """Return whether this host must no longer read the record at an offset."""
        return offset <= self._fenced.get(stream, -1)

    def get_first_unfenced_offset(self, stream: str) -> int:
        """Return the first offset after the fenced ones."""
        return self._fenced.get(stream, -1) + 1

    def _drop_fenced(
        self, stream: str, records: Iterable[LogRecord]
    ) -> list[LogRecord]:
        return [item for item in records if not self.is_fenced(stream, item.offset)]
