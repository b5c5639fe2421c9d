"""Pack states into checkpoints, reassemble their parts, and schedule the writes.

A checkpoint is the compressed state before the record at an offset is folded. It is
written to the stream in one or more records, so that a host can start where the log has
dropped older records.
"""

import asyncio
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import cbor2
from pydantic import TypeAdapter

from trefoilstage.const import FOLD_VERSION
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.ledger.records import Checkpoint

MAX_PART_BYTES = 500_000
MAX_PARTS = 512
MAX_STATE_BYTES = 64_000_000
MAX_INCOMPLETE_CHECKPOINTS = 4
COMPRESSION_LEVEL = 1
SLICE_BYTES = 64_000
STAGGER_S = 2.0
MAX_STAGGER_RANK = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class PackedState:
    """Represent the compressed state before an offset."""

    offset: int
    fold_version: int
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class DumpedState:
    """Represent the serialized state before an offset, not yet compressed."""

    offset: int
    data: bytes


def dump_state(adapter: TypeAdapter[Any], state: Any, offset: int) -> DumpedState:
    """Return a state in serialized form."""
    data = cbor2.dumps(adapter.dump_python(state, mode="python"))
    return DumpedState(offset=offset, data=data)


async def compress_state(dumped: DumpedState) -> PackedState:
    """Compress a state for a checkpoint, yielding to the event loop between slices."""
    # Compressing a state of 10 MB takes a quarter of a second. Done in one call, it
    # would pause every stream of tokens through this host for that time.
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    slices = []
    for start in range(0, len(dumped.data), SLICE_BYTES):
        slices.append(compressor.compress(dumped.data[start : start + SLICE_BYTES]))
        await asyncio.sleep(0)
    slices.append(compressor.flush())
    return PackedState(
        offset=dumped.offset, fold_version=FOLD_VERSION, data=b"".join(slices)
    )


def unpack_state(adapter: TypeAdapter[Any], packed: PackedState) -> Any:
    """Return the state in a checkpoint, or raise MalformedMessageError."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(packed.data, MAX_STATE_BYTES)
        # A few bytes can decompress to gigabytes. Without the limit one malformed
        # record would exhaust the memory of every host that starts from it.
        if decompressor.unconsumed_tail or not decompressor.eof:
            raise MalformedMessageError("checkpoint is truncated or too large")
        state = adapter.validate_python(cbor2.loads(data))
    except Exception as error:
        raise MalformedMessageError(str(error)[:200]) from error
    if state.next_offset != packed.offset:
        raise MalformedMessageError("checkpoint state does not match its offset")
    return state


def split_checkpoint(packed: PackedState) -> list[Checkpoint]:
    """Return the records of a checkpoint, each within the size limit of a record."""
    starts = range(0, max(1, len(packed.data)), MAX_PART_BYTES)
    return [
        Checkpoint(
            offset=packed.offset,
            fold_version=packed.fold_version,
            state=packed.data[start : start + MAX_PART_BYTES],
            part=number,
            n_parts=len(starts),
        )
        for number, start in enumerate(starts)
    ]


@dataclass(kw_only=True, slots=True)
class CheckpointAssembly:
    """Reassemble checkpoints from their parts, separately for each writer."""

    _parts: OrderedDict[tuple[str, int], dict[int, bytes]] = field(
        default_factory=OrderedDict
    )

    def add(self, writer: str, record: Checkpoint) -> PackedState | None:
        """Add a part; return the packed state once all parts have arrived."""
        if record.n_parts > MAX_PARTS or record.part >= record.n_parts:
            return None
        key = (writer, record.offset)
        parts = self._parts.setdefault(key, {})
        parts[record.part] = record.state
        while len(self._parts) > MAX_INCOMPLETE_CHECKPOINTS:
            self._parts.popitem(last=False)
        if len(parts) < record.n_parts:
            return None
        self._parts.pop(key, None)
        return PackedState(
            offset=record.offset,
            fold_version=record.fold_version,
            data=b"".join(parts[number] for number in sorted(parts)),
        )


@dataclass(kw_only=True, slots=True)
class CheckpointTracker:
    """Detect when a checkpoint is complete, without storing its bytes."""

    _seen_parts: OrderedDict[tuple[str, int], set[int]] = field(
        default_factory=OrderedDict
    )

    def add(self, writer: str, record: Checkpoint) -> bool:
        """Add a part; return whether its checkpoint is now complete."""
        key = (writer, record.offset)
        parts = self._seen_parts.setdefault(key, set())
        parts.add(record.part)
        while len(self._seen_parts) > MAX_INCOMPLETE_CHECKPOINTS:
            self._seen_parts.popitem(last=False)
        if len(parts) < record.n_parts:
            return False
        self._seen_parts.pop(key, None)
        return True


@dataclass(kw_only=True, slots=True)
class CheckpointSchedule:
    """Decide when this host writes a checkpoint.

    Several hosts may write one without harm. To avoid duplicates, the hosts take turns
    by rank: a host of higher rank writes only if no checkpoint arrives before its turn.
    """

    interval_records: int
    interval_s: float
    last_offset: int = 0
    last_seen_at: float = 0.0
    due_since: float | None = None
    is_writing: bool = False

    def record_checkpoint(self, offset: int, now: float) -> None:
        """Record that the stream has a checkpoint, written by any host."""
        if offset >= self.last_offset:
            self.last_offset = offset
            self.last_seen_at = now
            self.due_since = None

    def is_due(self, next_offset: int, now: float) -> bool:
        """Return whether a checkpoint is due and not being written.

        Store when it became due.
        """
        if next_offset == 0 or self.is_writing:
            return False
        has_grown = next_offset - self.last_offset >= self.interval_records
        has_aged = now - self.last_seen_at >= self.interval_s
        if self.due_since is None and (has_grown or has_aged):
            self.due_since = now
        return self.due_since is not None

    def is_own_turn(self, rank: int, now: float) -> bool:
        """Return whether the hosts of lower rank have had time to write it."""
        if self.due_since is None:
            return False
        return now - self.due_since >= min(rank, MAX_STAGGER_RANK) * STAGGER_S
