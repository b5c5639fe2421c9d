"""Decide which requests to one service get its places; the home has one a service.

Answers the load of more requests than the targets of a service have room for.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import chain

from trefoilstage.components.admission_queue.freed_places import FREED_WINDOW_S
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceReply,
    PlaceRequest,
    get_caller_id,
)
from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.places import (
    REPORT_LIFE_S,
    PlaceTable,
    TargetCapacity,
)
from trefoilstage.components.admission_queue.queue import FairQueue, WaitingRequest
from trefoilstage.helpers.events import Event, log_event

MAX_WAITING = 1_000
# A new home knows all work after this time: all hosts report to it when they see that
# the home changed.
SETTLE_S = 0.3
CONTENDED_LOAD = 0.8
RELAXED_LOAD = 0.7
MIN_RETRY_AFTER_S = 0.2
# The rate at which places are freed says little about a later time.
MAX_RETRY_AFTER_S = 10.0
# In a shorter time, too few places are freed to tell their rate.
MIN_MEASURED_S = 0.3
# Two repeated reports of a host without work may be due within it.
PRESENCE_S = 11.0
# A request without time to wait may get a place that is free when it arrives.
MIN_WAIT_S = 0.001
# Updates are 0.05 s apart, or more on a busy host. Hosts that are missing between two
# of them make the home's share too small, so that the service seems contended.
RENEW_BEFORE_S = 0.3
WITHDRAWN = PlaceReply(granted=False, retry_after_s=MIN_RETRY_AFTER_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSnapshot:
    """Describe what a home sees of a service's targets and of the fleet."""

    targets: Mapping[str, TargetCapacity]  # ready ones, by incarnation
    live_hosts: Collection[str]


