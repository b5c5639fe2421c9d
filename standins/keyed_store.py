"""Stand in for a store of keyed topics, in memory, with its faults."""

import random
from collections import defaultdict
from dataclasses import dataclass, field

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    RecordBatch,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
)


@dataclass(kw_only=True, slots=True)
class Partition:
    """Hold the records of one partition and where the kept ones begin."""

    records: list[KeyedRecord] = field(default_factory=list)
    first_kept: int = 0

    @property
    def end_offset(self) -> int:
        """Return the offset of the next record."""
        return len(self.records)

    def list_newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key that was not dropped."""
        newest = {record.key: record for record in self.records}
        return [record for record in newest.values() if record.value is not None]


@dataclass(frozen=True, kw_only=True, slots=True)
class LateWrite:
    """Hold a write whose answer was lost and that may still land."""

    topic: Topic
    key: str
    value: bytes | None
    partition: int
    at: int | None


@dataclass(kw_only=True, slots=True)
class KeyedStore:
    """Keep keyed topics; refuse calls, lose answers and land writes late."""

    down: bool = False
    refuse_share: float = 0.0
    lose_share: float = 0.0
    late_share: float = 0.0
    generator: random.Random = field(default_factory=lambda: random.Random(1))
    late: list[LateWrite] = field(default_factory=list)
    partitions: dict[tuple[Topic, int], Partition] = field(
        default_factory=lambda: defaultdict(Partition)
    )

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key."""
        self._fail()
        found = self.partitions[topic, partition]
        return RecordBatch(records=found.list_newest(), end_offset=found.end_offset)

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on."""
        self._fail()
        found = self.partitions[topic, partition]
        if offset < found.first_kept:
            raise OffsetExpiredError(str(offset))
        return RecordBatch(records=found.records[offset:], end_offset=found.end_offset)

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        at: int | None = None,
    ) -> int | None:
        """Write a key and return its offset, None if the topic didn't end at `at`."""
        self._fail()
        write = LateWrite(topic=topic, key=key, value=value, partition=partition, at=at)
        if self.generator.random() < self.late_share:
            self.late.append(write)
            raise StoreUnavailableError("no answer, may land late")
        offset = self._apply(write)
        if self.generator.random() < self.lose_share:
            raise StoreUnavailableError("answer lost")
        return offset

    def land(self) -> None:
        """Carry out one late write, if its condition still holds."""
        if self.late:
            self._apply(self.late.pop(self.generator.randrange(len(self.late))))

    def _apply(self, write: LateWrite) -> int | None:
        found = self.partitions[write.topic, write.partition]
        if write.at is not None and write.at != found.end_offset:
            return None
        offset = found.end_offset
        found.records.append(
            KeyedRecord(key=write.key, offset=offset, value=write.value)
        )
        return offset

    def _fail(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")
        if self.generator.random() < self.refuse_share:
            raise StoreRefusedError("status 503")
