"""Hold runs that have just ended until it is known whether their target goes on; pure.

A target that crashes as it begins to write an answer may still deliver a short one.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

# A request that crashes targets does so within a few engine steps of its answer's
# first data, which take less time than this.
CRASHES_WITHIN_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Describe a request at a target."""

    fingerprint: str
    parts: Sequence[str]  # of its prompt, that other requests may share
    target: str  # its incarnation
    address: str


class CompletedRuns:
    """Keep completed runs for a short time, the oldest first."""

    def __init__(self) -> None:
        self._runs: deque[tuple[float, Run]] = deque()

    def add(self, run: Run, now: float) -> None:
        """Add a run that a target has just completed."""
        self._runs.append((now, run))

    def count(self, fingerprint: str) -> int:
        """Return how many runs of a request are kept."""
        return sum(run.fingerprint == fingerprint for _, run in self._runs)

    def pop_old(self, now: float) -> list[Run]:
        """Remove and return the runs whose target went on for long enough."""
        old: list[Run] = []
        while self._runs and now - self._runs[0][0] > CRASHES_WITHIN_S:
            old.append(self._runs.popleft()[1])
        return old

    def pop_target(self, target: str) -> list[Run]:
        """Remove and return the runs of a target that stopped."""
        stopped = [run for _, run in self._runs if run.target == target]
        self._runs = deque(item for item in self._runs if item[1].target != target)
        return stopped
