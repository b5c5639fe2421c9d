"""Order waiting requests by priority and refuse those that would be late; pure."""

from bisect import insort
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueTicket:
    """Describe a waiting request: its rank and the time until which it may wait."""

    priority: int
    number: int
    give_up_at: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key in the queue; the lowest goes first."""
        return -self.priority, self.number


@dataclass(kw_only=True, slots=True)
class Capacity:
    """Estimate how soon slots come free, from how long requests run."""

    mean_duration_s: float = 0.0
    weight: float = 0.1  # of the latest duration in the mean

    def record_duration(self, duration_s: float) -> None:
        """Update the mean with the duration of an ended request."""
        if self.mean_duration_s == 0.0:
            self.mean_duration_s = duration_s
            return
        self.mean_duration_s += self.weight * (duration_s - self.mean_duration_s)

    def estimate_wait(self, n_ahead: int, n_active: int) -> float:
        """Return the seconds until a slot is free after `n_ahead` earlier requests.

        The rate is that of the slots in use, not of recently ended requests: few
        end in a quiet period, and the first requests of a surge would be refused.
        """
        return (n_ahead + 1) * self.mean_duration_s / max(1, n_active)


@dataclass(kw_only=True, slots=True)
class WaitingQueue:
    """Store a bounded number of waiting requests in the order of their rank."""

    limit: int
    capacity: Capacity = field(default_factory=Capacity)
    tickets: list[QueueTicket] = field(default_factory=list)

    def estimate_wait(self, ticket: QueueTicket, n_active: int) -> float:
        """Return the seconds that a ticket would wait, given the active requests."""
        n_ahead = sum(item.rank < ticket.rank for item in self.tickets)
        return self.capacity.estimate_wait(n_ahead, n_active)

    def offer(
        self, ticket: QueueTicket, now: float, n_active: int
    ) -> list[QueueTicket]:
        """Add a ticket and return the refused ones: itself, others or none."""
        if now + self.estimate_wait(ticket, n_active) > ticket.give_up_at:
            return [ticket]
        insort(self.tickets, ticket, key=lambda item: item.rank)
        refused = self.evict_late(now, n_active)
        if len(self.tickets) > self.limit:
            refused.append(self.tickets.pop())
        return refused

    def evict_late(self, now: float, n_active: int) -> list[QueueTicket]:
        """Remove and return the tickets that can no longer be served in time."""
        kept: list[QueueTicket] = []
        late: list[QueueTicket] = []
        for ticket in self.tickets:
            wait_s = self.capacity.estimate_wait(len(kept), n_active)
            # The estimate is rough. Half of it keeps the tickets that offer()
            # accepted, and finds those that later tickets have overtaken.
            is_late = now + wait_s / 2 >= ticket.give_up_at
            (late if is_late else kept).append(ticket)
        self.tickets = kept
        return late

    def is_first(self, ticket: QueueTicket) -> bool:
        """Return whether no request waits ahead of a ticket."""
        return not self.tickets or ticket.rank <= self.tickets[0].rank

    def remove(self, ticket: QueueTicket) -> None:
        """Remove a ticket if it is still queued."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)
