"""Track a target's failures and limit the retries sent to it; pure."""

from dataclasses import dataclass

MAX_FAILURES = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 15.0
BUSY_PAUSE_S = 0.1
RETRY_CREDIT_PER_REQUEST = 0.1
MAX_RETRY_CREDIT = 10.0


@dataclass(kw_only=True, slots=True)
class TargetHealth:
    """Eject a target that fails repeatedly; a successful probe ends the ejection.

    A target that refuses every request immediately looks idle and would attract all
    traffic. An ejected target receives no requests for a pause, then one as a probe.
    """

    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float | None = None
    busy_until: float = 0.0
    resting_until: float = 0.0
    probing: bool = False
    retries: float = MAX_RETRY_CREDIT  # the remaining retry credit

    def may_send(self, now: float, *, retry: bool) -> bool:
        """Return whether a request may be sent to the target."""
        if retry and self.retries < 1.0:
            return False
        if self.is_resting(now):
            return False
        if self.ejected_until is not None:
            return now >= self.ejected_until and not self.probing
        return now >= self.busy_until

    @property
    def is_ejected(self) -> bool:
        """Return whether the target failed and has not answered since."""
        return self.ejected_until is not None

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until a request may be sent to the target again."""
        paused_until = self.ejected_until or self.busy_until
        return max(0.0, max(paused_until, self.resting_until) - now)

    def is_resting(self, now: float) -> bool:
        """Return whether the target asked this host to send nothing for a time."""
        return now < self.resting_until

    def record_send(self, *, retry: bool) -> None:
        """Record that a request is being sent."""
        self.probing = self.ejected_until is not None
        # First attempts earn retry credit, and each retry uses 1 of it. When most
        # requests fail, retries stop instead of doubling the load.
        change = -1.0 if retry else RETRY_CREDIT_PER_REQUEST
        self.retries = min(MAX_RETRY_CREDIT, self.retries + change)

    def record_success(self) -> None:
        """Record that the target accepted and answered a request."""
        self.n_failures = 0
        self.n_ejections = 0
        self.ejected_until = None
        self.probing = False

    def record_busy(self, now: float) -> None:
        """Record a refusal for lack of capacity, which is not a failure."""
        self.probing = False
        self.busy_until = now + BUSY_PAUSE_S

    def record_rest(self, rest_s: float, now: float) -> None:
        """Record that the target wants no request from this host for a time."""
        self.resting_until = max(self.resting_until, now + rest_s)

    def record_inconclusive_end(self) -> None:
        """Record that a request ended without showing whether the target works."""
        self.probing = False

    def record_connect_timeout(self, now: float) -> bool:
        """Record a connect timeout; return whether it ejects the target.

        One timeout is enough. With the three failures required otherwise, each host let
        three callers wait 0.4 s for a target that had become unreachable. Refused
        connections cost callers no time, and a target that refuses them returns sooner
        if they count as ordinary failures.
        """
        self.n_failures = max(self.n_failures, MAX_FAILURES - 1)
        return self.record_failure(now)

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it ejects the target."""
        self.n_failures += 1
        self.probing = False
        if self.ejected_until is None:
            if self.n_failures < MAX_FAILURES:
                return False
        elif now < self.ejected_until:
            # The request was sent before the ejection; its failure is no new evidence.
            return False
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**self.n_ejections)
        self.n_ejections = min(self.n_ejections + 1, 10)
        self.ejected_until = now + pause_s
        return True
