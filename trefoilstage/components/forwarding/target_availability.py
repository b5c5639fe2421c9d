"""Find the targets that a request may be sent to, and say why there are none."""

from collections.abc import Callable, Set
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry, TargetService
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.target_outcomes import TargetOutcomes
from trefoilstage.components.permits.controller import TargetPermits
from trefoilstage.components.permits.counter import compute_cold_limit
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetGroups:
    """Group targets by what a request needs to be sent there."""

    free: list[TargetEntry] = field(default_factory=list)  # no permit
    limited: list[TargetEntry] = field(default_factory=list)  # name a limit; a permit
    # Turned a request of some host away; a permit while others are free.
    refusing: list[TargetEntry] = field(default_factory=list)
    # Have a limit until they are warm; a permit, and only if the others are late.
    cold: list[TargetEntry] = field(default_factory=list)


class TargetAvailability:
    """Judge targets by their entries, their answers and what they ask for."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        settings: FleetSettings,
        timer: TimerService,
        outcomes: TargetOutcomes,
        permits: TargetPermits,
        limits: KnownLimits,
        may_have_room: Callable[[TargetEntry], bool],
    ) -> None:
        self._board = board
        self._settings = settings
        self._timer = timer
        self._outcomes = outcomes
        self._permits = permits
        self._limits = limits
        self._may_have_room = may_have_room

    def has_limited(self) -> bool:
        """Return whether any target has a limit or refuses requests."""
        return self._limits.has_limited()

    def is_free(self, target: TargetEntry) -> bool:
        """Return whether a target takes requests without a permit."""
        incarnation = target.incarnation
        has_limit = self._limits.get_limit(incarnation) is not None
        return not has_limit and not self._limits.is_refusing(incarnation)

    def needs_permit(self, target: TargetEntry, *, others_are_free: bool) -> bool:
        """Return whether a request to a target needs a permit of its home."""
        if self._limits.get_limit(target.incarnation) is not None:
            return True
        if self.is_brittle(target.service) and not self.is_free(target):
            return True
        return others_are_free and not self.is_free(target)

    def is_brittle(self, service: str) -> bool:
        """Return whether a service's targets fall over when they refuse requests."""
        return self._board.brittle.is_brittle(service, self._timer.now())

    def list_askable(self, groups: TargetGroups) -> list[TargetEntry]:
        """Return the limited and refusing targets that may be tried now."""
        asked = [*groups.limited, *(groups.refusing if groups.free else ())]
        askable = [item for item in asked if not self._permits.get_wait_s(item)]
        return askable if groups.free else [*askable, *groups.refusing]

    def group(self, targets: list[TargetEntry]) -> TargetGroups:
        """Return targets grouped by what a request needs to be sent there."""
        may_have_cold = self._board.targets.may_have_cold()
        if not may_have_cold and not self._limits.has_limited():
            return TargetGroups(free=targets)
        groups = TargetGroups()
        now = self._timer.now()
        for target in targets:
            is_cold = self._board.targets.is_cold(target, now)
            if is_cold and self.get_cold_rate(target) is not None:
                groups.cold.append(target)
            elif self._limits.get_limit(target.incarnation) is not None:
                groups.limited.append(target)
            elif self._limits.is_refusing(target.incarnation):
                # A brittle target must not turn another request away, even if no other
                # target is left.
                is_brittle = self.is_brittle(target.service)
                (groups.limited if is_brittle else groups.refusing).append(target)
            else:
                groups.free.append(target)
        return groups

    def list_allowed(
        self, target_filter: TargetFilter, excluded: Set[str] = frozenset()
    ) -> list[TargetEntry]:
        """Return the targets that a request may be sent to, if need be."""
        return self._outcomes.list_awake(self._list_ready(target_filter, excluded))

    def _list_ready(
        self, target_filter: TargetFilter, excluded: Set[str] = frozenset()
    ) -> list[TargetEntry]:
        now = self._timer.now()
        targets = self._board.targets.list_ready(target_filter.service, now)
        if excluded:
            targets = [item for item in targets if item.incarnation not in excluded]
        if target_filter.allowed_regions is not None:
            targets = [item for item in targets if self._is_in(item, target_filter)]
        if target_filter.version is None:
            return targets
        return [item for item in targets if item.version == target_filter.version]

    def _is_in(self, target: TargetEntry, target_filter: TargetFilter) -> bool:
        """Return whether a target is in a region that the filter allows."""
        allowed = target_filter.allowed_regions
        # The region of an unknown data centre is unknown too, so it is not allowed.
        return (
            allowed is None or self._settings.regions.get(target.data_center) in allowed
        )

    def list_usable(
        self, target_filter: TargetFilter, excluded: Set[str] = frozenset()
    ) -> list[TargetEntry]:
        """Return the targets to choose from, without failing ones if others work."""
        now = self._timer.now()
        allowed = self.list_allowed(target_filter, excluded)
        if self.is_brittle(target_filter.service):
            allowed = [target for target in allowed if self._may_have_room(target)]
        healthy = [
            target
            for target in allowed
            if self._outcomes.get_health(target).may_send(now, retry=False)
        ]
        # If all targets are ejected, use them anyway: one may have recovered, and
        # otherwise every request would be refused.
        return healthy or allowed

    def list_fetch_sources(
        self, target_filter: TargetFilter, excluded: Set[str]
    ) -> list[TargetEntry]:
        """Return the targets from which another one may fetch KV cache.

        A busy target is one of them: a fetch takes no slot there.
        """
        now = self._timer.now()
        return [
            target
            for target in self.list_allowed(target_filter, excluded)
            if not self._outcomes.get_health(target).is_ejected
            and not self._board.targets.is_cold(target, now)
        ]

    def list_unusable(self, service: str) -> frozenset[str]:
        """Return a service's ready targets, by incarnation, that get nothing now."""
        now = self._timer.now()
        allowed = self.list_allowed(TargetFilter(service=service))
        usable = {
            target.incarnation
            for target in self.group(allowed).free
            if self._outcomes.get_health(target).may_send(now, retry=False)
        }
        ready = self._board.targets.list_ready(service, now)
        return frozenset(target.incarnation for target in ready) - usable

    def find_free(
        self, incarnation: str, target_filter: TargetFilter, excluded: Set[str]
    ) -> TargetEntry | None:
        """Return a target that may get a request without a permit, None for others."""
        now = self._timer.now()
        allowed = self.list_allowed(target_filter, excluded)
        for target in self.group(allowed).free:
            is_wanted = target.incarnation == incarnation
            if is_wanted and self._outcomes.get_health(target).may_send(
                now, retry=False
            ):
                return target
        return None

    def get_cold_rate(self, target: TargetEntry) -> float | None:
        """Return the requests a second that a cold target tolerates, if limited."""
        service = self.get_service(target)
        if service is None or compute_cold_limit(self._settings, service) is None:
            return None
        return service.cold_requests_per_s

    def get_kv_tokens(self, target: TargetEntry) -> int | None:
        """Return the capacity of a target's KV cache, None if it runs no engine."""
        service = self.get_service(target)
        engine = service.engine if service else None
        return engine.kv_tokens if engine else None

    def get_service(self, target: TargetEntry) -> TargetService | None:
        """Return a target's service, None if the configuration has none."""
        return self.find_service(target.service)

    def find_service(self, name: str) -> TargetService | None:
        """Return a service by its name, None if the configuration has none."""
        configuration = self._board.configuration
        return configuration.services.get(name) if configuration else None

    def compute_wait_s(self, target_filter: TargetFilter) -> float:
        """Return the seconds until a target may take a request again."""
        ready = self._list_ready(target_filter)
        return min((self._compute_wait_s(target) for target in ready), default=0.0)

    def _compute_wait_s(self, target: TargetEntry) -> float:
        now = self._timer.now()
        health = self._outcomes.get_health(target)
        wait_s = health.compute_wait_s(now) if health.is_resting(now) else 0.0
        if self.needs_permit(target, others_are_free=False):
            return max(wait_s, self._permits.get_wait_s(target))
        return wait_s

    def explain_no_target(self, target_filter: TargetFilter) -> str:
        """Return how many of a service's targets are passed over, by reason."""
        targets, now = self._board.targets, self._timer.now()
        service, version = target_filter.service, target_filter.version
        entries = [item.entry for item in targets.listed.values()]
        entries = [entry for entry in entries if entry.service == service]
        n_evacuated = sum(entry.data_center in targets.evacuated for entry in entries)
        n_outside = sum(not self._is_in(entry, target_filter) for entry in entries)
        n_other = sum(version not in (None, entry.version) for entry in entries)
        n_cold = sum(targets.is_cold(entry, now) for entry in entries)
        n_limited = sum(
            self._limits.get_limit(entry.incarnation) is not None for entry in entries
        )
        n_resting = sum(
            self._outcomes.get_health(entry).is_resting(now) for entry in entries
        )
        return (
            f"of {len(entries)} targets, {n_evacuated} are evacuated, {n_outside} are "
            f"outside the allowed regions, {n_other} run another version than "
            f"{version}, {n_cold} are cold, {n_limited} name a limit "
            f"and {n_resting} asked for rest; brittle: {self.is_brittle(service)}"
        )
