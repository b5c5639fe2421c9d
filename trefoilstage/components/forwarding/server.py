"""Listen for callers and for the balancer's question whether this host is ready."""

import asyncio
from typing import Any

from aiohttp import web
from mode import Service

from trefoilstage.components.forwarding.answers import RefusalMaker
from trefoilstage.components.forwarding.border import Border, MalformedRequestError
from trefoilstage.components.forwarding.models import CallerRequest, RouteKind
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.placement import IN_TIME_SHARE
from trefoilstage.components.forwarding.reply import WebReply
from trefoilstage.components.forwarding.run import Run
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.phase import Phase

RETRY_AFTER_S = 1.0
DRAIN_POLL_S = 0.05
# Requests that were on their way to open connections as the port closed arrive within
# a round trip, 2 ms on the platform, and are refused. Closed at once, the connections
# would end without an answer, and callers could not tell whether their request ran.
CROSSING_S = 0.05
# Cancelled requests end within one turn of the loop; a busy host needs a few.
CUT_OFF_S = 0.1
MAX_BODY_BYTES = 16 * 1024 * 1024
# Callers keep to the idle limit in the configuration, 15 s in what was seen. This
# only ends connections whose callers are gone, and must be the longer one: closing
# first would cross a request that is on its way.
IDLE_TIMEOUT_S = 120.0
# Another host takes the request at once.
ELSEWHERE_AFTER_S = 0.05
SHUTTING_DOWN = Refusal(reason=Reason.SHUTTING_DOWN, retry_after_s=ELSEWHERE_AFTER_S)
# The balancer leaves a host after two misses of a question a second.
BALANCER_MISSES = 2
# A request waits on the link when its tokens are held and when it is sent on.
LINK_TRIPS = 2
LINK_FULL = Refusal(
    reason=Reason.OVERLOADED,
    retry_after_s=ELSEWHERE_AFTER_S,
    detail="this host's link",
)
# The pipeline answers or says why not; should it do neither, nothing is promised.
NO_ANSWER = Refusal(reason=Reason.TARGET_FAILED, effect=Effect.UNKNOWN)
NOT_READY = Refusal(reason=Reason.NOT_READY, retry_after_s=RETRY_AFTER_S)


