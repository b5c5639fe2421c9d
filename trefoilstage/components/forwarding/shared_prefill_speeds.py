"""Combine the prefill speeds that this host and its peers observed; pure."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.prefill_speed import (
    DEFAULT_TOKENS_PER_S,
    DecayingTotals,
    PrefillTotals,
    estimate_fleet_speed,
    estimate_speed,
    sum_totals,
)

# Above this number, the peer that was the first to report is dropped. The totals of a
# peer that has ended have decayed to almost nothing long before.
MAX_PEERS = 500
# The mean of all targets changes slowly. Computing it for each choice would cost a host
# in a fleet of 90 hosts and 70 targets more than the request itself.
MAX_FLEET_SPEED_AGE_S = 0.5


@dataclass(kw_only=True, slots=True)
class SharedPrefillSpeeds:
    """Sum up prefill samples by target, over this host and its reporting peers."""

    own: dict[str, DecayingTotals] = field(
        default_factory=lambda: defaultdict(DecayingTotals)
    )
    peers: dict[str, dict[str, DecayingTotals]] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)  # targets with unreported samples
    fleet_speed: float = DEFAULT_TOKENS_PER_S
    fleet_speed_at: float = float("-inf")

    def add_sample(
        self, target: str, n_tokens: int, seconds: float, now: float
    ) -> None:
        """Add a prefill that this host observed."""
        self.own[target].add_sample(n_tokens, seconds, now)
        self.changed.add(target)

    def pop_changed(self, now: float) -> dict[str, PrefillTotals]:
        """Return this host's totals that changed since the last call."""
        changed, self.changed = self.changed, set()
        return {name: self.own[name].get(now) for name in changed if name in self.own}

    def receive_totals(
        self, host: str, totals: Mapping[str, PrefillTotals], now: float
    ) -> None:
        """Store the totals that a peer reported."""
        if host not in self.peers and len(self.peers) >= MAX_PEERS:
            del self.peers[next(iter(self.peers))]
        by_target = self.peers.setdefault(host, {})
        for target, item in totals.items():
            by_target[target] = DecayingTotals(
                tokens=item.tokens, seconds=item.seconds, decayed_at=now
            )

    def get_totals(
        self, target: str, now: float, except_host: str = ""
    ) -> PrefillTotals:
        """Return a target's totals over all hosts except `except_host`."""
        known_totals = [self.own[target]] if target in self.own else []
        known_totals += [
            by_target[target]
            for host, by_target in self.peers.items()
            if target in by_target and host != except_host
        ]
        return sum_totals(item.get(now) for item in known_totals)

    def get_speed(self, target: str, now: float) -> float:
        """Return the prefill speed of a target, in tokens per second.

        A target without samples is assumed to have the mean speed of all targets.
        """
        if now - self.fleet_speed_at >= MAX_FLEET_SPEED_AGE_S:
            targets = set(self.own).union(*self.peers.values())
            fleet = sum_totals(self.get_totals(name, now) for name in targets)
            self.fleet_speed = estimate_fleet_speed(fleet)
            self.fleet_speed_at = now
        return estimate_speed(self.get_totals(target, now), self.fleet_speed)

    def keep_only(self, targets: Collection[str]) -> None:
        """Remove all other targets; a restarted target may have another speed."""
        for by_target in (self.own, *self.peers.values()):
            for target in set(by_target).difference(targets):
                del by_target[target]
