"""Hold the paces of targets, as this host and its peers observed them; pure."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.reading_pace import (
    FIRST_TOKENS_PER_S,
    Reading,
    ReadingPace,
    add_up,
    estimate_fleet_pace,
    estimate_pace,
)

# Its decayed sums are worth nothing long before.
MAX_SOURCES = 500
# The mean of all targets changes slowly, and to sum it up for each choice would cost a
# host of 90 before 70 targets more than the request itself.
FLEET_AGE_S = 0.5


@dataclass(kw_only=True, slots=True)
class ReadingBoard:
    """Sum up readings by target, over all hosts that tell of theirs."""

    own: dict[str, ReadingPace] = field(
        default_factory=lambda: defaultdict(ReadingPace)
    )
    others: dict[str, dict[str, ReadingPace]] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)  # own, since they were told last
    fleet_pace: float = FIRST_TOKENS_PER_S
    fleet_at: float = float("-inf")

    def note(self, target: str, n_tokens: int, seconds: float, now: float) -> None:
        """Count a reading that this host observed."""
        self.own[target].note(n_tokens, seconds, now)
        self.changed.add(target)

    def take_new(self, now: float) -> dict[str, Reading]:
        """Return the own readings that changed since the last call."""
        changed, self.changed = self.changed, set()
        return {name: self.own[name].get(now) for name in changed if name in self.own}

    def take(self, host: str, readings: Mapping[str, Reading], now: float) -> None:
        """Take in the sums that a peer tells."""
        if host not in self.others and len(self.others) >= MAX_SOURCES:
            del self.others[next(iter(self.others))]
        known = self.others.setdefault(host, {})
        for target, reading in readings.items():
            known[target] = ReadingPace(
                tokens=reading.tokens, seconds=reading.seconds, at=now
            )

    def add_up(self, target: str, now: float, without: str = "") -> Reading:
        """Return a target's readings by all hosts but one."""
        paces = [self.own[target]] if target in self.own else []
        paces += [
            known[target]
            for host, known in self.others.items()
            if target in known and host != without
        ]
        return add_up(pace.get(now) for pace in paces)

    def get_pace(self, target: str, now: float) -> float:
        """Return the tokens a second that a target reads.

        One that nobody observed yet is taken to be like the others.
        """
        if now - self.fleet_at >= FLEET_AGE_S:
            targets = set(self.own).union(*self.others.values())
            fleet = add_up(self.add_up(name, now) for name in targets)
            self.fleet_pace = estimate_fleet_pace(fleet)
            self.fleet_at = now
        return estimate_pace(self.add_up(target, now), self.fleet_pace)

    def forget_others(self, targets: Collection[str]) -> None:
        """Forget all targets but some; a restarted one may be of another speed."""
        for known in (self.own, *self.others.values()):
            for target in set(known).difference(targets):
                del known[target]
