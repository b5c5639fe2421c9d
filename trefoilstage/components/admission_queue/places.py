"""Count who holds the capacity of a service's targets, as their home knows it; pure.

The home knows the hosts' work by their reports, and the places that it granted itself.
A report lists the granted places that its numbers contain, so that each request counts
once: a place that is not listed yet counts in addition to the report, and one that was
listed and no longer is has ended.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from trefoilstage.components.admission_queue.freed_places import FreedPlaces
from trefoilstage.components.admission_queue.place_use import (
    NO_USE,
    PlaceUse,
    add_use,
    subtract_use,
)
from trefoilstage.helpers.field_types import Count

# Two repeated reports (every 0.75 s) may be due within it.
REPORT_LIFE_S = 1.5
# A place that no report of its host lists ends after this time: its host ended, or the
# grant never arrived.
GRANT_LIFE_S = 1.5
# Reports that list no places contain those granted earlier than this before: one report
# interval, and a margin.
PENDING_S = 0.15


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetCapacity:
    """Describe what a target holds at once; 0 KV tokens if they aren't limited."""

    places: Count  # requests, running or in its own queue
    kv_tokens: Count = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedPlace:
    """Describe a place that the home granted and that has not ended."""

    target: str  # its incarnation
    use: PlaceUse
    granted_at: float
    expires_at: float
    is_reported: bool = False


@dataclass(kw_only=True, slots=True)
class HostPlaces:
    """Count what one host holds: its granted places, and its other work by target."""

    work: dict[str, PlaceUse] = field(default_factory=dict)
    expires_at: float = -math.inf  # of its last report
    grants: dict[str, GrantedPlace] = field(default_factory=dict)  # by request

    def sum_by_target(self) -> dict[str, PlaceUse]:
        """Return what the host holds at each target."""
        total = dict(self.work)
        for place in self.grants.values():
            total[place.target] = add_use(total.get(place.target, NO_USE), place.use)
        return total

    def update_reported(self, places: Collection[str], now: float) -> None:
        """Update the granted places by those that a report lists."""
        for request_id, place in list(self.grants.items()):
            if request_id in places:
                self.grants[request_id] = replace(
                    place, is_reported=True, expires_at=now + GRANT_LIFE_S
                )
            elif place.is_reported:
                del self.grants[request_id]

    def remove_old_grants(self, now: float) -> None:
        """Remove the granted places that a report without a list contains."""
        for request_id, place in list(self.grants.items()):
            if now - place.granted_at >= PENDING_S:
                del self.grants[request_id]

    def set_work(self, work: Mapping[str, PlaceUse], now: float) -> None:
        """Store the reported work without the granted places that it contains."""
        self.work = dict(work)
        self.expires_at = now + REPORT_LIFE_S
        for place in self.grants.values():
            if place.is_reported:
                reported = self.work.get(place.target, NO_USE)
                self.work[place.target] = subtract_use(reported, place.use)

    def expire(self, now: float) -> None:
        """Remove the work and the places that are too old."""
        if self.expires_at <= now:
            self.work = {}
            self.expires_at = -math.inf
        for request_id, place in list(self.grants.items()):
            if place.expires_at <= now:
                del self.grants[request_id]

    def list_expiries(self) -> list[float]:
        """Return when the report and each granted place expire."""
        expiries = [place.expires_at for place in self.grants.values()]
        if self.is_reporting:
            expiries.append(self.expires_at)
        return expiries

    @property
    def is_reporting(self) -> bool:
        """Return whether the host's last report counts."""
        return self.expires_at > -math.inf


