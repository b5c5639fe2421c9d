"""Distinguish requests that crash targets from those interrupted by chance; pure.

Expected load: while one request crashes a target every second, each crash interrupts a
dozen harmless requests, some of them repeatedly as they are retried at other targets.
Other targets stop for unrelated reasons at the same time.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.crashes.models import Crash

# Two targets may crash under a harmless request by chance. From three on, the crashes
# have a cause.
MIN_CRASHED_TARGETS = 3
# Limits the memory of a host and the records in the store when hundreds of targets stop
# while each runs dozens of requests.
MAX_CRASHES = 4_096
# A suspected request is recognized if it is repeated within this time.
SUSPECT_RETENTION_S = 600.0
# After this time a blocked request may run again, as the cause may have been fixed.
BLOCKED_RETENTION_S = 3_600.0


@dataclass(kw_only=True, slots=True)
class CrashEvidence:
    """Record which targets crashed under which requests, the oldest crash first."""

    max_crashes: int = MAX_CRASHES
    seen_at: "OrderedDict[Crash, float]" = field(default_factory=OrderedDict)
    targets_by_fingerprint: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    blocked_fingerprints: frozenset[str] = frozenset()

    def add(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it is new."""
        if crash in self.seen_at:
            return False
        self.seen_at[crash] = now
        self.targets_by_fingerprint[crash.fingerprint].add(crash.target)
        while len(self.seen_at) > self.max_crashes:
            self.remove(self._select_crash_to_drop(crash.fingerprint))
        self._update_blocked(crash.fingerprint)
        return True

    def remove(self, crash: Crash) -> None:
        """Remove a crash."""
        if crash in self.seen_at:
            self._delete(crash)
            self._update_blocked(crash.fingerprint)

    def get_seen_times(self) -> dict[str, float]:
        """Return the loop time at which each crash was added, by the crash's key."""
        return {crash.key: seen_at for crash, seen_at in self.seen_at.items()}

    def list_crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, sorted by target."""
        return [
            Crash(fingerprint=fingerprint, target=target)
            for target in sorted(self.targets_by_fingerprint.get(fingerprint, ()))
        ]

    def compute_wait_s(self, fingerprint: str, now: float) -> float:
        """Return the seconds until a blocked request may run again."""
        seen_at = sorted(
            self.seen_at[crash] for crash in self.list_crashes(fingerprint)
        )
        # Once this crash expires, too few are left to block the request.
        decisive_crash_at = seen_at[len(seen_at) - MIN_CRASHED_TARGETS]
        return max(0.0, decisive_crash_at + BLOCKED_RETENTION_S - now)

    def has_crashes(self, fingerprint: str) -> bool:
        """Return whether a target crashed under a request."""
        return fingerprint in self.targets_by_fingerprint

    def list_expired(self, now: float) -> list[Crash]:
        """Return the crashes whose retention time has passed."""
        return [
            crash
            for crash, seen_at in self.seen_at.items()
            if now - seen_at > self._get_retention_s(crash)
        ]

    def _get_retention_s(self, crash: Crash) -> float:
        return (
            BLOCKED_RETENTION_S
            if crash.fingerprint in self.blocked_fingerprints
            else SUSPECT_RETENTION_S
        )

    def _select_crash_to_drop(self, added_fingerprint: str) -> Crash:
        # The crashes of a blocked request must outlast a burst of other crashes.
        kept = self.blocked_fingerprints | {added_fingerprint}
        suspects = (crash for crash in self.seen_at if crash.fingerprint not in kept)
        return next(suspects, next(iter(self.seen_at)))

    def _delete(self, crash: Crash) -> None:
        del self.seen_at[crash]
        targets = self.targets_by_fingerprint[crash.fingerprint]
        targets.discard(crash.target)
        if not targets:
            del self.targets_by_fingerprint[crash.fingerprint]

    def _update_blocked(self, changed_fingerprint: str) -> None:
        n_crashes = len(self.targets_by_fingerprint.get(changed_fingerprint, ()))
        if (
            n_crashes >= MIN_CRASHED_TARGETS
            or changed_fingerprint in self.blocked_fingerprints
        ):
            self.blocked_fingerprints = find_causes(self.targets_by_fingerprint)


def find_causes(targets_by_fingerprint: Mapping[str, Iterable[str]]) -> frozenset[str]:
    """Return the fingerprints of the requests that explain why targets crashed.

    The request under which most targets crashed explains those crashes, and only the
    remaining ones count against other requests. Otherwise, harmless requests that were
    interrupted together with a crashing one would be blocked as well.
    """
    unexplained = {
        fingerprint: set(crashed)
        for fingerprint, crashed in targets_by_fingerprint.items()
        if len(set(crashed)) >= MIN_CRASHED_TARGETS
    }
    causes: set[str] = set()
    while unexplained:
        likeliest = max(unexplained, key=lambda item: (len(unexplained[item]), item))
        explained = unexplained.pop(likeliest)
        if len(explained) < MIN_CRASHED_TARGETS:
            break
        causes.add(likeliest)
        for remaining in unexplained.values():
            remaining.difference_update(explained)
    return frozenset(causes)
