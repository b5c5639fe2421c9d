"""Serve callers over HTTP."""

import asyncio
import json
import time
from typing import Any

from aiohttp import web
from mode import Service
from pydantic import ValidationError

from trefoilstage.blackboard import Blackboard, Phase
from trefoilstage.components.booking.controller import BookingController
from trefoilstage.components.booking.models import ServiceCall
from trefoilstage.components.callers.authentication import identify_caller
from trefoilstage.components.callers.generation import Answer, GenerationRunner
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.callers.refusals import describe_refusal, make_refusal
from trefoilstage.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    MAX_REQUEST_BODY_BYTES,
)
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.metrics import Metrics
from trefoilstage.helpers.verdict import Reason, Refusal

SHUTDOWN_RETRY_S = 1.0
DRAIN_POLL_S = 0.05


class CallerServer(Service):  # type: ignore[misc]
    """Accept callers' requests and answer each one whole or with a refusal."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        generations: GenerationRunner,
        bookings: BookingController,
        metrics: Metrics,
        address: str,
        port: int,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._generations = generations
        self._bookings = bookings
        self._metrics = metrics
        self._address = address
        self.port = port
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Listen."""
        app = web.Application(client_max_size=MAX_REQUEST_BODY_BYTES)
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
        while self._blackboard.n_active or self._blackboard.closing:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    def _identify(self, request: web.Request) -> Caller | Refusal:
        if self._blackboard.phase is Phase.DRAINING:
            return Refusal(reason=Reason.SHUTTING_DOWN, retry_after_s=SHUTDOWN_RETRY_S)
        if self._blackboard.phase is Phase.STARTING:
            return Refusal(reason=Reason.NOT_READY, retry_after_s=SHUTDOWN_RETRY_S)
        return identify_caller(request, self._blackboard.configuration)

    async def _answer_health(self, request: web.Request) -> web.Response:
        ready = self._blackboard.phase is Phase.SERVING
        return web.json_response(
            {"phase": self._blackboard.phase.value}, status=200 if ready else 503
        )

    async def _answer_models(self, request: web.Request) -> web.Response:
        caller = self._identify(request)
        if isinstance(caller, Refusal):
            return make_refusal(caller, "")
        models = [
            {"id": name, "object": "model", "owned_by": "trefoilstage"}
            for name in sorted(self._blackboard.configuration.models)
        ]
        return web.json_response({"object": "list", "data": models})

    async def _answer_chat(self, request: web.Request) -> web.StreamResponse:
        started = time.monotonic()
        caller = self._identify(request)
        if isinstance(caller, Refusal):
            return self._refuse(caller, None, started)
        body = await read_body(request)
        chat = body if isinstance(body, Refusal) else parse_chat(body)
        if isinstance(chat, Refusal):
            return self._refuse(chat, caller, started)
        self._blackboard.n_active += 1
        try:
            if chat.stream:
                return await self._stream_chat(request, caller, chat, started)
            return await self._complete_chat(caller, chat, started)
        finally:
            self._blackboard.n_active -= 1

    async def _complete_chat(
        self, caller: Caller, chat: ChatRequest, started: float
    ) -> web.Response:
        answer = Answer()
        async for _ in self._generations.run(caller, chat, answer):
            pass
        if answer.refusal is not None:
            return self._refuse(answer.refusal, caller, started)
        self._note_done(caller, answer, started)
        return web.json_response(
            make_completion(caller, chat, answer),
            headers={HEADER_REQUEST_ID: caller.request},
        )

    async def _stream_chat(
        self, request: web.Request, caller: Caller, chat: ChatRequest, started: float
    ) -> web.StreamResponse:
        answer = Answer()
        response: web.StreamResponse | None = None
        async for chunk in self._generations.run(caller, chat, answer):
            if response is None:
                response = await open_stream(request, caller)
            await response.write(b"data: " + chunk.data + b"\n\n")
        if answer.refusal is not None and response is None:
            return self._refuse(answer.refusal, caller, started)
        if response is None:
            response = await open_stream(request, caller)
        if answer.refusal is not None:
            # Part of the answer is out already, so no status can tell of the
            # failure; without this event a short answer would look whole.
            self._note_refused(answer.refusal, caller, started)
            error = describe_refusal(answer.refusal, caller.request)
            await response.write(
                b"event: error\ndata: " + json.dumps(error).encode() + b"\n\n"
            )
        else:
            await response.write(b"data: [DONE]\n\n")
            self._note_done(caller, answer, started)
        await response.write_eof()
        return response

    async def _answer_service(self, request: web.Request) -> web.StreamResponse:
        started = time.monotonic()
        caller = self._identify(request)
        if isinstance(caller, Refusal):
            return self._refuse(caller, None, started)
        body = await read_body(request)
        if isinstance(body, Refusal):
            return self._refuse(body, caller, started)
        call = ServiceCall(
            service=request.match_info["service"],
            operation=request.match_info["operation"],
            method=request.method,
            has_key=HEADER_IDEMPOTENCY_KEY in request.headers,
            body=body,
        )
        self._blackboard.n_active += 1
        try:
            answer = await self._bookings.run(caller, call)
        finally:
            self._blackboard.n_active -= 1
        if isinstance(answer, Refusal):
            return self._refuse(answer, caller, started)
        log_event(
            Event.REQUEST_DONE,
            request=caller.request,
            workspace=caller.workspace,
            service=call.service,
            operation=call.operation,
            status=answer.status,
            duration_s=time.monotonic() - started,
        )
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={
                "Content-Type": answer.content_type,
                HEADER_REQUEST_ID: caller.request,
            },
        )

    def _refuse(
        self, refusal: Refusal, caller: Caller | None, started: float
    ) -> web.Response:
        self._note_refused(refusal, caller, started)
        return make_refusal(refusal, caller.request if caller else "")

    def _note_refused(
        self, refusal: Refusal, caller: Caller | None, started: float
    ) -> None:
        self._metrics.count(f"refused.{refusal.reason.value}")
        log_event(
            Event.REQUEST_REFUSED,
            request=caller.request if caller else "",
            workspace=caller.workspace if caller else "",
            reason=refusal.reason.value,
            effect=refusal.effect.value,
            duration_s=time.monotonic() - started,
        )

    def _note_done(self, caller: Caller, answer: Answer, started: float) -> None:
        duration_s = time.monotonic() - started
        self._metrics.count("done")
        self._metrics.time("duration", duration_s)
        log_event(
            Event.REQUEST_DONE,
            request=caller.request,
            workspace=caller.workspace,
            target=answer.target,
            tokens=answer.usage.total if answer.usage else 0,
            duration_s=duration_s,
        )


