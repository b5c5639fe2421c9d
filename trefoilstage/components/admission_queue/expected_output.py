"""Estimate how many tokens requests generate, from their callers' hints; pure."""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from statistics import median

N_SAMPLES = 100  # by route
# A hint is often far off, so the median of fewer ratios says little of the route.
MIN_SAMPLES = 10
DEFAULT_FACTOR = 1.0
MIN_FACTOR = 0.5
MAX_FACTOR = 4.0
# Beyond this number, the route whose last sample is the oldest is dropped.
MAX_ROUTES = 1_000


@dataclass(kw_only=True, slots=True)
class ExpectedOutput:
    """Learn by route how the generated tokens compare with the callers' hints."""

    ratios: OrderedDict[str, deque[float]] = field(default_factory=OrderedDict)

    def record(self, route: str, *, hint: int, actual: int) -> None:
        """Record the tokens of an answer that ended by itself; a hint of 0 is ignored.

        Answers that were cancelled or cut off would make the factor too small.
        """
        if hint <= 0:
            return
        ratios = self.ratios.setdefault(route, deque(maxlen=N_SAMPLES))
        ratios.append(actual / hint)
        self.ratios.move_to_end(route)
        if len(self.ratios) > MAX_ROUTES:
            self.ratios.popitem(last=False)

    def get_factor(self, route: str) -> float:
        """Return the usual ratio of generated tokens to the hint of a route."""
        ratios = self.ratios.get(route, ())
        if len(ratios) < MIN_SAMPLES:
            return DEFAULT_FACTOR
        return min(MAX_FACTOR, max(MIN_FACTOR, median(ratios)))

    def estimate(self, route: str, *, hint: int | None, maximum: int) -> int:
        """Return the expected output tokens, `maximum` if there is no hint."""
        if hint is None:
            return maximum
        return min(maximum, math.ceil(hint * self.get_factor(route)))
