"""Keep an engine stand-in's prefix cache and its late events."""

import time
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

BLOCK_TOKENS = 64
BYTES_PER_TOKEN = 4
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def hash_prefixes(contents: Iterable[str]) -> list[str]:
    """Return a hash for each whole block of a prompt, each over all before it."""
    data = "\n".join(contents).encode()
    state = xxhash.xxh3_64()
    hashes: list[str] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        hashes.append(state.hexdigest())
    return hashes


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """Report a block that was stored or evicted."""

    number: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """Hold the most recently used blocks within limited memory."""

    def __init__(self, *, n_blocks: int) -> None:
        self._n_blocks = n_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []

    def take(self, hashes: list[str]) -> int:
        """Return how many leading blocks were cached, and cache them all."""
        n_hits = 0
        while n_hits < len(hashes) and hashes[n_hits] in self._blocks:
            n_hits += 1
        # The last blocks are stored first, so that a prefix outlives its tail.
        for block in reversed(hashes):
            if block not in self._blocks:
                self._note("stored", block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._n_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._note("evicted", block)
        return n_hits

    def list_events(
        self, first: int, *, lag_s: float, lose_every: int
    ) -> list[CacheEvent]:
        """Return the events old enough to be told, without the lost ones."""
        newest = time.monotonic() - lag_s
        return [
            event
            for event in self._events[first:]
            if event.at <= newest
            and not (lose_every and event.number % lose_every == lose_every - 1)
        ]

    def _note(self, kind: str, block: str) -> None:
        self._events.append(
            CacheEvent(
                number=len(self._events), kind=kind, block=block, at=time.monotonic()
            )
        )
