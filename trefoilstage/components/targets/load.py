"""Estimate a target's load from late reports and what this host sent; pure."""

from collections import deque
from dataclasses import dataclass, field

MAX_REPORT_AGE_S = 3.0
MAX_CHANGES = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ActiveChange:
    """Hold how many requests of this host a target ran from a moment on."""

    at: float
    active: int


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Correct a late report by what this host sent and ended since."""

    active: int = 0
    reported: int = 0
    others: int = 0
    reported_at: float = float("-inf")
    pending_prompt: int = 0
    changes: deque[ActiveChange] = field(
        default_factory=lambda: deque(maxlen=MAX_CHANGES)
    )

    def note_active(self, now: float, change: int) -> None:
        """Count a request of this host that starts (1) or ends (-1)."""
        self.active += change
        self.changes.append(ActiveChange(at=now, active=self.active))

    def note_report(self, now: float, running: int, lag_s: float) -> None:
        """Take a report of what ran some time ago."""
        moment = now - lag_s
        mine = 0
        while self.changes and self.changes[0].at <= moment:
            mine = self.changes.popleft().active
        self.changes.appendleft(ActiveChange(at=moment, active=mine))
        self.reported = running
        self.others = max(0, running - mine)
        self.reported_at = now

    def estimate(self, now: float) -> int:
        """Return the requests that the target runs now, of all hosts."""
        fresh = now - self.reported_at <= MAX_REPORT_AGE_S
        return self.active + (self.others if fresh else 0)
