"""Order waiting requests by priority and refuse at the door; pure."""

from bisect import insort
from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """Describe a waiting request: its rank and until when waiting serves it."""

    priority: int
    number: int
    give_up_at: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return the place among others; lower goes first."""
        return -self.priority, self.number


@dataclass(kw_only=True, slots=True)
class Capacity:
    """Estimate how soon places come free, from how long requests run."""

    mean_duration_s: float = 0.0
    weight: float = 0.1

    def note_duration(self, duration_s: float) -> None:
        """Take the duration of a request that ended."""
        if self.mean_duration_s == 0.0:
            self.mean_duration_s = duration_s
            return
        self.mean_duration_s += self.weight * (duration_s - self.mean_duration_s)

    def estimate_wait(self, n_ahead: int, n_active: int) -> float:
        """Return the seconds until the place after those ahead comes free.

        The rate is that of full places, not of recent ends: after a quiet
        time few requests ended, and that would refuse the first of a surge.
        """
        return (n_ahead + 1) * self.mean_duration_s / max(1, n_active)


@dataclass(kw_only=True, slots=True)
class WaitingQueue:
    """Hold a bounded number of waiting requests, the first to go first."""

    limit: int
    capacity: Capacity = field(default_factory=Capacity)
    tickets: list[Ticket] = field(default_factory=list)

    def estimate_wait(self, ticket: Ticket, n_active: int) -> float:
        """Return how long a ticket would wait, given this host's active ones."""
        n_ahead = sum(item.rank < ticket.rank for item in self.tickets)
        return self.capacity.estimate_wait(n_ahead, n_active)

    def offer(self, ticket: Ticket, now: float, n_active: int) -> list[Ticket]:
        """Take a ticket in and return those refused: itself, a lower one or none."""
        if now + self.estimate_wait(ticket, n_active) > ticket.give_up_at:
            return [ticket]
        insort(self.tickets, ticket, key=lambda item: item.rank)
        refused = self.take_hopeless(now, n_active)
        if len(self.tickets) > self.limit:
            refused.append(self.tickets.pop())
        return refused

    def take_hopeless(self, now: float, n_active: int) -> list[Ticket]:
        """Take out the tickets that can no longer be served in time."""
        kept: list[Ticket] = []
        refused: list[Ticket] = []
        for ticket in self.tickets:
            wait_s = self.capacity.estimate_wait(len(kept), n_active)
            # The estimate is rough. Half of it leaves those their place whom
            # the door let in, and finds those whom others have overtaken.
            hopeless = now + wait_s / 2 >= ticket.give_up_at
            (refused if hopeless else kept).append(ticket)
        self.tickets = kept
        return refused

    def is_first(self, ticket: Ticket) -> bool:
        """Tell whether nobody waits before a ticket."""
        return not self.tickets or ticket.rank <= self.tickets[0].rank

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, if it is still in."""
        if ticket in self.tickets:
            self.tickets.remove(ticket)
