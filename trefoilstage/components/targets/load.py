"""Estimate a target's load from delayed reports and own requests; pure."""

from collections import deque
from dataclasses import dataclass, field

MAX_REPORT_AGE_S = 3.0
MAX_CHANGES = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class ActiveChange:
    """Describe how many of this host's requests a target ran from a time on."""

    at: float
    active: int


@dataclass(kw_only=True, slots=True)
class TargetLoad:
    """Correct a target's delayed load report by this host's requests since then."""

    active: int = 0  # this host's running requests
    reported: int = 0  # running requests of all hosts, by the last report
    others: int = 0  # running requests of the other hosts, by the last report
    reported_at: float = float("-inf")
    pending_prompt: int = 0  # tokens of this host's prompts not processed yet
    changes: deque[ActiveChange] = field(
        default_factory=lambda: deque(maxlen=MAX_CHANGES)
    )

    def record_active_change(self, now: float, change: int) -> None:
        """Record that a request of this host starts (1) or ends (-1)."""
        self.active += change
        self.changes.append(ActiveChange(at=now, active=self.active))

    def record_report(self, now: float, running: int, lag_s: float) -> None:
        """Apply a report of the requests that ran `lag_s` seconds ago."""
        measured_at = now - lag_s
        n_own = 0
        while self.changes and self.changes[0].at <= measured_at:
            n_own = self.changes.popleft().active
        self.changes.appendleft(ActiveChange(at=measured_at, active=n_own))
        self.reported = running
        self.others = max(0, running - n_own)
        self.reported_at = now

    def estimate_running(self, now: float) -> int:
        """Return an estimate of the requests that the target runs for all hosts."""
        is_fresh = now - self.reported_at <= MAX_REPORT_AGE_S
        return self.active + (self.others if is_fresh else 0)
