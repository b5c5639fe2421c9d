"""Keep what this host has itself appended; pure."""

from collections import OrderedDict
from collections.abc import Iterable

from trefoilstage.components.log_client.client import LogPage, LogRecord

# What a host appends within a few seconds. A record is asked for here only when the
# log dropped it before anybody could read it.
MAX_KEPT = 200


class AppendedRecords:
    """Hold the newest records of one stream that this host appended.

    A log that keeps little drops a record as the next one is appended, of the same
    group or by another host. If nobody has read it by then, every host would stand
    before the gap for ever; the one that appended it knows it, for itself or a peer.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, LogRecord] = OrderedDict()

    def add(self, records: Iterable[LogRecord]) -> None:
        """Keep records by the offsets that the log gave them."""
        for record in records:
            self._records[record.offset] = record
        while len(self._records) > MAX_KEPT:
            self._records.popitem(last=False)

    def read(self, offset: int) -> LogPage | None:
        """Return the records from an offset up to the next gap, if it is held."""
        records: list[LogRecord] = []
        while (record := self._records.get(offset + len(records))) is not None:
            records.append(record)
        if not records:
            return None
        return LogPage(records=tuple(records), next_offset=offset + len(records))
