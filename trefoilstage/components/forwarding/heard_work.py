"""Keep what other hosts have under way at targets, for as long as it holds; pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.work import Work

# A host that is silent this long is taken to have nothing under way.
MAX_AGE_S = 1.5
# What was asked for one request serves those that come just after it.
TOTALS_AGE_S = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """Hold work by target as it was heard at a moment."""

    work: Mapping[str, Work]
    at: float


@dataclass(kw_only=True, slots=True)
class HeardWork:
    """Hold the latest report of each host."""

    reports: dict[str, Heard] = field(default_factory=dict)

    def take(self, host: str, work: Mapping[str, Work], now: float) -> None:
        """Take in a host's report in place of its last."""
        self.reports[host] = Heard(work=work, at=now)

    def list_work(self, target: str, now: float, without: str = "") -> list[Work]:
        """Return what hosts have at a target, but for one of them."""
        return [
            heard.work[target]
            for host, heard in self.reports.items()
            if target in heard.work and now - heard.at <= MAX_AGE_S and host != without
        ]

    def forget_old(self, now: float) -> None:
        """Forget reports that no longer hold; a replaced host has another name."""
        self.reports = {
            host: heard
            for host, heard in self.reports.items()
            if now - heard.at <= MAX_AGE_S
        }


@dataclass(kw_only=True, slots=True)
class AskedWork:
    """Hold the totals that were asked for, by target."""

    totals: dict[str, Work] = field(default_factory=dict)
    asked_at: dict[str, float] = field(default_factory=dict)

    def take(self, totals: Mapping[str, Work], now: float) -> None:
        """Take in the answer of a host that gathers some targets' work."""
        self.totals.update(totals)
        self.asked_at.update(dict.fromkeys(totals, now))

    def list_work(self, target: str, now: float) -> list[Work]:
        """Return the total at a target, nothing if it is too old."""
        asked_at = self.asked_at.get(target)
        if asked_at is None or now - asked_at > TOTALS_AGE_S:
            return []
        return [self.totals[target]]

    def forget_old(self, now: float) -> None:
        """Forget totals that no longer hold; a restarted target has another name."""
        for target, asked_at in list(self.asked_at.items()):
            if now - asked_at > TOTALS_AGE_S:
                del self.asked_at[target]
                del self.totals[target]