async def read_body(request: web.Request) -> bytes | Refusal:
    """Return a request's body, or why it is refused."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        detail = f"body is larger than {MAX_REQUEST_BODY_BYTES} bytes"
        return Refusal(reason=Reason.BODY_TOO_LARGE, detail=detail)


def parse_chat(body: bytes) -> ChatRequest | Refusal:
    """Return a chat request, or every fault of its body."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        detail = "; ".join(
            f"{'.'.join(map(str, item['loc'])) or 'body'}: {item['msg']}"
            for item in error.errors(include_input=False, include_url=False)
        )
        return Refusal(reason=Reason.BAD_REQUEST, detail=detail)


async def open_stream(request: web.Request, caller: Caller) -> web.StreamResponse:
    """Send the head of an event stream."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            HEADER_REQUEST_ID: caller.request,
        }
    )
    await response.prepare(request)
    return response


def make_completion(
    caller: Caller, chat: ChatRequest, answer: Answer
) -> dict[str, Any]:
    """Return the JSON body of a whole answer."""
    usage = answer.usage
    return {
        "id": caller.request,
        "object": "chat.completion",
        "model": chat.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": answer.text},
                "finish_reason": answer.finish_reason,
            }
        ],
        "usage": {
            "prompt_tokens": usage.prompt_tokens if usage else 0,
            "completion_tokens": usage.completion_tokens if usage else 0,
            "total_tokens": usage.total if usage else 0,
        },
    }