class ForwardingServer(Service):
    """Take callers' requests and hand them to the pipeline."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        settings: FleetSettings,
        border: Border,
        pipeline: ForwardingPipeline,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._border = border
        self._pipeline = pipeline
        self._refusals = RefusalMaker(border=border)
        self._refuses_streams = False
        self._refuses_all = False
        self._answering: set[asyncio.Task[Any]] = set()
        self._link_was_full = False
        self._n_misses = 0  # in a row, of the balancer's questions
        self.n_streams = 0

    @property
    def n_active(self) -> int:
        """Return how many requests are under way."""
        return len(self._answering)

    async def on_start(self) -> None:
        """Listen on both ports."""
        callers = web.Server(
            self._answer,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=16_384,
            max_field_size=16_384,
            auto_decompress=False,
            request_factory=make_web_request,
        )
        self._callers = web.ServerRunner(callers, shutdown_timeout=0.5)
        await self._callers.setup()
        self.caller_port = await self._listen(self._callers, self._settings.caller_port)
        ready = web.Server(self._answer_ready, access_log=None)
        self._ready = web.ServerRunner(ready, shutdown_timeout=0.1)
        await self._ready.setup()
        self.ready_port = await self._listen(self._ready, self._settings.ready_port)

    async def _listen(self, runner: web.ServerRunner, port: int) -> int:
        site = web.TCPSite(runner, self._settings.address, port, backlog=1024)
        await site.start()
        bound: int = runner.addresses[0][1]
        return bound

    async def on_stop(self) -> None:
        """Stop listening, refuse what is still on its way, then close."""
        self.refuse_all_requests()
        # The loop takes the waiting connections at the start of each turn. Those that
        # come between that and the close are reset.
        await asyncio.sleep(0)
        for site in list(self._callers.sites):
            await site.stop()
        await asyncio.sleep(CROSSING_S)
        await self._callers.cleanup()
        await self._ready.cleanup()

    async def drain(self, timeout_s: float) -> bool:
        """Wait for the requests in flight; tell whether all of them ended."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.n_active:
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def cut_off(self) -> None:
        """End what is still under way; its callers see that the answer broke off.

        Ended only as the connections close, a request would settle its tokens after
        the host's last report, and what was held and not spent would be lost.
        """
        for task in self._answering:
            task.cancel()
        if self._answering:
            await asyncio.wait(self._answering, timeout=CUT_OFF_S)

    def refuse_long_requests(self) -> None:
        """Take no streams any more; they would not end in time."""
        self._refuses_streams = True

    def refuse_all_requests(self) -> None:
        """Take nothing any more; open connections learn of it at their next request."""
        self._refuses_all = True

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        serving = self._board.phase is Phase.SERVING
        ready = serving and not self._sends_elsewhere()
        self._n_misses = 0 if ready else self._n_misses + 1
        return web.Response(status=200 if ready else 503)

    def _must_leave(self, objective_s: float, now: float) -> bool:
        """Tell whether a caller can be in time at other hosts only.

        Refused before the balancer has left this host, it would come back here.
        """
        if self._n_misses < BALANCER_MISSES or not self._board.sends_elsewhere(now):
            return False
        waits_s = LINK_TRIPS * self._board.round_trips.estimate(now)
        return waits_s > IN_TIME_SHARE * objective_s

    def _sends_elsewhere(self) -> bool:
        """Tell whether callers do better at other hosts, and log when that changes."""
        now = asyncio.get_running_loop().time()
        sends = self._board.sends_elsewhere(now)
        if sends != self._link_was_full:
            self._link_was_full = sends
            log_event(
                Event.LINK_FULL if sends else Event.LINK_HAS_ROOM,
                host=self._board.host,
                call_s=self._board.round_trips.estimate(now),
                active=self.n_active,
            )
        return sends

    async def _answer(self, web_request: web.BaseRequest) -> web.StreamResponse:
        started = asyncio.get_running_loop().time()
        request: CallerRequest | None = None
        task = asyncio.current_task()
        assert task is not None
        self._answering.add(task)
        try:
            request = self._border.read_request(
                method=web_request.method,
                raw_target=web_request.raw_path,
                headers=web_request.headers.items(),
            )
            run = await self._open_run(request, web_request, started)
            if isinstance(run, Refusal):
                return self._refuse(run, request)
            reply = WebReply(web_request=web_request)
            refusal = await self._run(run, reply)
            if refusal is not None or reply.response is None:
                return self._refuse_run(refusal or NO_ANSWER, run, reply)
            return reply.response
        except MalformedRequestError as error:
            refusal = Refusal(reason=Reason.BAD_REQUEST, detail=str(error))
            return self._refuse(refusal, request)
        finally:
            self._answering.discard(task)

    async def _run(self, run: Run, reply: WebReply) -> Refusal | None:
        is_stream = run.route.kind is RouteKind.STREAM
        self.n_streams += is_stream
        try:
            return await self._pipeline.run(run, reply)
        finally:
            self.n_streams -= is_stream

    async def _open_run(
        self, request: CallerRequest, web_request: web.BaseRequest, started: float
    ) -> Run | Refusal:
        configuration = self._board.configuration
        if configuration is None:
            return NOT_READY
        route = self._board.routes.match(request.host, request.path)
        if route is None:
            return Refusal(reason=Reason.UNKNOWN_PATH)
        if self._refuses_all or (
            self._refuses_streams and route.kind is RouteKind.STREAM
        ):
            return SHUTTING_DOWN
        workspace = configuration.workspaces_by_key.get(request.key)
        if workspace is None and configuration.workspaces and not route.public:
            return Refusal(reason=Reason.UNAUTHORIZED)
        length = web_request.content_length or 0
        limit = min(MAX_BODY_BYTES, configuration.limits.max_body_bytes)
        if length > limit:
            return Refusal(reason=Reason.BODY_TOO_LARGE)
        if self._must_leave(route.objective_s, started):
            return LINK_FULL
        body = await web_request.read()
        body_s = asyncio.get_running_loop().time() - started
        if len(body) > limit:
            return Refusal(reason=Reason.BODY_TOO_LARGE)
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        return Run(
            request=request,
            body=body,
            route=route,
            workspace=workspace,
            started=started,
            body_s=body_s,
            deadline=started + wait_s,
        )

    def _refuse(
        self, refusal: Refusal, request: CallerRequest | None, workspace: str = ""
    ) -> web.StreamResponse:
        log_event(
            Event.REQUEST_REFUSED,
            request=request.request if request else "",
            workspace=workspace,
            reason=refusal.reason,
            effect=refusal.effect,
            detail=refusal.detail,
        )
        close = self._board.phase is Phase.DRAINING or refusal is LINK_FULL
        return self._refusals.make(refusal, request, close=close)

    def _refuse_run(
        self, refusal: Refusal, run: Run, reply: WebReply
    ) -> web.StreamResponse:
        if reply.response is None:
            return self._refuse(refusal, run.request, run.workspace_name)
        # The head is out. Without the end of the body, the caller sees that the
        # answer broke off.
        log_event(
            Event.REQUEST_FAILED,
            request=run.request.request,
            workspace=run.workspace_name,
            reason=refusal.reason,
            effect=refusal.effect,
            detail=refusal.detail,
        )
        reply.abort()
        return reply.response


def make_web_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    """Return a request whose body may be as large as the limits ever allow."""
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=MAX_BODY_BYTES,
    )
