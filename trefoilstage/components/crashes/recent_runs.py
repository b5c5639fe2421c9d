"""Remember what ran lately without crashing a target; pure."""

from collections import OrderedDict

# Limits the memory of a host.
MAX_RUNS = 4_096


class RecentRuns:
    """Keep when requests, or prompt parts, last ran without crashing a target."""

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._ran_at: OrderedDict[str, float] = OrderedDict()

    def record(self, name: str, now: float) -> None:
        """Record a run."""
        self._ran_at[name] = now
        self._ran_at.move_to_end(name)
        if len(self._ran_at) > MAX_RUNS:
            self._ran_at.popitem(last=False)

    def includes(self, name: str, now: float) -> bool:
        """Return whether the last run is recent."""
        ran_at = self._ran_at.get(name)
        return ran_at is not None and now - ran_at <= self._retention_s
