"""Predict which prompt parts the targets have in their KV caches; pure.

Prompts share parts of 2,000 to 40,000 tokens, and a target's KV cache holds the parts
of the last 20 s or so. Whether a part is still cached decides whether a prompt takes
0.06 s or 0.3 s of the target's time, during which the other prompts there wait.
Targets report their cache contents late and incompletely. The hosts therefore track
which prompts they sent; a target evicts the least recently used parts first.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import PromptPart

# Answers being generated and unreported prompts from peer hosts occupy the rest.
USABLE_KV_CACHE_SHARE = 0.9


@dataclass(kw_only=True, slots=True)
class PromptCache:
    """Model one target's cached prompt parts, the least recently used first."""

    capacity_tokens: int
    n_tokens: int = 0
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    # When parts were first sent there, only of those added with a time.
    added_at: dict[str, float] = field(default_factory=dict)

    def count_cached(self, prompt: Sequence[PromptPart]) -> int:
        """Return the number of a prompt's tokens that are cached.

        A cached part is usable only if all parts before it are cached too.
        """
        n_cached = 0
        for part in prompt:
            if part.name not in self.parts:
                break
            n_cached += part.n_tokens
        return n_cached

    def count_settled(self, prompt: Sequence[PromptPart], before: float) -> int:
        """Return the number of a prompt's tokens cached since before a time.

        A part that was added without a time does not count.
        """
        n_settled = 0
        for part in prompt:
            if self.added_at.get(part.name, before) >= before:
                break
            n_settled += part.n_tokens
        return n_settled

    def add(self, prompt: Sequence[PromptPart], now: float | None = None) -> None:
        """Add a prompt that the target processes; evict parts above the capacity."""
        for part in prompt:
            if now is not None:
                self.added_at.setdefault(part.name, now)
            self.n_tokens -= self.parts.pop(part.name, 0)
            self.parts[part.name] = part.n_tokens
            self.n_tokens += part.n_tokens
        while self.n_tokens > self.capacity_tokens and len(self.parts) > 1:
            name, n_tokens = self.parts.popitem(last=False)
            self.added_at.pop(name, None)
            self.n_tokens -= n_tokens


@dataclass(kw_only=True, slots=True)
class PromptCaches:
    """Model the prompt cache of each incarnation of a target."""

    caches: dict[str, PromptCache] = field(default_factory=dict)

    def count_cached(self, target: str, prompt: Sequence[PromptPart]) -> int:
        """Return the number of a prompt's tokens that a target has cached."""
        cache = self.caches.get(target)
        return cache.count_cached(prompt) if cache else 0

    def count_settled(
        self, target: str, prompt: Sequence[PromptPart], before: float
    ) -> int:
        """Return the number of a prompt's tokens cached since before a time."""
        cache = self.caches.get(target)
        return cache.count_settled(prompt, before) if cache else 0

    def add(
        self,
        target: str,
        kv_tokens: int,
        prompt: Sequence[PromptPart],
        now: float | None = None,
    ) -> None:
        """Add a prompt that a target processes."""
        cache = self.caches.get(target)
        if cache is None:
            cache = PromptCache(capacity_tokens=int(USABLE_KV_CACHE_SHARE * kv_tokens))
            self.caches[target] = cache
        cache.add(prompt, now)

    def keep_only(self, targets: Collection[str]) -> None:
        """Remove all other targets; a restarted target has an empty cache."""
        for target in set(self.caches).difference(targets):
            del self.caches[target]
