"""Compute exponential back-off delays with jitter."""

import random
from dataclasses import dataclass, field

GROWTH_FACTOR = 2.0


@dataclass(kw_only=True, slots=True)
class Backoff:
    """Compute exponential retry delays; the jitter keeps hosts out of step."""

    initial_s: float
    maximum_s: float
    generator: random.Random = field(default_factory=random.Random)
    _max_delay_s: float = 0.0

    def next_delay(self) -> float:
        """Return the delay before the next retry, in seconds."""
        grown = max(self.initial_s, self._max_delay_s * GROWTH_FACTOR)
        self._max_delay_s = min(self.maximum_s, grown)
        return self._max_delay_s * self.generator.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Reset the delay to its initial value."""
        self._max_delay_s = 0.0
