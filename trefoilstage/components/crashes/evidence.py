"""Keep which targets crashed under which requests and prompt parts; pure.

Expected load: while one request crashes a target every second, each crash interrupts a
dozen harmless requests, some of them repeatedly as they are retried at other targets.
Other targets stop for unrelated reasons at the same time.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from trefoilstage.components.crashes.causes import (
    MIN_CRASHED_TARGETS,
    NO_CAUSES,
    SAME_MOMENT_MS,
    Causes,
    WeakSuspect,
    find_causes,
    find_suspects,
)
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.components.crashes.models import (
    Crash,
    TargetLoad,
    make_crash,
    name_restart,
)
from trefoilstage.components.crashes.target_loads import TargetLoads

# Limits the memory of a host and the records in the store when hundreds of targets stop
# while each runs dozens of requests.
MAX_CRASHES = 4_096
# A suspected request is recognized if it is repeated within this time.
SUSPECT_RETENTION_S = 600.0
# After this time a blocked request may run again, as the cause may have been fixed.
BLOCKED_RETENTION_S = 3_600.0

# Finding the causes takes 0.06 s at the bound of crashes.
DROPS_BETWEEN_REFRESHES = 256

MS_PER_S = 1_000

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
    loads: TargetLoads = field(default_factory=TargetLoads)
    unix_offset_s: float = 0.0  # Unix time minus loop time
    _n_crashes_by_target: Counter[str] = field(default_factory=Counter)
    _at_ms: dict[Crash, int] = field(default_factory=dict)
    _trials: set[Crash] = field(default_factory=set)
    _parts: dict[Crash, frozenset[str]] = field(default_factory=dict)
    _causes: Causes = field(default_factory=Causes)
    _weak_causes: Causes = field(default_factory=Causes)
    _weak_suspects: dict[tuple[str, frozenset[str]], list[WeakSuspect]] = field(
        default_factory=dict
    )
    _are_causes_stale: bool = False
    _n_drops_until_refresh: int = 0

    @property
    def causes(self) -> Causes:
        """Return which requests and parts are blocked."""
        self._refresh()
        return self._causes

    @property
    def weak_causes(self) -> Causes:
        """Return the requests and parts whose crashes overload may explain."""
        self._refresh()
        return self._weak_causes

    def _refresh(self) -> None:
        if self._are_causes_stale:
            self._find_causes()
            self._weak_suspects.clear()
            self._are_causes_stale = False

    def _find_causes(self) -> None:
        suspected = self._merge_aliases(self._select_suspected_parts())
        targets = {crash.target for crash in suspected}
        firm_targets = set(filter(self.loads.is_firm, targets))
        firm = {
            crash: parts
            for crash, parts in suspected.items()
            if crash.target in firm_targets
        }
        causes = self._causes = find_causes(firm, self._causes)
        if len(firm) == len(suspected):
            self._weak_causes = NO_CAUSES
            return
        explained = {
            crash.target
            for crash, parts in suspected.items()
            if causes.includes(crash.fingerprint, parts)
        }
        remaining = {
            crash: parts
            for crash, parts in suspected.items()
            if crash.target not in explained
        }
        self._weak_causes = find_suspects(remaining)

    @property
    def blocked_fingerprints(self) -> frozenset[str]:
        """Return the requests that are blocked as a whole."""
        return self.causes.fingerprints

    def _merge_aliases(
        self, parts_by_crash: dict[Crash, frozenset[str]]
    ) -> dict[Crash, frozenset[str]]:
        """Return crashes with one name for each start of a target."""
        merged: dict[Crash, frozenset[str]] = {}
        targets = {crash.target for crash in parts_by_crash}
        starts = {target: self.loads.list_aliases(target)[0] for target in targets}
        for crash, parts in parts_by_crash.items():
            start = starts[crash.target]
            item = crash if start == crash.target else replace(crash, target=start)
            merged[item] = merged.get(item, parts) & parts
        return merged

    def add(self, crash: Crash, now: float) -> bool:
        """Add a crash; return whether it is new."""
        self._weak_suspects.clear()
        if crash.load is not None:
            self.add_load(crash.load)
        if crash.is_trial:
            self._trials.add(crash)
        if crash in self.seen_at:
            return False
        self.seen_at[crash] = now
        self._at_ms[crash] = crash.at_ms
        self.loads.add_time(crash.target, crash.at_ms)
        # Two targets become one if they are starts that hosts took for different ones.
        has_aliases = len(self.loads.list_aliases(crash.target)) > 1
        self.targets_by_fingerprint[crash.fingerprint].add(crash.target)
        self._n_crashes_by_target[crash.target] += 1
        self._parts[crash] = frozenset(crash.parts)
        for part in crash.parts:
            self.crashes_by_part[part].add(crash)
        while len(self.seen_at) > self.max_crashes:
            self.remove(self._select_crash_to_drop(crash))
        self._are_causes_stale |= has_aliases or self._may_change_causes(crash)
        return True

    def remove(self, crash: Crash) -> None:
        """Remove a crash."""
        if crash not in self.seen_at:
            return
        self._weak_suspects.clear()
        self._are_causes_stale |= self._may_change_causes(crash)
        del self.seen_at[crash], self._at_ms[crash]
        self._trials.discard(crash)
        targets = self.targets_by_fingerprint[crash.fingerprint]
        targets.discard(crash.target)
        if not targets:
            del self.targets_by_fingerprint[crash.fingerprint]
        self._n_crashes_by_target -= Counter([crash.target])
        for part in self._parts.pop(crash):
            self._unlink(part, crash)

    def add_load(self, load: TargetLoad) -> None:
        """Add how many requests a target had under way when it stopped."""
        self._are_causes_stale |= self.loads.add(load)

    def close_loads(self, target: str) -> None:
        """Decide whether overload explains a target's crashes."""
        self.loads.close(target)
        self._are_causes_stale = True

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
        blocked_parts = self.find_blocked_parts(fingerprint, parts)
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

    def is_suspect(self, fingerprint: str, parts: frozenset[str]) -> bool:
        """Return whether a request is a cause of crashes, or may be one."""
        return self.causes.includes(fingerprint, parts) or self.weak_causes.includes(
            fingerprint, parts
        )

    def is_blocked(self, fingerprint: str, parts: frozenset[str]) -> bool:
        """Return whether a request must not be sent."""
        return self.causes.includes(fingerprint, parts) or any(
            suspect.is_blocked for suspect in self.list_weak(fingerprint, parts)
        )

    def find_blocked_parts(
        self, fingerprint: str, parts: frozenset[str]
    ) -> frozenset[str] | None:
        """Return the parts for which a request is blocked, None if it is itself."""
        if self.causes.includes(fingerprint, parts):
            return self.causes.find_parts(parts)
        weak = self.list_weak(fingerprint, parts)
        return next((suspect.parts for suspect in weak if suspect.is_blocked), None)

    def list_weak(self, fingerprint: str, parts: frozenset[str]) -> list[WeakSuspect]:
        """Return a request and its parts that overload may have made suspect."""
        weak = self.weak_causes
        if not (weak.fingerprints or weak.part_sets):
            return []
        known = self._weak_suspects.get((fingerprint, parts))
        if known is not None:
            return known
        found: list[WeakSuspect] = []
        if fingerprint in weak.fingerprints:
            crashes = self.list_crashes(fingerprint)
            found.append(self._describe_weak(fingerprint, None, crashes))
        for names in weak.part_sets:
            if names <= parts:
                name = describe_parts(sorted(names))
                crashes = self._list_with_parts(names)
                found.append(self._describe_weak(name, names, crashes))
        if found:
            # Waiting requests are checked many times.
            if len(self._weak_suspects) >= self.max_crashes:
                self._weak_suspects.clear()
            self._weak_suspects[(fingerprint, parts)] = found
        return found

    def _describe_weak(
        self, name: str, parts: frozenset[str] | None, crashes: Iterable[Crash]
    ) -> WeakSuspect:
        times: dict[str, int] = {}
        trials: set[str] = set()
        for crash in crashes:
            seen_s = self.seen_at[crash] + self.unix_offset_s
            at_ms = self._at_ms[crash] or int(seen_s * MS_PER_S)
            start = self.loads.list_aliases(crash.target)[0]
            times[start] = min(at_ms, times.get(start, at_ms))
            if crash in self._trials:
                trials.add(start)
        return WeakSuspect(
            name=name,
            parts=parts,
            suspect_since_ms=sorted(times.values())[:MIN_CRASHED_TARGETS][-1],
            n_trial_crashes=len(trials),
        )

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

    def find_start(self, target: str, sent_at: float) -> str:
        """Return the start of a target that a request reached at a loop time.

        A target that restarts under its name takes requests before hosts read its new
        entry, which they send to the incarnation that has crashed. Its next crash is
        another one, which other hosts may have noticed before.
        """
        if not sent_at:
            return name_restart(target, 0)
        sent_ms = (sent_at + self.unix_offset_s) * MS_PER_S
        known = self.loads.find_crash(target, sent_ms - SAME_MOMENT_MS)
        if known is not None:
            return known
        n_crashes = 0
        start = name_restart(target, n_crashes)
        while (at_ms := self.loads.get_at_ms(start)) and (
            at_ms + SAME_MOMENT_MS < sent_ms
        ):
            n_crashes += 1
            start = name_restart(target, n_crashes)
        return start

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
        return self.is_blocked(crash.fingerprint, self._parts[crash])

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
