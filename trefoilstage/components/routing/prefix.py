"""Track which targets have probably cached which prompt prefixes; pure."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

BLOCK_TOKENS = 64
BLOCK_BYTES = 256
MAX_BLOCKS = 50_000
MAX_BLOCKS_PER_PROMPT = 1_000


def hash_blocks(contents: Iterable[str]) -> tuple[str, ...]:
    """Return one hash for each complete block of a prompt.

    Each hash covers the prompt from its start to the end of the block, as the hashes
    in the engines' cache events do.
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
    """Map block hashes to the targets that have cached them, up to a size limit.

    Cache events arrive late or not at all, so entries may be wrong. A wrong entry makes
    a target process a prefix again; it does not affect correctness.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._targets_by_block: OrderedDict[str, set[str]] = OrderedDict()

    def add_blocks(self, target: str, blocks: Sequence[str]) -> None:
        """Record that a target has processed the leading blocks of a prompt."""
        for block in reversed(blocks):
            self._targets_by_block.setdefault(block, set()).add(target)
            self._targets_by_block.move_to_end(block)
        while len(self._targets_by_block) > self._max_blocks:
            self._targets_by_block.popitem(last=False)

    def remove_block(self, target: str, block: str) -> None:
        """Record that a target has evicted a block."""
        targets = self._targets_by_block.get(block)
        if targets is None:
            return
        targets.discard(target)
        if not targets:
            del self._targets_by_block[block]

    def count_cached_blocks(self, target: str, blocks: Sequence[str]) -> int:
        """Return how many leading blocks a target has probably cached."""
        for number, block in enumerate(blocks):
            if target not in self._targets_by_block.get(block, ()):
                return number
        return len(blocks)

    def list_targets(self, blocks: Sequence[str]) -> frozenset[str]:
        """Return the targets that have probably cached the first block."""
        return (
            frozenset(self._targets_by_block.get(blocks[0], ()))
            if blocks
            else frozenset()
        )
