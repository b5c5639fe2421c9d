"""Pack states into checkpoints, put parts together, and decide who writes."""

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
MAX_UNFINISHED = 4
COMPRESSION_LEVEL = 1
SLICE_BYTES = 64_000
STAGGER_S = 2.0
MAX_STAGGER_RANK = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class PackedState:
    """Hold the compressed state before an offset."""

    offset: int
    fold_version: int
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class DumpedState:
    """Hold the state before an offset as it was, not yet compressed."""

    offset: int
    data: bytes


def dump_state(adapter: TypeAdapter[Any], state: Any, offset: int) -> DumpedState:
    """Return a state's bytes."""
    data = cbor2.dumps(adapter.dump_python(state, mode="python"))
    return DumpedState(offset=offset, data=data)


async def compress_state(dumped: DumpedState) -> PackedState:
    """Return a state's checkpoint form, leaving the loop free between slices."""
    # A state of 10 MB takes a quarter of a second to compress. In one go, every
    # stream of tokens through this host would pause for as long.
    deflater = zlib.compressobj(COMPRESSION_LEVEL)
    slices = []
    for start in range(0, len(dumped.data), SLICE_BYTES):
        slices.append(deflater.compress(dumped.data[start : start + SLICE_BYTES]))
        await asyncio.sleep(0)
    slices.append(deflater.flush())
    return PackedState(
        offset=dumped.offset, fold_version=FOLD_VERSION, data=b"".join(slices)
    )


def unpack_state(adapter: TypeAdapter[Any], packed: PackedState) -> Any:
    """Return the state in a checkpoint, or raise MalformedMessageError."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(packed.data, MAX_STATE_BYTES)
        # A few bytes can claim gigabytes. Without the bound one bad record
        # would take the memory of every host that starts from it.
        if inflater.unconsumed_tail or not inflater.eof:
            raise MalformedMessageError("checkpoint is cut or too large")
        state = adapter.validate_python(cbor2.loads(data))
    except Exception as error:
        raise MalformedMessageError(str(error)[:200]) from error
    if state.next_offset != packed.offset:
        raise MalformedMessageError("checkpoint holds the state of another offset")
    return state


def split_checkpoint(packed: PackedState) -> list[Checkpoint]:
    """Return the records that carry a state, each within a record's size."""
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
    """Put the parts of checkpoints together, those of each writer apart."""

    _parts: OrderedDict[tuple[str, int], dict[int, bytes]] = field(
        default_factory=OrderedDict
    )

    def add(self, writer: str, record: Checkpoint) -> PackedState | None:
        """Take a part and return the whole once every part is there."""
        if record.n_parts > MAX_PARTS or record.part >= record.n_parts:
            return None
        key = (writer, record.offset)
        parts = self._parts.setdefault(key, {})
        parts[record.part] = record.state
        while len(self._parts) > MAX_UNFINISHED:
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
class CheckpointWatch:
    """Notice when a checkpoint was completed, without keeping its bytes."""

    _seen: OrderedDict[tuple[str, int], set[int]] = field(default_factory=OrderedDict)

    def add(self, writer: str, record: Checkpoint) -> bool:
        """Take a part; tell whether it was the last of its checkpoint."""
        key = (writer, record.offset)
        parts = self._seen.setdefault(key, set())
        parts.add(record.part)
        while len(self._seen) > MAX_UNFINISHED:
            self._seen.popitem(last=False)
        if len(parts) < record.n_parts:
            return False
        self._seen.pop(key, None)
        return True


@dataclass(kw_only=True, slots=True)
class CheckpointSchedule:
    """Decide when this host writes a checkpoint; time only staggers, pure.

    Any number of hosts may write one without harm. The rank keeps all but the
    first from doing so, and lets the next one take over when none shows up.
    """

    every: int
    interval_s: float
    offset: int = 0
    seen_at: float = 0.0
    due_since: float | None = None
    writing: bool = False

    def note_checkpoint(self, offset: int, now: float) -> None:
        """Take note of a checkpoint on the stream, whoever wrote it."""
        if offset >= self.offset:
            self.offset = offset
            self.seen_at = now
            self.due_since = None

    def is_wanted(self, next_offset: int, now: float) -> bool:
        """Tell whether somebody should write a checkpoint."""
        if next_offset == 0 or self.writing:
            return False
        grown = next_offset - self.offset >= self.every
        aged = now - self.seen_at >= self.interval_s
        if self.due_since is None and (grown or aged):
            self.due_since = now
        return self.due_since is not None

    def is_turn(self, rank: int, now: float) -> bool:
        """Tell whether the hosts of lower rank had time to write the wanted one."""
        if self.due_since is None:
            return False
        return now - self.due_since >= min(rank, MAX_STAGGER_RANK) * STAGGER_S
