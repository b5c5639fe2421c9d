"""Serve callers' requests over HTTP."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.controller import ServiceCallController
from trefoilstage.components.booking.models import ServiceCall
from trefoilstage.components.callers.authentication import CallerIdentifier
from trefoilstage.components.callers.chat import ChatHandler
from trefoilstage.components.callers.errors import handle_errors
from trefoilstage.components.callers.gate import RequestGate
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import SHUTTING_DOWN_REFUSAL
from trefoilstage.components.callers.reporter import RequestContext, RequestReporter
from trefoilstage.components.connections.body import read_body
from trefoilstage.components.connections.framing import MAX_HEADERS
from trefoilstage.components.connections.memory import MemoryLimitError, MemoryPart
from trefoilstage.components.connections.site import (
    READ_AHEAD_BYTES,
    ClientConnections,
    MeteredSite,
    open_account,
)
from trefoilstage.components.forwarding.open_requests import OpenRequests
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.const import HEADER_REQUEST_ID, MAX_REQUEST_BODY_BYTES
from trefoilstage.helpers.port_close import stop_listening
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.phase import Phase

UNAVAILABLE_RETRY_AFTER_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
# When a host stops without a drain, its requests are answered and cancelled at their
# targets in this time.
END_TIMEOUT_S = 1.0
CUT_REFUSAL = Refusal(reason=Reason.SHUTTING_DOWN, effect=Effect.UNKNOWN)

Responder = Callable[
    [web.Request, Caller, bytes, RequestContext], Awaitable[web.StreamResponse]
]


class CallerServer(Service):
    """Accept callers' requests; respond with a complete answer or a refusal."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        keys: KeyController,
        bookings: ServiceCallController,
        address: str,
        port: int,
        connections: ClientConnections,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._reporter = RequestReporter()
        self._chats = ChatHandler(keys=keys, reporter=self._reporter)
        self._keys = keys
        self._bookings = bookings
        self._bodies = OpenRequests()
        self._is_ending = False
        self._identifier = CallerIdentifier()
        self._gate = RequestGate(blackboard=blackboard)
        self._address = address
        self.port = port
        self._connections = connections
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start listening for connections."""
        app = web.Application(
            client_max_size=MAX_REQUEST_BODY_BYTES,
            middlewares=[self._gate.handle, handle_errors],
        )
        app.router.add_post("/v1/chat/completions", self._handle_chat)
        app.router.add_get("/v1/models", self._handle_models)
        app.router.add_route(
            "*", "/services/{service}/{operation}", self._handle_service
        )
        app.router.add_get("/health", self._handle_health)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_AHEAD_BYTES,
        )
        await self._runner.setup()
        site = MeteredSite(
            self._runner,
            connections=self._connections,
            address=self._address,
            port=self.port,
            is_for_callers=True,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """End the requests in progress, refuse those in flight, close connections."""
        if self._runner is not None:
            if not self._is_ending:
                await self.end_requests(END_TIMEOUT_S)
            await stop_listening(self._runner)
            await self._runner.cleanup()

    async def drain(self, timeout_s: float) -> bool:
        """Wait for open requests; return whether all ended within timeout_s."""
        deadline = time.monotonic() + timeout_s
        while self._gate.n_open_requests or self._blackboard.closing:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    async def end_requests(self, timeout_s: float) -> bool:
        """Refuse the requests in progress; return whether all ended within timeout_s.

        Their tokens are settled and their records submitted when all have ended.
        """
        self._is_ending = True
        await self._bodies.end_all()
        await self._bookings.end_calls()
        await self._keys.end_runs()
        return await self.drain(timeout_s)

    def _identify(
        self, request: web.Request, context: RequestContext
    ) -> Caller | Refusal:
        if self._blackboard.phase is Phase.DRAINING:
            return SHUTTING_DOWN_REFUSAL
        if self._blackboard.phase is Phase.STARTING:
            return Refusal(
                reason=Reason.NOT_READY, retry_after_s=UNAVAILABLE_RETRY_AFTER_S
            )
        caller = self._identifier.identify(request, self._blackboard.configuration)
        context.caller = caller if isinstance(caller, Caller) else None
        return caller

    async def _handle_health(self, request: web.Request) -> web.Response:
        is_ready = self._blackboard.phase is Phase.SERVING
        return web.json_response(
            {"phase": self._blackboard.phase.value}, status=200 if is_ready else 503
        )

    async def _handle_models(self, request: web.Request) -> web.Response:
        context = RequestContext()
        caller = self._identify(request, context)
        if isinstance(caller, Refusal):
            return self._reporter.refuse(caller, context)
        models = [
            {"id": name, "object": "model", "owned_by": "trefoilstage"}
            for name in sorted(self._blackboard.configuration.models)
        ]
        return web.json_response({"object": "list", "data": models})

    async def _handle_chat(self, request: web.Request) -> web.StreamResponse:
        return await self._handle_body(request, self._chats.handle)

    async def _handle_service(self, request: web.Request) -> web.StreamResponse:
        return await self._handle_body(request, self._call_service)

    async def _handle_body(
        self, request: web.Request, respond: Responder
    ) -> web.StreamResponse:
        context = RequestContext()
        caller = self._identify(request, context)
        if isinstance(caller, Refusal):
            return self._reporter.refuse(caller, context)
        self._blackboard.n_active += 1
        memory = MemoryPart(account=open_account(request, self._connections.budget))
        try:
            body = await self._read_body(request, caller, memory)
            if isinstance(body, Refusal):
                return self._reporter.refuse(body, context)
            return await respond(request, caller, body, context)
        except asyncio.CancelledError:
            # The caller left, or does not read the end of its answer.
            if self._is_ending:
                self._reporter.report_refused(CUT_REFUSAL, context)
            raise
        finally:
            memory.release()
            self._blackboard.n_active -= 1

    async def _read_body(
        self, request: web.Request, caller: Caller, memory: MemoryPart
    ) -> bytes | Refusal:
        """Return a request's body, or a refusal if it is too large or late."""
        try:
            async with self._bodies.allow_end():
                body = await read_body_in_time(request, caller, memory)
        except TimeoutError:
            return SHUTTING_DOWN_REFUSAL
        # The shutdown may have begun while the body arrived.
        is_draining = self._blackboard.phase is Phase.DRAINING
        return SHUTTING_DOWN_REFUSAL if is_draining else body

    async def _call_service(
        self, request: web.Request, caller: Caller, body: bytes, context: RequestContext
    ) -> web.StreamResponse:
        call = ServiceCall(
            service=request.match_info["service"],
            operation=request.match_info["operation"],
            method=request.method,
            has_key=caller.has_key,
            body=body,
        )
        result = await self._bookings.run(caller, call)
        if isinstance(result, Refusal):
            return self._reporter.refuse(result, context)
        self._reporter.report_completed(
            context,
            service=call.service,
            operation=call.operation,
            status=result.status,
        )
        return web.Response(
            status=result.status,
            body=result.body,
            headers={
                "Content-Type": result.content_type,
                HEADER_REQUEST_ID: caller.request,
            },
        )


async def read_body_in_time(
    request: web.Request, caller: Caller, memory: MemoryPart
) -> bytes | Refusal:
    """Return a request's body, or a refusal if it is too large or late."""
    try:
        async with asyncio.timeout(caller.deadline_s):
            body = await read_body(request, memory, MAX_REQUEST_BODY_BYTES)
    except MemoryLimitError:
        detail = "this host has no memory for the body"
        return Refusal(reason=Reason.OVERLOADED, detail=detail)
    except TimeoutError:
        detail = "the body did not arrive by the deadline"
        return Refusal(reason=Reason.DEADLINE, detail=detail)
    if len(body) > MAX_REQUEST_BODY_BYTES:
        detail = f"body is larger than {MAX_REQUEST_BODY_BYTES} bytes"
        return Refusal(reason=Reason.BODY_TOO_LARGE, detail=detail)
    return body
