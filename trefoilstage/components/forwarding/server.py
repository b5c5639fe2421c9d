"""Serve callers' requests, and readiness checks by the load balancer."""

import asyncio
import socket

from aiohttp import web
from mode import Service

from trefoilstage.components.connections.framing import MAX_HEADERS
from trefoilstage.components.connections.memory import MemoryPart
from trefoilstage.components.connections.site import (
    READ_AHEAD_BYTES,
    ClientConnections,
    MeteredSite,
    open_account,
)
from trefoilstage.components.forwarding.exchange import Exchange
from trefoilstage.components.forwarding.models import CallerRequest, Route, RouteKind
from trefoilstage.components.forwarding.open_requests import OpenRequests
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.placement import IN_TIME_OBJECTIVE_SHARE
from trefoilstage.components.forwarding.refusal_responses import RefusalMaker
from trefoilstage.components.forwarding.reply import (
    WebReply,
    limit_unsent_data,
    send_response,
)
from trefoilstage.components.forwarding.request_body import (
    BODY_LATE,
    MEMORY_FULL,
    read_body_by,
)
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.translator import (
    MalformedRequestError,
    RequestTranslator,
)
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.port_close import stop_listening
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.phase import Phase
from trefoilstage.util.early_socket import BACKLOG

RETRY_AFTER_S = 1.0
READY_POLL_S = 0.02
# Callers give up a connection that is not read for a second.
MAX_EARLY_WAIT_S = 1.0
# Callers that got an answer before their body was read may still send it. A connection
# that is closed meanwhile may lose the answer.
LINGER_TIMEOUT_S = 0.05
MAX_BODY_BYTES = 16 * 1024 * 1024
# Callers observe the idle limit in the configuration, 15 s in all configurations seen.
# This timeout only ends connections whose callers are gone. It must be longer: if this
# host closed first, a request could be in flight.
IDLE_TIMEOUT_S = 120.0
# Refusals are sent at the deadline and after it. They fit into the kernel's buffers
# unless a caller has left earlier answers unread.
MIN_SEND_S = 1.0
# Another host accepts the request immediately.
RETRY_ELSEWHERE_AFTER_S = 0.05
SHUTTING_DOWN = Refusal(
    reason=Reason.SHUTTING_DOWN, retry_after_s=RETRY_ELSEWHERE_AFTER_S
)
# A target may have begun to run the request when this host ended.
CUT_OFF = Refusal(reason=Reason.SHUTTING_DOWN, effect=Effect.UNKNOWN)
# The load balancer checks once a second and removes a host after two failed checks in
# a row.
N_FAILED_CHECKS_UNTIL_REMOVAL = 2
# A request waits for the link twice: for its token hold and for its send to a target.
N_LINK_WAITS = 2
LINK_FULL = Refusal(
    reason=Reason.OVERLOADED,
    retry_after_s=RETRY_ELSEWHERE_AFTER_S,
    detail="this host's link is full",
)
# The next request of the caller should reach another host, too.
SENT_ELSEWHERE = (LINK_FULL, BODY_LATE, MEMORY_FULL)
# Used if the pipeline returns neither an answer nor a refusal.
NO_ANSWER = Refusal(reason=Reason.TARGET_FAILED, effect=Effect.UNKNOWN)
NOT_READY = Refusal(reason=Reason.NOT_READY, retry_after_s=RETRY_AFTER_S)


