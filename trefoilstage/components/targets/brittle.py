"""Store which services' targets fall over when they turn requests away; pure."""

from dataclasses import dataclass, field

from trefoilstage.util.hashing import rank_by_rendezvous_cached

# All targets of a brittle service say so in all answers.
FORGET_AFTER_S = 5.0


def count_own_slots(
    host: str, hosts: tuple[str, ...], target: str, n_slots: int
) -> int:
    """Return how many of a target's slots a host may fill, out of all hosts.

    Hosts hear of each other's requests too late to leave room for them: many fill the
    same free slot at once. The shares add up to the target's slots.
    """
    if host not in hosts:
        return 1
    n_each, n_left = divmod(n_slots, len(hosts))
    position = rank_by_rendezvous_cached(target, hosts).index(host)
    return n_each + (position < n_left)


@dataclass(kw_only=True, slots=True)
class BrittleServices:
    """Store when a target of each service last said that it is brittle."""

    said_at: dict[str, float] = field(default_factory=dict)

    def record(self, service: str, now: float) -> bool:
        """Record that a target says so; return whether that is new of its service."""
        is_new = not self.is_brittle(service, now)
        self.said_at[service] = now
        return is_new

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether a service's targets must not turn requests away."""
        said_at = self.said_at.get(service)
        return said_at is not None and now - said_at <= FORGET_AFTER_S