class ServiceQueue:
    """Grant the places of one service in the order of its queue."""

    def __init__(
        self,
        *,
        service: str,
        take_snapshot: Callable[[], ServiceSnapshot],
        generator: random.Random,
        now: float,
    ) -> None:
        self._service = service
        self._take_snapshot = take_snapshot
        self._generator = generator
        self._queue = FairQueue(max_length=MAX_WAITING)
        self._places = PlaceTable()
        self._replies: dict[str, asyncio.Future[PlaceReply]] = {}
        # Hosts that use this home, and until when without another report.
        self._present: dict[str, float] = {}
        self._unusable: dict[str, frozenset[str]] = {}  # targets, by reporting host
        self._grants_from = now + SETTLE_S
        self._contended_since: float | None = None
        self.update(now)

    @property
    def is_contended(self) -> bool:
        """Return whether requests need places."""
        return self._contended_since is not None

    @property
    def is_unused(self) -> bool:
        """Return whether no host uses this home for the service."""
        return not self._present and not len(self._queue)

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return self._queue.count_waiting()

    def update(self, now: float) -> None:
        """Drop what is too old, and grant what is free."""
        self._present = {
            host: until for host, until in self._present.items() if now <= until
        }
        self._places.expire(now)
        self._unusable = {
            host: targets
            for host, targets in self._unusable.items()
            if host in self._present
        }
        snapshot = self._take_snapshot()
        self._places.set_capacity(self._select_usable(snapshot.targets))
        # Before all have reported, their number says nothing of this home's share.
        is_settled = now >= self._grants_from
        self._places.set_live_hosts(snapshot.live_hosts if is_settled else ())
        self._renew_idle(now)
        self._refuse(self._queue.expire(now), now, reason="waited")
        self._grant(now)

    def _select_usable(
        self, targets: Mapping[str, TargetCapacity]
    ) -> dict[str, TargetCapacity]:
        """Return the targets without those that hosts found unusable.

        An ended target is listed for seconds. Its places would be granted and returned,
        and its slots would make a full service look free. A host that is cut off alone
        takes no target from others: they have requests there.
        """
        complaints = Counter(chain.from_iterable(self._unusable.values()))
        if not complaints:
            return dict(targets)
        users = Counter(
            target
            for state in self._places.hosts.values()
            for target, use in state.sum_by_target().items()
            if use.n_requests
        )
        return {
            name: capacity
            for name, capacity in targets.items()
            if complaints[name] <= users[name]
        }

    def _renew_idle(self, now: float) -> None:
        """Count hosts that use this home although they rarely report without work."""
        for host, until in self._present.items():
            if self._needs_renewal(host, until, now):
                self._places.receive_report(host, {}, now, ())

    def _needs_renewal(self, host: str, until: float, now: float) -> bool:
        state = self._places.hosts.get(host)
        if state is None or not state.is_reporting:
            return True
        is_idle = not state.work and not state.grants
        expires_soon = state.expires_at - now < RENEW_BEFORE_S
        return is_idle and expires_soon and until > state.expires_at

    def receive_report(self, report: AdmissionReport, now: float) -> None:
        """Replace what a host holds, and grant what it freed."""
        self._places.receive_report(report.host, report.work, now, report.places)
        unusable = frozenset(report.unusable)
        if unusable != self._unusable.get(report.host, frozenset()):
            self._unusable[report.host] = unusable
            targets = self._take_snapshot().targets
            self._places.set_capacity(self._select_usable(targets))
        self._grant(now)
        # Hosts repeat their reports soon if they have work or need places.
        is_repeated_soon = bool(report.work) or self.is_contended
        life_s = REPORT_LIFE_S if is_repeated_soon else PRESENCE_S
        self._present[report.host] = now + life_s

    def add(self, request: PlaceRequest, now: float) -> asyncio.Future[PlaceReply]:
        """Queue a request; return the reply to it, when there is one."""
        reply = asyncio.get_running_loop().create_future()
        if not self._can_ever_hold(request.kv_tokens):
            reply.set_result(PlaceReply(granted=True))
            return reply
        waiting = WaitingRequest(
            request_id=request.request,
            host=request.host,
            workspace=request.workspace,
            urgency=request.urgency,
            kv_tokens=request.kv_tokens,
            queued_at=now,
            wait_until=now + max(MIN_WAIT_S, request.wait_s),
            unusable=frozenset(request.unusable),
        )
        self._replies[request.request] = reply
        self._refuse(self._queue.add(waiting, now), now, reason="queue full")
        self._grant(now)
        if not reply.done() and not self._may_wait(waiting, request.wait_s, now):
            self._queue.remove(request.request)
            self._refuse([waiting], now, reason="too long")
        return reply

    def _may_wait(self, waiting: WaitingRequest, wait_s: float, now: float) -> bool:
        return wait_s > 0.0 and self._estimate_wait_s(waiting, now) <= wait_s

    def release(self, requests: Iterable[str], now: float) -> None:
        """End places, and withdraw requests that still wait."""
        for request in requests:
            self.withdraw(request)
            self._places.release(request, now)
        self._grant(now)

    def withdraw(self, request: str) -> None:
        """Remove a request whose caller has stopped waiting from the queue."""
        self._queue.remove(request)
        reply = self._replies.pop(request, None)
        if reply is not None and not reply.done():
            reply.set_result(WITHDRAWN)

    def _can_ever_hold(self, kv_tokens: int) -> bool:
        """Return whether a target could hold a request if all hosts had this home."""
        return any(
            item.places and kv_tokens <= (item.kv_tokens or kv_tokens)
            for item in self._places.capacity.values()
        )

    def _grant(self, now: float) -> None:
        # A host that was suspended may get messages before its next update.
        self._places.expire(now)
        while now >= self._grants_from:
            found = self._queue.pop_next(self._find_room, now)
            if found is None:
                break
            waiting, target = found
            use = PlaceUse(n_requests=1, kv_tokens=waiting.kv_tokens)
            self._places.grant(waiting.request_id, waiting.host, target, use, now)
            self._log(Event.PLACE_GRANTED, waiting, now, target=target)
            self._reply(waiting, PlaceReply(granted=True, target=target))
        self._update_contention(now)

    def _find_room(self, waiting: WaitingRequest) -> str | None:
        reserved = self._queue.reserved_kv_tokens
        return self._places.find_room(waiting.kv_tokens, reserved, waiting.unusable)

    def _refuse(
        self, refused: Iterable[WaitingRequest], now: float, *, reason: str
    ) -> None:
        for waiting in refused:
            wait_s = self._estimate_wait_s(waiting, now)
            least_s = max(MIN_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))
            retry_after_s = least_s * self._generator.uniform(1, 2)
            self._log(
                Event.PLACE_REFUSED,
                waiting,
                now,
                refused=reason,
                estimated_s=wait_s,
                retry_after_s=retry_after_s,
            )
            reply = PlaceReply(granted=False, retry_after_s=retry_after_s)
            self._reply(waiting, reply)

    def _reply(self, waiting: WaitingRequest, message: PlaceReply) -> None:
        reply = self._replies.pop(waiting.request_id, None)
        if reply is not None and not reply.done():
            reply.set_result(message)

    def _estimate_wait_s(self, waiting: WaitingRequest, now: float) -> float:
        """Return the seconds until a request has a place, 0 if nothing is known."""
        freed_per_s = self._places.get_freed_per_s(now)
        since = self._contended_since
        measured_s = 0.0 if since is None else now - since
        if measured_s < FREED_WINDOW_S:
            # Places are granted, and so freed, only since the service is contended.
            if freed_per_s <= 0.0 or measured_s < MIN_MEASURED_S:
                return 0.0
            freed_per_s *= FREED_WINDOW_S / measured_s
        return self._queue.estimate_wait_s(waiting, freed_per_s, now)

    def _update_contention(self, now: float) -> None:
        # A home that no host with work uses has no share, so that it seems full.
        load = self._places.get_load(now) if self._places.taken else 0.0
        limit = RELAXED_LOAD if self.is_contended else CONTENDED_LOAD
        is_contended = load > limit or self.n_waiting > 0
        if is_contended == self.is_contended:
            return
        self._contended_since = now if is_contended else None
        log_event(
            Event.SERVICE_CONTENDED if is_contended else Event.SERVICE_RELAXED,
            service=self._service,
            load=load,
            n_waiting=self.n_waiting,
            share=self._places.share,
            oldest_report_s=self._get_oldest_report_s(now),
        )

    def _get_oldest_report_s(self, now: float) -> float:
        hosts = self._places.hosts.values()
        reported = [state.expires_at for state in hosts if state.is_reporting]
        return now + REPORT_LIFE_S - min(reported) if reported else 0.0

    def _log(
        self, event: Event, waiting: WaitingRequest, now: float, **fields: object
    ) -> None:
        """Log a decision with its inputs and their age."""
        log_event(
            event,
            request=get_caller_id(waiting.request_id),
            service=self._service,
            workspace=waiting.workspace,
            urgency=waiting.urgency,
            kv_tokens=waiting.kv_tokens,
            queue_s=now - waiting.queued_at,
            n_waiting=self.n_waiting,
            load=self._places.get_load(now),
            oldest_report_s=self._get_oldest_report_s(now),
            **fields,
        )
