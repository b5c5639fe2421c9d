"""Store the limits on requests a second that targets name in their answers; pure."""

from dataclasses import dataclass, field

# Targets that ended are not removed, so only the most recent ones are kept.
MAX_TARGETS = 2_000


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
        while len(self.limits) > MAX_TARGETS:
            oldest = next(iter(self.limits))
            del self.limits[oldest]
            self.learned_at.pop(oldest, None)
        if known is None:
            return True
        return (known.limit_per_s, known.refuses) != (limit.limit_per_s, limit.refuses)

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

    def list_limited(self) -> list[str]:
        """Return the targets that have a limit."""
        return [
            target
            for target, limit in self.limits.items()
            if limit.limit_per_s is not None
        ]

    def list_recent(self, since: float) -> list[str]:
        """Return the targets whose limit began or ended, as learned since a time."""
        return [target for target, at in self.learned_at.items() if at >= since]