@dataclass(kw_only=True, slots=True)
class PlaceTable:
    """Count the places and KV tokens in use at the targets of one service."""

    capacity: Mapping[str, TargetCapacity] = field(default_factory=dict)
    live_hosts: frozenset[str] = frozenset()
    share: float = 1.0  # of the capacity, that this home may grant
    hosts: dict[str, HostPlaces] = field(default_factory=dict)
    taken: dict[str, PlaceUse] = field(default_factory=dict)  # by target
    freed: FreedPlaces = field(default_factory=FreedPlaces)
    next_expiry_at: float = math.inf

    def set_capacity(self, targets: Mapping[str, TargetCapacity]) -> None:
        """Set the capacity of the ready targets, by incarnation."""
        self.capacity = dict(targets)

    def set_live_hosts(self, hosts: Iterable[str]) -> None:
        """Set the live hosts; without any, this home grants the whole capacity.

        While hosts disagree on which hosts are live, a service may have two homes. Each
        grants the share that its reporting hosts are of the live ones.
        """
        self.live_hosts = frozenset(hosts)
        self._update_share()

    def receive_report(
        self,
        host: str,
        work: Mapping[str, PlaceUse],
        now: float,
        places: Collection[str] | None = None,
    ) -> None:
        """Replace what a host holds; `places` lists the granted requests in `work`.

        Each counts in `work` with the KV tokens that it was granted with.
        Without `places`, the report is taken to contain the places that were granted
        PENDING_S before. A host without work reports too: it counts as one that has
        this home.
        """
        self.expire(now)
        state = self.hosts.setdefault(host, HostPlaces())
        was_reporting = state.is_reporting
        before = state.sum_by_target()
        if places is None:
            state.remove_old_grants(now)
        else:
            state.update_reported(places, now)
        state.set_work(work, now)
        self._replace(host, before)
        after = state.sum_by_target()
        ended = (
            use.n_requests - after.get(target, NO_USE).n_requests
            for target, use in before.items()
        )
        self.freed.add(sum(max(0, n_requests) for n_requests in ended), now)
        self.next_expiry_at = min(self.next_expiry_at, state.expires_at)
        if not was_reporting:
            self._update_share()

    def grant(
        self, request_id: str, host: str, target: str, use: PlaceUse, now: float
    ) -> None:
        """Count a place for a request until it is released, reported or expired."""
        self.release(request_id, now)
        state = self.hosts.setdefault(host, HostPlaces())
        before = state.sum_by_target()
        expires_at = now + GRANT_LIFE_S
        state.grants[request_id] = GrantedPlace(
            target=target, use=use, granted_at=now, expires_at=expires_at
        )
        self._replace(host, before)
        self.next_expiry_at = min(self.next_expiry_at, expires_at)

    def release(self, request_id: str, now: float) -> None:
        """End a place that was not used or whose request ended; unknown ones too."""
        for host, state in self.hosts.items():
            if request_id in state.grants:
                before = state.sum_by_target()
                del state.grants[request_id]
                self.freed.add(1, now)
                self._replace(host, before)
                return

    def find_room(
        self,
        kv_tokens: int,
        reserved_for: int = 0,
        unusable: Collection[str] = (),
    ) -> str | None:
        """Return the target with the most room for a request, None without room.

        With `reserved_for`, the KV tokens of a request that waits ahead for more room
        than any target has, the target with the most free memory is left to that one.
        Call `expire` before.
        """
        reserved = self._find_reserved(reserved_for) if reserved_for else None
        rooms = {
            target: self._get_free_share(target, kv_tokens)
            for target in self.capacity
            if target != reserved and target not in unusable
        }
        fitting = [target for target, free in rooms.items() if free is not None]
        return max(fitting, key=lambda target: rooms[target] or 0.0, default=None)

    def can_hold(self, kv_tokens: int) -> bool:
        """Return whether a request fits into any target that serves nothing else."""
        return any(
            self._count_places(item) > 0 and kv_tokens <= self._count_kv(item)
            for item in self.capacity.values()
        )

    def get_load(self, now: float) -> float:
        """Return the share of places or KV tokens in use, whichever is higher.

        It is 0 without ready targets, and may exceed 1.
        """
        self.expire(now)
        ready = [
            (item, self.taken.get(target, NO_USE))
            for target, item in self.capacity.items()
        ]
        n_places = sum(item.places for item, _ in ready)
        kv_tokens = sum(item.kv_tokens for item, _ in ready)
        n_requests = sum(use.n_requests for _, use in ready)
        held = sum(use.kv_tokens for item, use in ready if item.kv_tokens)
        return max(self._divide(n_requests, n_places), self._divide(held, kv_tokens))

    def get_freed_per_s(self, now: float) -> float:
        """Return the rate at which places were freed within FREED_WINDOW_S."""
        return self.freed.get_rate(now)

    def expire(self, now: float) -> None:
        """Remove the reports and places that are too old."""
        if now < self.next_expiry_at:
            return
        for host, state in list(self.hosts.items()):
            before = state.sum_by_target()
            state.expire(now)
            self._replace(host, before)
            if not state.list_expiries():
                del self.hosts[host]
        self.next_expiry_at = min(
            (at for state in self.hosts.values() for at in state.list_expiries()),
            default=math.inf,
        )
        self._update_share()

    def _replace(self, host: str, before: Mapping[str, PlaceUse]) -> None:
        """Update the totals after a host's state changed from `before`."""
        state = self.hosts[host]
        after = state.sum_by_target()
        for target in before.keys() | after.keys():
            total = add_use(self.taken.get(target, NO_USE), after.get(target, NO_USE))
            total = subtract_use(total, before.get(target, NO_USE))
            if total == NO_USE:
                self.taken.pop(target, None)
            else:
                self.taken[target] = total

    def _update_share(self) -> None:
        if not self.live_hosts:
            self.share = 1.0
            return
        n_reporting = sum(
            host in self.hosts and self.hosts[host].is_reporting
            for host in self.live_hosts
        )
        self.share = n_reporting / len(self.live_hosts)

    def _count_places(self, capacity: TargetCapacity) -> int:
        """Return how many places of a target this home grants.

        It is rounded to the nearest number, halves down, so that the shares of two
        homes don't exceed the places, and a host whose report is late costs none.
        """
        return math.ceil(capacity.places * self.share - 0.5)

    def _count_kv(self, capacity: TargetCapacity) -> float:
        return capacity.kv_tokens * self.share if capacity.kv_tokens else math.inf

    def _get_free_kv(self, target: str) -> float:
        held = self.taken.get(target, NO_USE).kv_tokens
        return self._count_kv(self.capacity[target]) - held

    def _get_free_share(self, target: str, kv_tokens: int) -> float | None:
        """Return the share of a target left free by a request, None if too large."""
        n_places = self._count_places(self.capacity[target])
        n_free = n_places - self.taken.get(target, NO_USE).n_requests - 1
        kv_free = self._get_free_kv(target) - kv_tokens
        if n_free < 0 or kv_free < 0:
            return None
        kv_total = self._count_kv(self.capacity[target])
        return min(
            n_free / n_places, kv_free / kv_total if kv_total < math.inf else 1.0
        )

    def _find_reserved(self, kv_tokens: int) -> str | None:
        """Return the target whose free memory is left to a large request."""
        able = [
            target
            for target, item in self.capacity.items()
            if kv_tokens <= self._count_kv(item)
        ]
        return max(able, key=self._get_free_kv, default=None)

    def _divide(self, taken: int, total: int) -> float:
        """Return the taken share of what this home may grant, 1 if that is nothing."""
        if not total:
            return 0.0
        return taken / (total * self.share) if self.share else 1.0
