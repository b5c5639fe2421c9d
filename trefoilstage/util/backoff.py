"""Space out retries."""

import random
from dataclasses import dataclass, field

GROWTH = 2.0


@dataclass(kw_only=True, slots=True)
class Backoff:
    """Grow the delay between retries, with jitter so that hosts spread out."""

    initial_s: float
    maximum_s: float
    generator: random.Random = field(default_factory=random.Random)
    _ceiling_s: float = 0.0

    def next_delay(self) -> float:
        """Return how long to wait before the next retry, in seconds."""
        grown = max(self.initial_s, self._ceiling_s * GROWTH)
        self._ceiling_s = min(self.maximum_s, grown)
        return self._ceiling_s * self.generator.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self._ceiling_s = 0.0
