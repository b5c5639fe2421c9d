"""In-memory stand-in for the store of keyed topics, with fault injection."""

import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    RecordBatch,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
    make_position,
    split_position,
)


@dataclass(kw_only=True, slots=True)
class Partition:
    """Describe the records of one partition and the first offset still readable."""

    records: list[KeyedRecord] = field(default_factory=list)
    first_kept_offset: int = 0

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return len(self.records)

    def list_newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that was not deleted."""
        newest = {record.key: record for record in self.records}
        return [record for record in newest.values() if record.value is not None]


@dataclass(frozen=True, kw_only=True, slots=True)
class DelayedWrite:
    """Describe a write that was not acknowledged and may still be applied."""

    topic: Topic
    key: str
    value: bytes | None
    partition: int
    expected_offset: int | None


@dataclass(kw_only=True, slots=True)
class KeyedStore:
    """Store keyed topics; can refuse calls, lose replies, and come back older.

    The offsets are positions, which rise also when the store comes back from a copy.
    """

    era: int = 0  # how often it came back from a copy
    is_down: bool = False
    # While silent, it does nothing, and calls that came before get no answer either.
    is_silent: bool = False
    n_silences: int = 0
    refused_call_share: float = 0.0
    lost_reply_share: float = 0.0
    delayed_write_share: float = 0.0
    generator: random.Random = field(default_factory=lambda: random.Random(1))
    delayed_writes: list[DelayedWrite] = field(default_factory=list)
    # Whether writes that are delayed when it comes back from a copy may still be done.
    keeps_delayed_writes: bool = False
    partitions: dict[tuple[Topic, int], Partition] = field(
        default_factory=lambda: defaultdict(Partition)
    )

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key."""
        self._check_available()
        found = self.partitions[topic, partition]
        return RecordBatch(
            records=self._place(found.list_newest()),
            end_offset=make_position(self.era, found.end_offset),
        )

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on."""
        self._check_available()
        found = self.partitions[topic, partition]
        era, first = split_position(offset)
        is_kept = found.first_kept_offset <= first <= found.end_offset
        if era != self.era or not is_kept:
            raise OffsetExpiredError(str(offset))
        return RecordBatch(
            records=self._place(found.records[first:]),
            end_offset=make_position(self.era, found.end_offset),
        )

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        expected_end_offset: int | None = None,
    ) -> int | None:
        """Write a key and return its offset.

        Return None, with nothing written, if `expected_end_offset` is given and is
        not the partition's end offset.
        """
        self._check_available()
        write = DelayedWrite(
            topic=topic,
            key=key,
            value=value,
            partition=partition,
            expected_offset=expected_end_offset,
        )
        if self.generator.random() < self.delayed_write_share:
            self.delayed_writes.append(write)
            raise StoreUnavailableError("no reply; the write may be applied later")
        offset = self._apply(write)
        if self.generator.random() < self.lost_reply_share:
            raise StoreUnavailableError("the reply to an applied write was lost")
        return offset

    def fall_silent(self) -> None:
        """Answer no call under way, and none that comes until `is_silent` ends."""
        self.is_silent = True
        self.n_silences += 1

    def make_copy(self) -> dict[tuple[Topic, int], int]:
        """Return a copy to restore later: the end of each partition."""
        return {key: found.end_offset for key, found in self.partitions.items()}

    def restore(self, copy: Mapping[tuple[Topic, int], int]) -> None:
        """Lose all that was written since a copy, and give its offsets out again."""
        self.era += 1
        if not self.keeps_delayed_writes:
            self.delayed_writes.clear()
        for key, found in self.partitions.items():
            del found.records[copy.get(key, 0) :]

    def _place(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        return [
            replace(item, offset=make_position(self.era, item.offset))
            for item in records
        ]

    def apply_delayed_write(self) -> None:
        """Apply one delayed write if its expected offset still matches."""
        if not self.delayed_writes:
            return
        number = self.generator.randrange(len(self.delayed_writes))
        write = self.delayed_writes.pop(number)
        if write.expected_offset is not None:
            # The condition names an offset, which may have been given out again.
            _, offset = split_position(write.expected_offset)
            write = replace(write, expected_offset=make_position(self.era, offset))
        self._apply(write)

    def _apply(self, write: DelayedWrite) -> int | None:
        found = self.partitions[write.topic, write.partition]
        end = make_position(self.era, found.end_offset)
        if write.expected_offset is not None and write.expected_offset != end:
            return None
        offset = found.end_offset
        found.records.append(
            KeyedRecord(key=write.key, offset=offset, value=write.value)
        )
        return end

    def _check_available(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("the store is down")
        if self.generator.random() < self.refused_call_share:
            raise StoreRefusedError("status 503")
