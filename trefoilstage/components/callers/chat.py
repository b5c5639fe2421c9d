"""Respond to chat requests, as an event stream or as one JSON body."""

import json
from contextlib import aclosing
from typing import Any

from aiohttp import web
from pydantic import ValidationError

from trefoilstage.components.callers.errors import STREAMING_KEY
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.callers.refusals import make_refusal_body
from trefoilstage.components.callers.reporter import RequestContext, RequestReporter
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.components.keys.runs import Run
from trefoilstage.const import HEADER_REPLAYED, HEADER_REQUEST_ID
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

# The target's own timeout expires first; this one is for callers that joined later.
LISTEN_MARGIN_S = 1.0
DEADLINE_REFUSAL = Refusal(
    reason=Reason.DEADLINE,
    effect=Effect.UNKNOWN,
    detail="the answer was not complete by the deadline",
)


class ChatHandler:
    """Send a run's answer to one caller."""

    def __init__(self, *, keys: KeyController, reporter: RequestReporter) -> None:
        self._keys = keys
        self._reporter = reporter

    async def handle(
        self, request: web.Request, caller: Caller, body: bytes, context: RequestContext
    ) -> web.StreamResponse:
        """Respond to one chat request."""
        chat = parse_chat(body)
        if isinstance(chat, Refusal):
            return self._reporter.refuse(chat, context)
        run = self._keys.get_or_start_run(caller, chat)
        if isinstance(run, Refusal):
            return self._reporter.refuse(run, context)
        if chat.stream:
            return await self._respond_stream(request, caller, run, context)
        return await self._respond_complete(caller, chat, run, context)

    async def _respond_complete(
        self, caller: Caller, chat: ChatRequest, run: Run, context: RequestContext
    ) -> web.Response:
        refusal: Refusal | None = None
        try:
            async with aclosing(
                run.listen(timeout_s=get_listen_timeout_s(caller))
            ) as chunks:
                async for _ in chunks:
                    pass
            refusal = run.result.refusal
        except TimeoutError:
            refusal = DEADLINE_REFUSAL
        if refusal is not None:
            return self._reporter.refuse(refusal, context)
        self._report_completed(run, context)
        return web.json_response(
            make_completion(chat, run), headers=make_response_headers(caller, run)
        )

    async def _respond_stream(
        self, request: web.Request, caller: Caller, run: Run, context: RequestContext
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        refusal: Refusal | None = None
        try:
            async with aclosing(
                run.listen(timeout_s=get_listen_timeout_s(caller))
            ) as chunks:
                async for chunk in chunks:
                    if response is None:
                        response = await open_stream(request, caller, run)
                    await response.write(b"data: " + chunk.data + b"\n\n")
            refusal = run.result.refusal
        except TimeoutError:
            refusal = DEADLINE_REFUSAL
        if response is None and refusal is not None:
            return self._reporter.refuse(refusal, context)
        if response is None:
            response = await open_stream(request, caller, run)
        await self._end_stream(response, refusal, run, context)
        return response

    async def _end_stream(
        self,
        response: web.StreamResponse,
        refusal: Refusal | None,
        run: Run,
        context: RequestContext,
    ) -> None:
        if refusal is None:
            await response.write(b"data: [DONE]\n\n")
            self._report_completed(run, context)
        else:
            # The response status was sent before the failure. Without this event
            # a truncated answer would look complete.
            self._reporter.report_refused(refusal, context)
            error = json.dumps(make_refusal_body(refusal, context.request))
            await response.write(f"event: error\ndata: {error}\n\n".encode())
        await response.write_eof()

    def _report_completed(self, run: Run, context: RequestContext) -> None:
        self._reporter.report_completed(
            context,
            run=run.request,
            target=run.result.target,
            tokens=run.result.usage.total if run.result.usage else 0,
        )


def get_listen_timeout_s(caller: Caller) -> float:
    """Return how long a caller waits for its answer, in seconds."""
    return caller.deadline_s + LISTEN_MARGIN_S


def parse_chat(body: bytes) -> ChatRequest | Refusal:
    """Return a chat request, or a refusal that lists all errors in its body."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as error:
        detail = "; ".join(
            f"{'.'.join(map(str, item['loc'])) or 'body'}: {item['msg']}"
            for item in error.errors(include_input=False, include_url=False)
        )
        return Refusal(reason=Reason.BAD_REQUEST, detail=detail)


async def open_stream(
    request: web.Request, caller: Caller, run: Run
) -> web.StreamResponse:
    """Send the headers of an event stream and return its response."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            **make_response_headers(caller, run),
        }
    )
    request[STREAMING_KEY] = True
    await response.prepare(request)
    return response


def make_response_headers(caller: Caller, run: Run) -> dict[str, str]:
    """Return the headers of a response, with one that marks a replay."""
    headers = {HEADER_REQUEST_ID: caller.request}
    if run.request != caller.request:
        headers[HEADER_REPLAYED] = "true"
    return headers


def make_completion(chat: ChatRequest, run: Run) -> dict[str, Any]:
    """Return the JSON body of a complete answer."""
    usage = run.result.usage
    return {
        "id": run.request,
        "object": "chat.completion",
        "model": chat.model,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": "".join(chunk.text for chunk in run.chunks),
                },
                "finish_reason": run.chunks[-1].finish_reason if run.chunks else None,
            }
        ],
        "usage": {
            "prompt_tokens": usage.prompt_tokens if usage else 0,
            "completion_tokens": usage.completion_tokens if usage else 0,
            "total_tokens": usage.total if usage else 0,
        },
    }
