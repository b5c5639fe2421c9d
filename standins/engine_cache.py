"""Prefix cache of an engine stand-in, with delayed events."""

import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

BLOCK_TOKENS = 64
BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def hash_prefixes(contents: Iterable[str]) -> list[str]:
    """Return a hash per whole block of a prompt, over the prompt up to its end."""
    data = "\n".join(contents).encode()
    state = xxhash.xxh3_64()
    hashes: list[str] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        hashes.append(state.hexdigest())
    return hashes


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """Describe the storing or eviction of one block."""

    number: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """Cache the most recently used blocks, up to a fixed number."""

    def __init__(self, *, n_blocks: int) -> None:
        self._n_blocks = n_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []

    def use_blocks(self, hashes: list[str]) -> int:
        """Return the number of leading blocks in the cache, and cache all blocks."""
        n_hits = 0
        while n_hits < len(hashes) and hashes[n_hits] in self._blocks:
            n_hits += 1
        # Blocks are touched from last to first, so that the end of a prompt is
        # evicted before its beginning.
        for block in reversed(hashes):
            if block not in self._blocks:
                self._record_event("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._n_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", block)
        return n_hits

    def list_events(
        self, first: int, *, lag_s: float, lose_every: int
    ) -> list[CacheEvent]:
        """Return the events that are at least `lag_s` old, without the lost ones."""
        newest = time.monotonic() - lag_s
        return [
            event
            for event in self._events[first:]
            if event.at <= newest
            and not (lose_every and event.number % lose_every == lose_every - 1)
        ]

    def _record_event(self, kind: str, block: str) -> None:
        self._events.append(
            CacheEvent(
                number=len(self._events), kind=kind, block=block, at=time.monotonic()
            )
        )
