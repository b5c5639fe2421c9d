"""Keep the fleet's repeated sends within a share of its requests; pure."""

from collections import deque
from dataclasses import dataclass, field

# Shares of what the operators allow. A host counts only what it sends itself,
# and the hosts of a fleet see uneven shares of the requests, so that the sum of
# the shares must stay below the whole also when most requests reach few hosts.
SAFE_RATIO_SHARE = 0.6
SAFE_SLACK_SHARE = 0.6


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Allow repeats to a service by what was sent to it in a sliding window.

    When most targets fail, so that each request would be sent twice, the repeats
    stop instead of doubling the load that made the targets fail.
    """

    ratio: float
    slack: float
    window_s: float
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def note_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self.requests.append(now)
        self._forget(now)

    def take(self, now: float, n_hosts: int) -> bool:
        """Count a repeat if the budget allows it, as one of `n_hosts` hosts."""
        self._forget(now)
        allowed = SAFE_RATIO_SHARE * self.ratio * len(self.requests)
        allowed += SAFE_SLACK_SHARE * self.slack / max(1, n_hosts)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < now - self.window_s:
                times.popleft()
