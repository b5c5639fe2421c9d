"""Keep tokens for urgent requests while none can be drawn; pure.

Expected load: in an outage a home's stock covers a part of the demand, and long
requests of little urgency ask for most of it. Served in the order of their arrival, all
kinds of requests would get the same small share.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from trefoilstage.components.escrow.stock import Demand


@dataclass(kw_only=True, slots=True)
class PriorityDemand:
    """Estimate the tokens requested per second by requests of each priority."""

    by_priority: dict[int, Demand] = field(default_factory=lambda: defaultdict(Demand))

    def add(self, priority: int, tokens: int, now: float) -> None:
        """Count tokens that a request of a priority asked for; 0 is the most urgent."""
        self.by_priority[priority].add(tokens, now)

    def estimate_more_urgent(self, priority: int, now: float) -> float:
        """Return the tokens per second that more urgent requests ask for."""
        return sum(
            demand.estimate(now)
            for urgency, demand in self.by_priority.items()
            if urgency < priority
        )

    def compute_reserve(self, priority: int, outage_left_s: float, now: float) -> float:
        """Return the tokens that a request must leave for more urgent ones."""
        return self.estimate_more_urgent(priority, now) * outage_left_s
