"""Count how many places of a service were freed lately; pure."""

from collections import deque
from dataclasses import dataclass, field

FREED_WINDOW_S = 2.0


@dataclass(kw_only=True, slots=True)
class FreedPlaces:
    """Count the places freed within FREED_WINDOW_S."""

    freed: deque[tuple[float, int]] = field(default_factory=deque)

    def add(self, n_places: int, now: float) -> None:
        """Record places that were freed."""
        if n_places > 0:
            self.freed.append((now, n_places))
        self._remove_old(now)

    def get_rate(self, now: float) -> float:
        """Return the freed places per second."""
        self._remove_old(now)
        return sum(n_places for _, n_places in self.freed) / FREED_WINDOW_S

    def _remove_old(self, now: float) -> None:
        while self.freed and self.freed[0][0] <= now - FREED_WINDOW_S:
            self.freed.popleft()
