"""Tell requests that crash targets from those that were under way by chance; pure.

Load: while one request crashes a target every second, a dozen sound ones are cut each
time, some of them again and again as they are repeated elsewhere. Other targets end by
themselves meanwhile.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.crashes.models import Crash

# Two targets that end under a sound request are bad luck; three have a cause.
MIN_CRASHES = 3
# Bounds the memory of a host and the records in the store, where hundreds of targets
# with dozens of requests each end.
MAX_CRASHES = 4_096
# A request that comes again within this time is still recognized.
SUSPECT_AGE_S = 600.0
# After this, a request that was blocked may run again, as its cause may be mended.
BLOCKED_AGE_S = 3_600.0


@dataclass(kw_only=True, slots=True)
class CrashEvidence:
    """Hold which targets ended under which requests, the oldest first."""

    max_crashes: int = MAX_CRASHES
    seen_at: "OrderedDict[Crash, float]" = field(default_factory=OrderedDict)
    targets: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    blocked: frozenset[str] = frozenset()  # fingerprints

    def add(self, crash: Crash, now: float) -> bool:
        """Take in a crash; tell whether it is news."""
        if crash in self.seen_at:
            return False
        self.seen_at[crash] = now
        self.targets[crash.fingerprint].add(crash.target)
        while len(self.seen_at) > self.max_crashes:
            self.remove(self._find_oldest(crash.fingerprint))
        self._judge(crash.fingerprint)
        return True

    def remove(self, crash: Crash) -> None:
        """Forget a crash."""
        if crash in self.seen_at:
            self._drop(crash)
            self._judge(crash.fingerprint)

    def list_all(self) -> dict[str, float]:
        """Return when each crash was seen, by its key."""
        return {crash.key: seen_at for crash, seen_at in self.seen_at.items()}

    def list_crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, in an order of their own."""
        return [
            Crash(fingerprint=fingerprint, target=target)
            for target in sorted(self.targets.get(fingerprint, ()))
        ]

    def count_wait(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a blocked request may run again."""
        seen_at = sorted(
            self.seen_at[crash] for crash in self.list_crashes(fingerprint)
        )
        # Without this crash, too few would be left to block the request.
        decisive = seen_at[len(seen_at) - MIN_CRASHES]
        return max(0.0, decisive + BLOCKED_AGE_S - now)

    def knows(self, fingerprint: str) -> bool:
        """Tell whether a target ended under a request."""
        return fingerprint in self.targets

    def list_expired(self, now: float) -> list[Crash]:
        """Return the crashes that no longer count."""
        return [
            crash
            for crash, seen_at in self.seen_at.items()
            if now - seen_at > self._get_age_limit(crash)
        ]

    def _get_age_limit(self, crash: Crash) -> float:
        return BLOCKED_AGE_S if crash.fingerprint in self.blocked else SUSPECT_AGE_S

    def _find_oldest(self, newest: str) -> Crash:
        # What is known of a blocked request must outlast a burst of other crashes.
        kept = self.blocked | {newest}
        suspects = (crash for crash in self.seen_at if crash.fingerprint not in kept)
        return next(suspects, next(iter(self.seen_at)))

    def _drop(self, crash: Crash) -> None:
        del self.seen_at[crash]
        targets = self.targets[crash.fingerprint]
        targets.discard(crash.target)
        if not targets:
            del self.targets[crash.fingerprint]

    def _judge(self, changed: str) -> None:
        n_crashes = len(self.targets.get(changed, ()))
        if n_crashes >= MIN_CRASHES or changed in self.blocked:
            self.blocked = find_causes(self.targets)


def find_causes(targets: Mapping[str, Iterable[str]]) -> frozenset[str]:
    """Return the requests that explain why targets ended.

    The request under which most targets ended explains those, and only what is left
    counts against the others. Else the sound requests that were cut together with a
    crashing one would be blocked as well.
    """
    unexplained = {
        fingerprint: set(ended)
        for fingerprint, ended in targets.items()
        if len(set(ended)) >= MIN_CRASHES
    }
    causes: set[str] = set()
    while unexplained:
        worst = max(unexplained, key=lambda name: (len(unexplained[name]), name))
        explained = unexplained.pop(worst)
        if len(explained) < MIN_CRASHES:
            break
        causes.add(worst)
        for others in unexplained.values():
            others.difference_update(explained)
    return frozenset(causes)
