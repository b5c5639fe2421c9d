"""Remember which target has probably cached which prompt prefix; pure."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

BLOCK_TOKENS = 64
BLOCK_BYTES = 256
MAX_BLOCKS = 50_000
MAX_BLOCKS_PER_PROMPT = 1_000


def hash_blocks(contents: Iterable[str]) -> tuple[str, ...]:
    """Return a hash for each whole block of a prompt, each over all before it.

    The blocks and hashes are those that the engines name in cache events.
    """
    data = "\n".join(contents).encode()
    state = xxhash.xxh3_64()
    hashes: list[str] = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        hashes.append(state.hexdigest())
        if len(hashes) == MAX_BLOCKS_PER_PROMPT:
            break
    return tuple(hashes)


class PrefixMap:
    """Map block hashes to targets; approximate and bounded.

    Events come late and some never, so an entry is only a guess. A wrong one
    costs a prompt read anew; it never costs correctness.
    """

    def __init__(self, *, limit: int = MAX_BLOCKS) -> None:
        self._limit = limit
        self._targets: OrderedDict[str, set[str]] = OrderedDict()

    def add(self, target: str, blocks: Sequence[str]) -> None:
        """Note that a target has read blocks."""
        for block in reversed(blocks):
            self._targets.setdefault(block, set()).add(target)
            self._targets.move_to_end(block)
        while len(self._targets) > self._limit:
            self._targets.popitem(last=False)

    def remove(self, target: str, block: str) -> None:
        """Note that a target has evicted a block."""
        targets = self._targets.get(block)
        if targets is None:
            return
        targets.discard(target)
        if not targets:
            del self._targets[block]

    def count_cached(self, target: str, blocks: Sequence[str]) -> int:
        """Return how many leading blocks a target probably has."""
        for number, block in enumerate(blocks):
            if target not in self._targets.get(block, ()):
                return number
        return len(blocks)

    def list_holders(self, blocks: Sequence[str]) -> frozenset[str]:
        """Return the targets that probably have the first block."""
        return frozenset(self._targets.get(blocks[0], ())) if blocks else frozenset()
