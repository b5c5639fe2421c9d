"""Count the prompts that each host sent to each target within the last second; pure."""

from collections import Counter, deque
from dataclasses import dataclass, field

RECENT_S = 1.0


@dataclass(frozen=True, slots=True)
class Send:
    """Describe when a host sent a prompt, or when its report of it arrived."""

    host: str
    sent_at: float


@dataclass(kw_only=True, slots=True)
class RecentSends:
    """Store the sends of the last second, by incarnation of the target."""

    sends: dict[str, deque[Send]] = field(default_factory=dict)

    def add(self, target: str, host: str, now: float) -> None:
        """Add a prompt that a host sent to a target."""
        self.sends.setdefault(target, deque()).append(Send(host, now))

    def count_by_host(self, target: str, now: float) -> Counter[str]:
        """Return how many prompts each host sent to a target."""
        return Counter(send.host for send in self._list_recent(target, now))

    def _list_recent(self, target: str, now: float) -> deque[Send]:
        sends = self.sends.get(target, deque())
        while sends and now - sends[0].sent_at > RECENT_S:
            sends.popleft()
        return sends

    def remove_expired(self, now: float) -> None:
        """Remove the targets that got no prompt lately."""
        for target in list(self.sends):
            if not self._list_recent(target, now):
                del self.sends[target]
