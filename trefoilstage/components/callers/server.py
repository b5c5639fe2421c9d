"""Serve callers over HTTP."""

import asyncio
import time

from aiohttp import web
from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.controller import BookingController
from trefoilstage.components.booking.models import ServiceCall
from trefoilstage.components.callers.authentication import CallerIdentifier
from trefoilstage.components.callers.chat import ChatHandler
from trefoilstage.components.callers.errors import answer_errors
from trefoilstage.components.callers.gate import RequestGate
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.reporter import RequestReporter, Visit
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.const import HEADER_REQUEST_ID, MAX_REQUEST_BODY_BYTES
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.phase import Phase

SHUTDOWN_RETRY_S = 1.0
DRAIN_POLL_S = 0.05


class CallerServer(Service):
    """Accept callers' requests and answer each one whole or with a refusal."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        keys: KeyController,
        bookings: BookingController,
        address: str,
        port: int,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._reporter = RequestReporter()
        self._chats = ChatHandler(keys=keys, reporter=self._reporter)
        self._bookings = bookings
        self._identifier = CallerIdentifier()
        self._gate = RequestGate(blackboard=blackboard)
        self._address = address
        self.port = port
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Listen."""
        app = web.Application(
            client_max_size=MAX_REQUEST_BODY_BYTES,
            middlewares=[self._gate.handle, answer_errors],
        )
        app.router.add_post("/v1/chat/completions", self._answer_chat)
        app.router.add_get("/v1/models", self._answer_models)
        app.router.add_route(
            "*", "/services/{service}/{operation}", self._answer_service
        )
        app.router.add_get("/health", self._answer_health)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self, timeout_s: float) -> bool:
        """Wait for the requests in flight; tell whether all of them ended."""
        deadline = time.monotonic() + timeout_s
        while self._gate.n_open or self._blackboard.closing:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    def _identify(self, request: web.Request, visit: Visit) -> Caller | Refusal:
        if self._blackboard.phase is Phase.DRAINING:
            return Refusal(reason=Reason.SHUTTING_DOWN, retry_after_s=SHUTDOWN_RETRY_S)
        if self._blackboard.phase is Phase.STARTING:
            return Refusal(reason=Reason.NOT_READY, retry_after_s=SHUTDOWN_RETRY_S)
        caller = self._identifier.identify(request, self._blackboard.configuration)
        visit.caller = caller if isinstance(caller, Caller) else None
        return caller

    async def _answer_health(self, request: web.Request) -> web.Response:
        ready = self._blackboard.phase is Phase.SERVING
        return web.json_response(
            {"phase": self._blackboard.phase.value}, status=200 if ready else 503
        )

    async def _answer_models(self, request: web.Request) -> web.Response:
        visit = Visit()
        caller = self._identify(request, visit)
        if isinstance(caller, Refusal):
            return self._reporter.refuse(caller, visit)
        models = [
            {"id": name, "object": "model", "owned_by": "trefoilstage"}
            for name in sorted(self._blackboard.configuration.models)
        ]
        return web.json_response({"object": "list", "data": models})

    async def _answer_chat(self, request: web.Request) -> web.StreamResponse:
        visit = Visit()
        caller = self._identify(request, visit)
        if isinstance(caller, Refusal):
            return self._reporter.refuse(caller, visit)
        self._blackboard.n_active += 1
        try:
            body = await read_body(request, caller)
            if isinstance(body, Refusal):
                return self._reporter.refuse(body, visit)
            return await self._chats.answer(request, caller, body, visit)
        finally:
            self._blackboard.n_active -= 1

    async def _answer_service(self, request: web.Request) -> web.StreamResponse:
        visit = Visit()
        caller = self._identify(request, visit)
        if isinstance(caller, Refusal):
            return self._reporter.refuse(caller, visit)
        self._blackboard.n_active += 1
        try:
            body = await read_body(request, caller)
            if isinstance(body, Refusal):
                return self._reporter.refuse(body, visit)
            return await self._call_service(request, caller, body, visit)
        finally:
            self._blackboard.n_active -= 1

    async def _call_service(
        self, request: web.Request, caller: Caller, body: bytes, visit: Visit
    ) -> web.StreamResponse:
        call = ServiceCall(
            service=request.match_info["service"],
            operation=request.match_info["operation"],
            method=request.method,
            has_key=caller.has_key,
            body=body,
        )
        answer = await self._bookings.run(caller, call)
        if isinstance(answer, Refusal):
            return self._reporter.refuse(answer, visit)
        self._reporter.note_done(
            visit,
            service=call.service,
            operation=call.operation,
            status=answer.status,
        )
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={
                "Content-Type": answer.content_type,
                HEADER_REQUEST_ID: caller.request,
            },
        )


async def read_body(request: web.Request, caller: Caller) -> bytes | Refusal:
    """Return a request's body, or why it is refused."""
    try:
        async with asyncio.timeout(caller.deadline_s):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        detail = f"body is larger than {MAX_REQUEST_BODY_BYTES} bytes"
        return Refusal(reason=Reason.BODY_TOO_LARGE, detail=detail)
    except TimeoutError:
        detail = "the body did not arrive by the deadline"
        return Refusal(reason=Reason.DEADLINE, detail=detail)