class ForwardingServer(Service):
    """Receive callers' requests and pass them to the pipeline."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        settings: FleetSettings,
        translator: RequestTranslator,
        pipeline: ForwardingPipeline,
        connections: ClientConnections,
        caller_socket: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._caller_socket = caller_socket  # listens already, if there is one
        self._board = board
        self._settings = settings
        self._translator = translator
        self._pipeline = pipeline
        self._refusal_maker = RefusalMaker(translator=translator)
        self._refuses_all = False
        self._open_requests = OpenRequests()
        self._replies: set[WebReply] = set()  # of requests that have not settled
        self._connections = connections
        self._was_only_own_link_full = False
        self._n_failed_checks = 0  # consecutive, of readiness
        self.n_streams = 0

    @property
    def n_active(self) -> int:
        """Return the number of requests in progress."""
        return len(self._open_requests)

    async def on_start(self) -> None:
        """Listen on the caller port and the readiness port."""
        caller_server = web.Server(
            self._handle_request,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=16_384,
            max_field_size=16_384,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_AHEAD_BYTES,
            auto_decompress=False,
        )
        self._caller_runner = web.ServerRunner(
            caller_server, shutdown_timeout=LINGER_TIMEOUT_S
        )
        await self._caller_runner.setup()
        if self._caller_socket is None:
            self.caller_port = await self._listen(
                self._caller_runner, self._settings.caller_port, is_for_callers=True
            )
        else:
            self.caller_port = self._caller_socket.getsockname()[1]
            self.add_future(self._accept_when_ready(self._caller_socket))
        ready_server = web.Server(self._handle_ready, access_log=None)
        self._ready_runner = web.ServerRunner(ready_server, shutdown_timeout=0.1)
        await self._ready_runner.setup()
        self.ready_port = await self._listen(
            self._ready_runner, self._settings.ready_port
        )

    async def _listen(
        self, runner: web.ServerRunner, port: int, *, is_for_callers: bool = False
    ) -> int:
        site = MeteredSite(
            runner,
            connections=self._connections,
            address=self._settings.address,
            port=port,
            backlog=BACKLOG,
            has_sent_answers=is_for_callers,
            is_for_callers=is_for_callers,
        )
        await site.start()
        bound_port: int = runner.addresses[0][1]
        return bound_port

    async def _accept_when_ready(self, caller_socket: socket.socket) -> None:
        """Let early callers wait for a host that is about to be ready.

        Accepted before, they would be refused for want of a configuration.
        """
        loop = asyncio.get_running_loop()
        accept_at = loop.time() + MAX_EARLY_WAIT_S
        while self._board.phase is Phase.STARTING and loop.time() < accept_at:
            await asyncio.sleep(READY_POLL_S)
        site = MeteredSite(
            self._caller_runner,
            connections=self._connections,
            opened=caller_socket,
            backlog=BACKLOG,
            has_sent_answers=True,
            is_for_callers=True,
        )
        await site.start()

    async def on_stop(self) -> None:
        """Stop listening, refuse the requests in flight, end the others, then close.

        After a drain, none is left but answers that their callers do not read.
        """
        self.refuse_all_requests()
        await stop_listening(self._caller_runner)
        await self._open_requests.end_all()
        await self._caller_runner.cleanup()
        await self._ready_runner.cleanup()

    async def drain(self, timeout_s: float) -> bool:
        """Wait for the requests in progress; return whether all of them ended."""
        return await self._open_requests.wait_until_done(timeout_s)

    def read_ahead(self) -> None:
        """Let no stream wait for its caller, so that those that can end do so."""
        for reply in self._replies:
            reply.read_ahead()

    async def end_requests(self) -> None:
        """End the requests in progress; callers without an answer get a failure.

        Answers that are being sent go on until they are sent, or this server stops.
        """
        await self._open_requests.settle_all()

    def refuse_all_requests(self) -> None:
        """Refuse all new requests, also those on open connections."""
        self._refuses_all = True

    async def _handle_ready(self, request: web.BaseRequest) -> web.Response:
        serving = self._board.phase is Phase.SERVING
        ready = serving and not self._can_peers_serve_faster()
        self._n_failed_checks = 0 if ready else self._n_failed_checks + 1
        return web.Response(status=200 if ready else 503)

    def _should_send_elsewhere(self, objective_s: float, now: float) -> bool:
        """Return whether to refuse a request that the full link would make late.

        Requests are refused only after the load balancer has removed this host;
        otherwise callers' retries would reach this host again.
        """
        if (
            self._n_failed_checks < N_FAILED_CHECKS_UNTIL_REMOVAL
            or not self._board.is_only_own_link_full(now)
        ):
            return False
        wait_s = N_LINK_WAITS * self._board.round_trips.estimate_call_s(now)
        return wait_s > IN_TIME_OBJECTIVE_SHARE * objective_s

    def _can_peers_serve_faster(self) -> bool:
        """Return whether peers can serve callers faster, and log when that changes."""
        now = asyncio.get_running_loop().time()
        is_only_own_link_full = self._board.is_only_own_link_full(now)
        if is_only_own_link_full != self._was_only_own_link_full:
            self._was_only_own_link_full = is_only_own_link_full
            log_event(
                Event.LINK_FULL if is_only_own_link_full else Event.LINK_HAS_ROOM,
                host=self._board.host,
                call_s=self._board.round_trips.estimate_call_s(now),
                active=self.n_active,
            )
        return is_only_own_link_full

    async def _handle_request(self, web_request: web.BaseRequest) -> web.StreamResponse:
        started_at = asyncio.get_running_loop().time()
        budget = self._connections.budget
        exchange = Exchange(
            web_request=web_request,
            started_at=started_at,
            body_memory=MemoryPart(account=open_account(web_request, budget)),
            answer_account=open_account(web_request, budget),
        )
        with self._open_requests.track(), exchange:
            limit_unsent_data(web_request)
            try:
                response, deadline = await self._answer(exchange)
                now = asyncio.get_running_loop().time()
                discard_at = max(deadline, now + MIN_SEND_S)
                if not await send_response(web_request, response, discard_at):
                    self._log_end(Event.REQUEST_UNANSWERED, exchange)
            except asyncio.CancelledError:
                if exchange.is_caller_connected:
                    self._log_end(Event.REQUEST_UNANSWERED, exchange)
                raise
            return response

    def _log_end(self, event: Event, exchange: Exchange) -> None:
        now = asyncio.get_running_loop().time()
        log_event(event, **exchange.describe(now, self._board.shutdown))

    async def _answer(self, exchange: Exchange) -> tuple[web.StreamResponse, float]:
        """Return the answer and its deadline; of a stream, a rest may be unsent."""
        web_request, started_at = exchange.web_request, exchange.started_at
        request: CallerRequest | None = None
        state: RequestState | Refusal = SHUTTING_DOWN  # until the body has arrived
        reply = WebReply(web_request=web_request, account=exchange.answer_account)
        try:
            async with self._open_requests.allow_end():
                request = exchange.request = self._translator.read_request(
                    method=web_request.method,
                    raw_target=web_request.raw_path,
                    headers=web_request.headers.items(),
                )
                state = await self._create_request_state(request, exchange)
                if isinstance(state, Refusal):
                    return self._refuse(state, request), started_at
                exchange.state = state
                refusal = await self._run(state, reply)
        except MalformedRequestError as error:
            refusal = Refusal(reason=Reason.BAD_REQUEST, detail=str(error))
            return self._refuse(refusal, request), started_at
        except TimeoutError:
            # This host ends. Other time limits raise no error here.
            self._log_end(Event.REQUEST_STOPPED, exchange)
            if isinstance(state, Refusal):
                return self._refuse(state, request), started_at
            refusal = CUT_OFF if state.n_possible_runs else SHUTTING_DOWN
        if refusal is not None or reply.response is None:
            refusal = refusal or NO_ANSWER
            await reply.send_rest(state.deadline)
            return self._refuse_or_abort(refusal, state, reply), state.deadline
        return reply.response, state.deadline

    async def _run(self, state: RequestState, reply: WebReply) -> Refusal | None:
        is_stream = state.route.kind is RouteKind.STREAM
        self.n_streams += is_stream
        self._replies.add(reply)
        try:
            return await self._pipeline.run(state, reply)
        finally:
            self._replies.discard(reply)
            self.n_streams -= is_stream

    async def _create_request_state(
        self, request: CallerRequest, exchange: Exchange
    ) -> RequestState | Refusal:
        web_request, started_at = exchange.web_request, exchange.started_at
        configuration = self._board.configuration
        if configuration is None:
            return NOT_READY
        route = self._board.routes.match(request.host, request.path)
        if route is None:
            return Refusal(reason=Reason.UNKNOWN_PATH)
        deadline = compute_deadline(request, route, started_at)
        if self._refuses_all or not self._may_accept(route, deadline):
            return SHUTTING_DOWN
        workspace = configuration.workspaces_by_key.get(request.key)
        if workspace is None and configuration.workspaces and not route.public:
            return Refusal(reason=Reason.UNAUTHORIZED)
        limit = min(MAX_BODY_BYTES, configuration.limits.max_body_bytes)
        if (web_request.content_length or 0) > limit:
            return Refusal(reason=Reason.BODY_TOO_LARGE)
        if self._should_send_elsewhere(route.objective_s, started_at):
            return LINK_FULL
        body = await read_body_by(deadline, exchange, limit)
        if isinstance(body, Refusal):
            return body
        body_s = asyncio.get_running_loop().time() - started_at
        if not self._may_accept(route, deadline):
            return SHUTTING_DOWN  # the shutdown went on while the body arrived
        return RequestState(
            request=request,
            body=body,
            route=route,
            workspace=workspace,
            started_at=started_at,
            body_s=body_s,
            answer_memory=exchange.answer_memory,
            deadline=deadline,
        )

    def _may_accept(self, route: Route, deadline: float) -> bool:
        schedule = self._board.shutdown
        return schedule is None or schedule.accepts(
            is_stream=route.kind is RouteKind.STREAM,
            deadline=deadline,
            now=asyncio.get_running_loop().time(),
        )

    def _refuse(
        self, refusal: Refusal, request: CallerRequest | None, workspace: str = ""
    ) -> web.StreamResponse:
        log_event(
            Event.REQUEST_REFUSED,
            request=request.request_id if request else "",
            workspace=workspace,
            reason=refusal.reason,
            effect=refusal.effect,
            detail=refusal.detail,
        )
        close = self._board.phase is Phase.DRAINING or refusal in SENT_ELSEWHERE
        return self._refusal_maker.make(refusal, request, close=close)

    def _refuse_or_abort(
        self, refusal: Refusal, state: RequestState, reply: WebReply
    ) -> web.StreamResponse:
        if reply.response is None:
            return self._refuse(refusal, state.request, state.workspace_name)
        # The head was already sent. The caller detects the incomplete answer by the
        # missing end of the body.
        log_event(
            Event.REQUEST_FAILED,
            request=state.request.request_id,
            workspace=state.workspace_name,
            reason=refusal.reason,
            effect=refusal.effect,
            detail=refusal.detail,
        )
        reply.abort(state.deadline)
        return reply.response


def compute_deadline(request: CallerRequest, route: Route, started_at: float) -> float:
    """Return when a request must be answered, by the loop's time."""
    timeout_s = route.timeout_s
    if request.deadline_s is not None:
        timeout_s = min(timeout_s, request.deadline_s)
    return started_at + timeout_s
