"""Keep tokens for short requests while none can be drawn; pure.

Expected load: in an outage a home's stock covers a part of the demand, and a few long
requests ask for most of it. Long requests also have time to wait or to come back.
Served in the order of their arrival, all would get the same small share.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from trefoilstage.components.escrow.stock import Demand


@dataclass(kw_only=True, slots=True)
class SizeDemand:
    """Estimate the tokens requested per second by requests of each size.

    Sizes within a power of two count as the same.
    """

    by_size: dict[int, Demand] = field(default_factory=lambda: defaultdict(Demand))

    def add(self, tokens: int, now: float) -> None:
        """Count tokens that a request asked for."""
        self.by_size[tokens.bit_length()].add(tokens, now)

    def estimate_shorter(self, tokens: int, now: float) -> float:
        """Return the tokens per second that shorter requests ask for."""
        return sum(
            demand.estimate(now)
            for size, demand in self.by_size.items()
            if size < tokens.bit_length()
        )

    def compute_reserve(self, tokens: int, outage_left_s: float, now: float) -> float:
        """Return the tokens that a request must leave for shorter ones."""
        return self.estimate_shorter(tokens, now) * outage_left_s
