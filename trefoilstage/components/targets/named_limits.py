"""Store the limits on requests a second that targets name in their answers; pure."""

from collections.abc import Collection
from dataclasses import dataclass, field

MAX_TARGETS = 2_000
# A target whose entry expired in an outage of the store may return with its limit.
FORGET_AFTER_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedLimit:
    """Describe what a target's answer at some time said of the requests it takes."""

    limit_per_s: float | None  # from all hosts together, None without a limit
    named_at: float
    refuses: bool = False  # it turned a request away and asked for rest

    @property
    def is_none(self) -> bool:
        """Return whether the target takes requests without a limit."""
        return self.limit_per_s is None and not self.refuses


@dataclass(kw_only=True, slots=True)
class NamedLimits:
    """Store the newest limit of each target that named one, by incarnation."""

    limits: dict[str, NamedLimit] = field(default_factory=dict)
    # When this host learned that each target's limit began or ended.
    learned_at: dict[str, float] = field(default_factory=dict)
    # Targets that don't take all requests; looked at for each request.
    limited: set[str] = field(default_factory=set)

    def record(self, target: str, limit: NamedLimit, now: float) -> bool:
        """Store a limit unless a newer one is known; return whether it changed."""
        known = self.limits.get(target)
        if known is None and limit.is_none:
            return False
        if known is not None and limit.named_at <= known.named_at:
            return False
        if known is None or known.is_none != limit.is_none:
            self.learned_at[target] = now
        self.limits.pop(target, None)
        self.limits[target] = limit
        if limit.is_none:
            self.limited.discard(target)
        else:
            self.limited.add(target)
        while len(self.limits) > MAX_TARGETS:
            self._forget(next(iter(self.limits)))
        if known is None:
            return True
        return (known.limit_per_s, known.refuses) != (limit.limit_per_s, limit.refuses)

    def remove_ended(self, listed: Collection[str], now: float) -> None:
        """Forget targets that are not listed and were not heard from for long."""
        for target, limit in list(self.limits.items()):
            if target not in listed and now - limit.named_at > FORGET_AFTER_S:
                self._forget(target)

    def _forget(self, target: str) -> None:
        del self.limits[target]
        self.learned_at.pop(target, None)
        self.limited.discard(target)

    def get(self, target: str) -> NamedLimit | None:
        """Return what is known of a target's limit, None if it never named one."""
        return self.limits.get(target)

    def get_limit(self, target: str) -> float | None:
        """Return the limit of a target in requests a second, None without one."""
        known = self.limits.get(target)
        return known.limit_per_s if known else None

    def is_refusing(self, target: str) -> bool:
        """Return whether a target last turned a request away and asked for rest."""
        known = self.limits.get(target)
        return known is not None and known.refuses

    def list_recent(self, since: float) -> list[str]:
        """Return the targets whose limit began or ended, as learned since a time."""
        return [target for target, at in self.learned_at.items() if at >= since]
