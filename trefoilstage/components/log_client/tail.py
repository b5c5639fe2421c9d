"""Cache the newest records of a stream for peers that cannot reach the log."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from trefoilstage.components.log_client.client import LogPage, LogRecord

MAX_TAIL_BYTES = 2_000_000
MAX_PAGE_BYTES = 1_000_000


@dataclass(kw_only=True, slots=True)
class RecordTail:
    """Store the newest consecutive records, up to a limit in bytes."""

    max_bytes: int = MAX_TAIL_BYTES
    records: deque[LogRecord] = field(default_factory=deque)
    next_offset: int = 0
    n_bytes: int = 0

    @property
    def earliest(self) -> int:
        """Return the offset of the oldest record."""
        return self.next_offset - len(self.records)

    def add(self, records: Iterable[LogRecord]) -> None:
        """Append consecutive records; after a gap drop the older ones."""
        for record in records:
            if record.offset < self.next_offset:
                continue
            if record.offset > self.next_offset:
                self.records.clear()
                self.n_bytes = 0
            self.records.append(record)
            self.next_offset = record.offset + 1
            self.n_bytes += len(record.data)
            while self.n_bytes > self.max_bytes:
                self.n_bytes -= len(self.records.popleft().data)

    def covers(self, offset: int) -> bool:
        """Return whether a read from an offset can be served from this cache."""
        return self.earliest <= offset <= self.next_offset and self.next_offset > 0

    def read(self, offset: int) -> LogPage:
        """Return the records from an offset, up to MAX_PAGE_BYTES."""
        page: list[LogRecord] = []
        n_page_bytes = 0
        for index in range(offset - self.earliest, len(self.records)):
            record = self.records[index]
            n_page_bytes += len(record.data)
            if page and n_page_bytes > MAX_PAGE_BYTES:
                break
            page.append(record)
        return LogPage(records=tuple(page), end_offset=self.next_offset)
