"""Judge a target by its failures and limit retries to it; pure."""

from dataclasses import dataclass

MAX_FAILURES = 3
EJECT_S = 0.5
MAX_EJECT_S = 15.0
BUSY_S = 0.1
RETRY_SHARE = 0.1
MAX_RETRIES = 10.0


@dataclass(kw_only=True, slots=True)
class TargetHealth:
    """Eject a target that fails again and again; let one probe bring it back.

    A target that refuses everything at once looks idle and would draw all
    traffic. While it is ejected it gets none, then one request as a probe.
    """

    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float | None = None
    busy_until: float = 0.0
    probing: bool = False
    retries: float = MAX_RETRIES

    def may_send(self, now: float, *, retry: bool) -> bool:
        """Tell whether a request may go to the target."""
        if retry and self.retries < 1.0:
            return False
        if self.ejected_until is not None:
            return now >= self.ejected_until and not self.probing
        return now >= self.busy_until

    def count_wait(self, now: float) -> float:
        """Return the seconds until the target may be tried again."""
        return max(0.0, (self.ejected_until or self.busy_until) - now)

    def start(self, *, retry: bool) -> None:
        """Count a request that is sent now."""
        self.probing = self.ejected_until is not None
        # Retries are paid for by first tries. When most requests fail, so that
        # most tries are retries, they stop instead of doubling the load.
        change = -1.0 if retry else RETRY_SHARE
        self.retries = min(MAX_RETRIES, self.retries + change)

    def note_answer(self) -> None:
        """Count a request that the target took and answered."""
        self.n_failures = 0
        self.n_ejections = 0
        self.ejected_until = None
        self.probing = False

    def note_busy(self, now: float) -> None:
        """Count a refusal for want of room; it is no fault."""
        self.probing = False
        self.busy_until = now + BUSY_S

    def note_dropped(self) -> None:
        """Count a request that ended without a word on the target."""
        self.probing = False

    def note_silence(self, now: float) -> bool:
        """Count that no connection opened in time; tell whether it ejects the target.

        One such time is enough. With three failures as for others, each host let
        three callers wait 0.4 s for a target that had gone dark. One that refuses
        connections costs its callers nothing, and comes back sooner this way.
        """
        self.n_failures = max(self.n_failures, MAX_FAILURES - 1)
        return self.note_failure(now)

    def note_failure(self, now: float) -> bool:
        """Count a failure; tell whether it ejects the target."""
        self.n_failures += 1
        self.probing = False
        if self.ejected_until is None:
            if self.n_failures < MAX_FAILURES:
                return False
        elif now < self.ejected_until:
            # Sent before the ejection; what it tells is known already.
            return False
        pause = min(MAX_EJECT_S, EJECT_S * 2.0**self.n_ejections)
        self.n_ejections = min(self.n_ejections + 1, 10)
        self.ejected_until = now + pause
        return True
