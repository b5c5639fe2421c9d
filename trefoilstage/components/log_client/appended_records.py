"""Cache the records that this host has appended; without I/O."""

from collections import OrderedDict
from collections.abc import Iterable

from trefoilstage.components.log_client.client import LogPage, LogRecord

# Covers the records that a host appends within a few seconds. They are needed only if
# the log dropped a record before any host could read it.
MAX_KEPT_RECORDS = 200


class AppendedRecords:
    """Cache the newest records of one stream that this host appended.

    A log with a short retention may drop a record as soon as another one is appended,
    in the same group or by another host. If no host has read it by then, every host is
    blocked at the gap permanently, unless the host that appended the record supplies
    it to itself and its peers.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, LogRecord] = OrderedDict()

    def add(self, records: Iterable[LogRecord]) -> None:
        """Add records with the offsets that the log assigned to them."""
        for record in records:
            self._records[record.offset] = record
        while len(self._records) > MAX_KEPT_RECORDS:
            self._records.popitem(last=False)

    def read(self, offset: int) -> LogPage | None:
        """Return the records from an offset to the next gap, or None if not cached."""
        records: list[LogRecord] = []
        while (record := self._records.get(offset + len(records))) is not None:
            records.append(record)
        if not records:
            return None
        return LogPage(records=tuple(records), end_offset=offset + len(records))
