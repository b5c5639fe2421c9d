"""Keep which targets crashed under which requests and prompt parts; pure.

Expected load: while one request crashes a target every second, each crash interrupts a
dozen harmless requests, some of them repeatedly as they are retried at other targets.
Other targets stop for unrelated reasons at the same time.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from trefoilstage.components.crashes.causes import (
    MIN_CRASHED_TARGETS,
    Causes,
    find_causes,
)
from trefoilstage.components.crashes.models import Crash, make_crash

# Limits the memory of a host and the records in the store when hundreds of targets stop
# while each runs dozens of requests.
MAX_CRASHES = 4_096
# A suspected request is recognized if it is repeated within this time.
SUSPECT_RETENTION_S = 600.0
# After this time a blocked request may run again, as the cause may have been fixed.
BLOCKED_RETENTION_S = 3_600.0

# Finding the causes takes 0.06 s at the bound of crashes.
DROPS_BETWEEN_REFRESHES = 256

NO_PARTS: frozenset[str] = frozenset()


def exonerate_none(part: str) -> bool:
    """Return that no part is known to be harmless."""
    return False


@dataclass(kw_only=True, slots=True)
class CrashEvidence:
    """Record which targets crashed under which requests, the oldest crash first."""

    max_crashes: int = MAX_CRASHES
    # Returns whether this host knows that a part ran lately without crashing a target.
    is_exonerated: Callable[[str], bool] = exonerate_none
    seen_at: "OrderedDict[Crash, float]" = field(default_factory=OrderedDict)
    targets_by_fingerprint: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    crashes_by_part: dict[str, set[Crash]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _n_crashes_by_target: Counter[str] = field(default_factory=Counter)
    _parts: dict[Crash, frozenset[str]] = field(default_factory=dict)
    _causes: Causes = field(default_factory=Causes)
    _are_causes_stale: bool = False
    _n_drops_until_refresh: int = 0

    @property
    def causes(self) -> Causes:
        """Return which requests and parts are blocked."""
        if self._are_causes_stale:
            suspected = self._select_suspected_parts()
            self._causes = find_causes(suspected, self._causes)
            self._are_causes_stale = False
        return self._causes

    @property
    def blocked_fingerprints(self) -> frozenset[str]:
        """Return the requests that are blocked as a whole."""
        return self.causes.fingerprints

    def add(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it is new."""
        if crash in self.seen_at:
            return False
        self.seen_at[crash] = now
        self.targets_by_fingerprint[crash.fingerprint].add(crash.target)
        self._n_crashes_by_target[crash.target] += 1
        self._parts[crash] = frozenset(crash.parts)
        for part in crash.parts:
            self.crashes_by_part[part].add(crash)
        while len(self.seen_at) > self.max_crashes:
            self.remove(self._select_crash_to_drop(crash))
        self._are_causes_stale |= self._may_change_causes(crash)
        return True

    def remove(self, crash: Crash) -> None:
        """Remove a crash."""
        if crash not in self.seen_at:
            return
        self._are_causes_stale |= self._may_change_causes(crash)
        del self.seen_at[crash]
        targets = self.targets_by_fingerprint[crash.fingerprint]
        targets.discard(crash.target)
        if not targets:
            del self.targets_by_fingerprint[crash.fingerprint]
        self._n_crashes_by_target -= Counter([crash.target])
        for part in self._parts.pop(crash):
            self._unlink(part, crash)

    def remove_part(self, part: str) -> None:
        """Remove a part that ran without a crash from all crashes."""
        self._are_causes_stale |= self._has_enough_crashes(part)
        for crash in list(self.crashes_by_part.get(part, ())):
            self._parts[crash] -= {part}
            self._unlink(part, crash)

    def _may_change_causes(self, crash: Crash) -> bool:
        n_targets = len(self.targets_by_fingerprint.get(crash.fingerprint, ()))
        return n_targets >= MIN_CRASHED_TARGETS or any(
            map(self._has_enough_crashes, self._parts.get(crash, ()))
        )

    def _has_enough_crashes(self, part: str) -> bool:
        return len(self.crashes_by_part.get(part, ())) >= MIN_CRASHED_TARGETS

    def _unlink(self, part: str, crash: Crash) -> None:
        crashes = self.crashes_by_part[part]
        crashes.discard(crash)
        if not crashes:
            del self.crashes_by_part[part]

    def get_seen_times(self) -> dict[str, float]:
        """Return the loop time at which each crash was added, by the crash's key."""
        return {crash.key: seen_at for crash, seen_at in self.seen_at.items()}

    def list_crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, sorted by target."""
        return [
            Crash(fingerprint=fingerprint, target=target)
            for target in sorted(self.targets_by_fingerprint.get(fingerprint, ()))
        ]

    def list_all(self) -> list[Crash]:
        """Return all crashes, with the parts that are still suspected."""
        return [
            replace(crash, parts=tuple(sorted(parts)))
            for crash, parts in self._parts.items()
        ]

    def list_targets(self, parts: frozenset[str]) -> list[str]:
        """Return the targets that crashed under requests with all of some parts."""
        return sorted({crash.target for crash in self._list_with_parts(parts)})

    def compute_wait_s(
        self, fingerprint: str, parts: frozenset[str], now: float
    ) -> float:
        """Return the seconds until a blocked request may run again."""
        blocked_parts = self.causes.find_parts(parts)
        crashes = (
            self.list_crashes(fingerprint)
            if blocked_parts is None
            else self._list_with_parts(blocked_parts)
        )
        seen_at: dict[str, float] = {}
        for crash in crashes:
            known = seen_at.get(crash.target, float("-inf"))
            seen_at[crash.target] = max(known, self.seen_at[crash])
        # Once this crash expires, too few are left to block the request.
        decisive_crash_at = sorted(seen_at.values())[-MIN_CRASHED_TARGETS]
        return max(0.0, decisive_crash_at + BLOCKED_RETENTION_S - now)

    def _list_with_parts(self, parts: frozenset[str]) -> list[Crash]:
        part = next(iter(parts))
        crashes = self.crashes_by_part.get(part, ())
        return [crash for crash in crashes if parts <= self._parts[crash]]

    def has_crashes(self, fingerprint: str, parts: frozenset[str] = NO_PARTS) -> bool:
        """Return whether a target crashed under a request or one of some parts."""
        return fingerprint in self.targets_by_fingerprint or any(
            part in self.crashes_by_part for part in parts
        )

    def has_target(self, target: str) -> bool:
        """Return whether an incarnation of a target is known to have crashed."""
        return make_crash("", target).target in self._n_crashes_by_target

    def count_targets(self, part: str) -> int:
        """Return how many targets crashed under requests with a part."""
        return len({crash.target for crash in self.crashes_by_part.get(part, ())})

    def list_expired(self, now: float) -> list[Crash]:
        """Return the crashes whose retention time has passed."""
        return [
            crash
            for crash, seen_at in self.seen_at.items()
            if now - seen_at > self._get_retention_s(crash)
        ]

    def _get_retention_s(self, crash: Crash) -> float:
        return BLOCKED_RETENTION_S if self._is_blocked(crash) else SUSPECT_RETENTION_S

    def _is_blocked(self, crash: Crash) -> bool:
        return self.causes.includes(crash.fingerprint, self._parts[crash])

    def _select_crash_to_drop(self, added: Crash) -> Crash:
        # The crashes of a blocked request must outlast a burst of other crashes.
        causes = self._get_recent_causes()
        suspects = (
            crash
            for crash in self.seen_at
            if crash.fingerprint != added.fingerprint
            and not causes.includes(crash.fingerprint, self._parts[crash])
        )
        return next(suspects, next(iter(self.seen_at)))

    def _get_recent_causes(self) -> Causes:
        """Return causes that may lack those of the last crashes."""
        if self._n_drops_until_refresh:
            self._n_drops_until_refresh -= 1
            return self._causes
        self._n_drops_until_refresh = DROPS_BETWEEN_REFRESHES
        return self.causes

    def _select_suspected_parts(self) -> dict[Crash, frozenset[str]]:
        exonerated = {part for part in self.crashes_by_part if self.is_exonerated(part)}
        return {crash: parts - exonerated for crash, parts in self._parts.items()}
