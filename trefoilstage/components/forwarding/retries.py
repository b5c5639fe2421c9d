"""Limit the fleet's retries to a share of its requests; pure."""

from collections import deque
from dataclasses import dataclass, field

# A host applies these shares of the limits that the operators configure. It counts only
# its own requests, and requests are spread unevenly over the hosts. The hosts' retries
# must stay below the limit in total, also when most requests reach few hosts.
SAFE_RATIO_SHARE = 0.6
SAFE_SLACK_SHARE = 0.6


@dataclass(kw_only=True, slots=True)
class RetryBudget:
    """Limit retries to a service by its requests in a sliding window.

    When most targets fail and every request would be sent twice, the limit prevents
    the retries from doubling the load on the failing targets.
    """

    ratio: float  # retries per request
    slack: float  # further retries of the whole fleet in a window
    window_s: float
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a request from a caller."""
        self.requests.append(now)
        self._remove_expired(now)

    def take_retry(self, now: float, n_hosts: int) -> bool:
        """Return whether one of `n_hosts` hosts may retry, and count the retry."""
        self._remove_expired(now)
        allowed = SAFE_RATIO_SHARE * self.ratio * len(self.requests)
        allowed += SAFE_SLACK_SHARE * self.slack / max(1, n_hosts)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.window_s:
                times.popleft()


@dataclass(kw_only=True, slots=True)
class RetryBudgets:
    """Hold the retry budget of each service."""

    ratio: float
    slack: float
    window_s: float
    budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.ratio, slack=self.slack, window_s=self.window_s
            )
            self.budgets[service] = budget
        return budget
