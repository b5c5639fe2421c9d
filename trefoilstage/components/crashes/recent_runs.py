"""Remember what ran lately without crashing a target; pure."""

from collections import OrderedDict

# Limits the memory of a host.
MAX_RUNS = 4_096


class RecentRuns:
    """Keep when requests, or prompt parts, last ran without crashing a target."""

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        # The time of the last run, and the number of runs without a longer pause.
        self._runs: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def record(self, name: str, now: float, *, n_runs: int = 1) -> None:
        """Record one run, or one that counts as several."""
        n_before = self.count(name, now)
        self._runs[name] = now, n_before + n_runs
        self._runs.move_to_end(name)
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def count(self, name: str, now: float) -> int:
        """Return the number of recent runs."""
        ran_at, n_runs = self._runs.get(name, (float("-inf"), 0))
        return n_runs if now - ran_at <= self._retention_s else 0
