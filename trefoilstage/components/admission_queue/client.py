"""Ask the homes of contended services for places, and report this host's work there.

Where a service is not contended, its requests are sent without a question. Whatever
fails here, requests go on as they would without the queue.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from itertools import count, islice
from typing import Any, TypeVar

from mode import Service

from trefoilstage.components.admission_queue.capacity import count_capacity
from trefoilstage.components.admission_queue.expected_output import ExpectedOutput
from trefoilstage.components.admission_queue.home import AdmissionHome
from trefoilstage.components.admission_queue.home_ranking import HomeRanking
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceReply,
    PlaceRequest,
    ReturnPlaces,
    ServiceState,
    get_caller_id,
    name_request,
)
from trefoilstage.components.admission_queue.own_work import OwnWork, Place
from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.wait_time import compute_wait_s
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.targets.brittle import count_own_slots
from trefoilstage.exceptions import MalformedMessageError, PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService

REPORT_INTERVAL_S = 0.1
# A reply takes 1 to 5 ms. Until the time is over, a silent home is asked for places.
REPORT_TIMEOUT_S = 0.3
# A call for a place ends this long after the request's wait. The home refuses at its
# next update, up to 0.05 s later, and the reply takes its time.
REPLY_MARGIN_S = 0.1
# Freed places of several requests are returned together.
COALESCE_DELAY_S = 0.003
N_HOMES_ASKED = 2
MIN_RETRY_AFTER_S = 0.2
RETRY_SPREAD = 2.0


ReplyT = TypeVar("ReplyT", PlaceReply, ServiceState)


class AdmissionClient(Service):
    """Obtain and return the places of this host's requests."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        home: AdmissionHome,
        links: PeerLinks,
        timer: TimerService,
        generator: random.Random,
        list_unusable: Callable[[str], frozenset[str]],
    ) -> None:
        super().__init__()
        self._list_unusable = list_unusable
        self._board = board
        self._membership = membership
        self._home = home
        self._links = links
        self._timer = timer
        self._generator = generator
        self._services: dict[str, OwnWork] = defaultdict(OwnWork)
        self._expected = ExpectedOutput()
        self._numbers = count()
        self._homes = HomeRanking(
            board=board, membership=membership, timer=timer, generator=generator
        )
        # Places to return, by home and service.
        self._returns: dict[tuple[str, str], list[str]] = defaultdict(list)
        self._reporting: set[tuple[str, str]] = set()  # home and service

    async def on_start(self) -> None:
        """Start the periodic reports."""
        self._unsubscribe = self._timer.subscribe(
            name="admission reports",
            interval_s=REPORT_INTERVAL_S,
            callback=self._report_all,
        )

    async def on_stop(self) -> None:
        """Stop the periodic reports."""
        self._unsubscribe()

    async def acquire(self, state: RequestState) -> Place | Refusal | None:
        """Return a place for a request, None if it needs none now.

        Returns a refusal if there is no place in time.
        """
        try:
            return await self._acquire(state)
        except Exception as error:
            log_failure(
                error,
                request=state.request.request_id,
                workspace=state.workspace_name,
                service=state.service_name,
            )
            return None

    def release(self, place: Place, *, used: bool = True) -> None:
        """Return a place that ended, or that was not used; do nothing a second time."""
        work = self._services[place.service]
        if work.places.pop(place.request, None) is None:
            return
        if not used:
            log_event(
                Event.PLACE_UNUSED,
                request=get_caller_id(place.request),
                workspace=place.workspace,
                service=place.service,
                target=place.target,
                home=place.home,
            )
        self._return_later(place.home, place.service, place.request)

    @contextmanager
    def count(
        self, state: RequestState, target: TargetEntry, place: Place | None
    ) -> Iterator[None]:
        """Count a request that is sent to a target until it has ended there."""
        work = self._services[state.service_name]
        use = PlaceUse(n_requests=1, kv_tokens=self._estimate_kv_tokens(state))
        request = place.request if place is not None else ""
        n_events = state.n_events
        work.add(target.incarnation, use, request)
        try:
            yield
        finally:
            work.remove(target.incarnation, use, request)
            self._learn_output(state, n_events)

    def _estimate_kv_tokens(self, state: RequestState) -> int:
        configuration = self._board.configuration
        service = configuration and configuration.services.get(state.service_name)
        if not service or service.engine is None:
            return 0
        expected = self._expected.estimate(
            state.route.name,
            hint=state.request.length_hint,
            maximum=state.request.max_output_tokens,
        )
        return state.request.n_prompt_tokens + expected

    def _learn_output(self, state: RequestState, n_events_before: int) -> None:
        hint = state.request.length_hint
        is_whole = state.complete and not n_events_before and state.n_events
        if hint is not None and is_whole and not state.request.is_resumption:
            actual = state.n_events * state.tokens_per_event
            self._expected.record(state.route.name, hint=hint, actual=actual)

    async def _acquire(self, state: RequestState) -> Place | Refusal | None:
        asked_at = self._timer.now()
        if not self._services[state.service_name].is_contended(asked_at):
            return None
        try:
            return await self._ask_homes(state)
        finally:
            state.waited_for_places_s += self._timer.now() - asked_at

    async def _ask_homes(self, state: RequestState) -> Place | Refusal | None:
        request = self._make_request(state)
        homes = list(islice(self._homes.rank(state.service_name), N_HOMES_ASKED))
        for home in homes:
            now = self._timer.now()
            link_delay_s = self._get_link_delay_s(home)
            wait_s = compute_wait_s(state, now) - link_delay_s
            if link_delay_s and wait_s <= 0.0:
                # The caller would wait until its deadline for a reply that is late.
                break
            reply = await self._ask(home, replace(request, wait_s=wait_s), state)
            if reply is not None:
                return self._accept(home, request, reply)
            if self._board.is_link_full(self._timer.now()):
                # The home may have granted the place. If the next home were asked as
                # well, both would grant places for the same slots.
                break
        return self._take_own_share(state, request)

    def _make_request(self, state: RequestState) -> PlaceRequest:
        caller_id, number = state.request.request_id, next(self._numbers)
        return PlaceRequest(
            service=state.service_name,
            request=name_request(caller_id, self._board.incarnation, number),
            host=self._board.host,
            workspace=state.workspace_name,
            urgency=state.urgency,
            kv_tokens=self._estimate_kv_tokens(state),
            wait_s=0.0,
            unusable=tuple(self._list_unusable(state.service_name) | state.excluded),
        )

    def _accept(
        self, home: str, request: PlaceRequest, reply: PlaceReply
    ) -> Place | Refusal | None:
        if not reply.granted:
            return Refusal(
                reason=Reason.OVERLOADED,
                retry_after_s=reply.retry_after_s,
                detail="no place at the service's targets in time",
            )
        if not reply.target:
            return None
        return self._hold(request, home, reply.target)

    def _hold(self, request: PlaceRequest, home: str, target: str) -> Place:
        place = Place(
            service=request.service,
            request=request.request,
            workspace=request.workspace,
            home=home,
            target=target,
        )
        self._services[place.service].places[place.request] = place
        return place

    async def _ask(
        self, home: str, request: PlaceRequest, state: RequestState
    ) -> PlaceReply | None:
        """Return a home's reply, None if it does not reply in time."""
        left_s = max(0.0, state.deadline - self._timer.now())
        margin_s = REPLY_MARGIN_S + self._get_link_delay_s(home)
        timeout_s = min(request.wait_s + margin_s, left_s)
        reply: PlaceReply | None = None
        try:
            reply = await self._call(home, request, PlaceReply, timeout_s)
        except PeerUnavailableError as error:
            self._homes.record_silent(home, str(error))
        finally:
            if reply is None:
                # The home may grant the place after this host has stopped waiting.
                self._return_later(home, request.service, request.request)
        return reply

    async def _call(
        self,
        home: str,
        message: AdmissionReport | PlaceRequest,
        reply_type: type[ReplyT],
        timeout_s: float,
    ) -> ReplyT:
        is_own = home == self._board.host
        call = self._call_own_home if is_own else self._call_peer
        reply = await call(home, message, timeout_s)
        if not isinstance(reply, reply_type):
            raise MalformedMessageError(f"{home} replied to {message.kind}")
        return reply

    async def _call_peer(
        self, home: str, message: AdmissionReport | PlaceRequest, timeout_s: float
    ) -> Any:
        peer = self._board.peers.get(home)
        if peer is None:
            raise PeerUnavailableError("unknown host")
        link = self._links.get_link(peer.peer_url)
        is_long_poll = isinstance(message, PlaceRequest)
        reply = await link.call(message, timeout_s=timeout_s, is_long_poll=is_long_poll)
        self._homes.record_reply(home)
        return reply

    async def _call_own_home(
        self, _: str, message: AdmissionReport | PlaceRequest, timeout_s: float
    ) -> Any:
        if isinstance(message, AdmissionReport):
            return await self._home.receive_report(message)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._home.answer_request(message)
        except TimeoutError as error:
            raise PeerUnavailableError("no reply") from error

    def _get_link_delay_s(self, home: str) -> float:
        """Return the seconds that a call takes, 0 if this host's link is not full."""
        now = self._timer.now()
        if home == self._board.host or not self._board.is_link_full(now):
            return 0.0
        return self._board.round_trips.estimate_call_s(now)

    def _take_own_share(
        self, state: RequestState, request: PlaceRequest
    ) -> Place | Refusal | None:
        """Return a place of this host's share, which no home grants."""
        work = self._services[request.service]
        hosts = self._membership.list_live_hosts()
        now = self._timer.now()
        is_brittle = self._board.brittle.is_brittle(request.service, now)
        ready = self._board.targets.list_ready(request.service, now)
        usable = [item for item in ready if item.incarnation not in state.excluded]
        if not usable:
            return None
        for target in usable:
            name = target.incarnation
            capacity = count_capacity(self._board, target, is_brittle=is_brittle)
            n_places = count_own_slots(self._board.host, hosts, name, capacity.places)
            if work.count_taken(name) < n_places:
                return self._hold(request, "", name)
        spread = self._generator.uniform(1.0, RETRY_SPREAD)
        return Refusal(
            reason=Reason.OVERLOADED,
            retry_after_s=MIN_RETRY_AFTER_S * spread,
            detail="no home grants a place in time, and this host's share is taken",
        )

    def _return_later(self, home: str, service: str, request: str) -> None:
        if not home:
            return
        returns = self._returns[home, service]
        returns.append(request)
        if len(returns) == 1:
            self.add_future(self._return_soon(home, service))

    async def _return_soon(self, home: str, service: str) -> None:
        await asyncio.sleep(COALESCE_DELAY_S)
        requests = self._returns.pop((home, service))
        message = ReturnPlaces(service=service, requests=tuple(requests))
        peer = self._board.peers.get(home)
        try:
            if home == self._board.host:
                await self._home.receive_returns(message)
            elif peer is not None:
                link = self._links.get_link(peer.peer_url)
                await link.send(message, timeout_s=REPORT_TIMEOUT_S)
        except PeerUnavailableError:
            # The next report lists the places that are left, and a place that no report
            # lists expires.
            return
        except Exception as error:
            # An error in a task of this service would end the host.
            log_failure(error, service=service, home=home)

    async def _report_all(self) -> None:
        now = self._timer.now()
        configuration = self._board.configuration
        for service in configuration.services if configuration else ():
            home = next(self._homes.rank(service), None)
            if home is None or (home, service) in self._reporting:
                continue
            self._services[service].unusable = self._list_unusable(service)
            if self._services[service].is_report_due(home, now):
                self._reporting.add((home, service))
                self.add_future(self._report(service, home))

    async def _report(self, service: str, home: str) -> None:
        work = self._services[service]
        holdings = work.describe()
        work.record_report(home, holdings, self._timer.now())
        report = AdmissionReport(
            service=service,
            host=self._board.host,
            work=dict(holdings.work),
            places=tuple(item for granter, item in holdings.places if granter == home),
            unusable=tuple(holdings.unusable),
            brittle=self._board.brittle.is_brittle(service, self._timer.now()),
        )
        timeout_s = REPORT_TIMEOUT_S + self._get_link_delay_s(home)
        try:
            reply = await self._call(home, report, ServiceState, timeout_s)
            now = self._timer.now()
            work.record_state(home, now, contended=reply.contended)
        except PeerUnavailableError as error:
            if not isinstance(error.__cause__, TimeoutError):
                work.record_failure()
            self._homes.record_silent(home, str(error))
        except Exception as error:
            work.record_failure()
            # An error in a task of this service would end the host.
            log_failure(error, service=service, home=home)
        finally:
            self._reporting.discard((home, service))


def log_failure(error: Exception, **fields: object) -> None:
    """Log an unexpected error, after which requests go on without the queue."""
    log_event(Event.ADMISSION_FAILED, error=describe_error(error), **fields)
