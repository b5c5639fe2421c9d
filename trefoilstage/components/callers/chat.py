"""Answer chat requests, streamed or whole."""

import json
from contextlib import aclosing
from typing import Any

from aiohttp import web
from pydantic import ValidationError

from trefoilstage.components.callers.errors import STREAMING
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.callers.refusals import describe_refusal
from trefoilstage.components.callers.reporter import RequestReporter, Visit
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.components.keys.runs import Run
from trefoilstage.const import HEADER_REPLAYED, HEADER_REQUEST_ID
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

# The target's own time limit comes first; this one is for those who joined late.
DEADLINE_MARGIN_S = 1.0
LATE = Refusal(
    reason=Reason.DEADLINE,
    effect=Effect.UNKNOWN,
    detail="the answer was not whole by the deadline",
)


class ChatHandler:
    """Pass a run's answer on to one caller."""

    def __init__(self, *, keys: KeyController, reporter: RequestReporter) -> None:
        self._keys = keys
        self._reporter = reporter

    async def answer(
        self, request: web.Request, caller: Caller, body: bytes, visit: Visit
    ) -> web.StreamResponse:
        """Answer one chat request."""
        chat = parse_chat(body)
        if isinstance(chat, Refusal):
            return self._reporter.refuse(chat, visit)
        run = self._keys.get_or_start_run(caller, chat)
        if isinstance(run, Refusal):
            return self._reporter.refuse(run, visit)
        if chat.stream:
            return await self._stream(request, caller, run, visit)
        return await self._complete(caller, chat, run, visit)

    async def _complete(
        self, caller: Caller, chat: ChatRequest, run: Run, visit: Visit
    ) -> web.Response:
        refusal: Refusal | None = None
        try:
            async with aclosing(run.listen(timeout_s=count_wait(caller))) as chunks:
                async for _ in chunks:
                    pass
            refusal = run.result.refusal
        except TimeoutError:
            refusal = LATE
        if refusal is not None:
            return self._reporter.refuse(refusal, visit)
        self._note_done(run, visit)
        return web.json_response(
            make_completion(chat, run), headers=make_headers(caller, run)
        )

    async def _stream(
        self, request: web.Request, caller: Caller, run: Run, visit: Visit
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        refusal: Refusal | None = None
        try:
            async with aclosing(run.listen(timeout_s=count_wait(caller))) as chunks:
                async for chunk in chunks:
                    if response is None:
                        response = await open_stream(request, caller, run)
                    await response.write(b"data: " + chunk.data + b"\n\n")
            refusal = run.result.refusal
        except TimeoutError:
            refusal = LATE
        if response is None and refusal is not None:
            return self._reporter.refuse(refusal, visit)
        if response is None:
            response = await open_stream(request, caller, run)
        await self._end_stream(response, refusal, run, visit)
        return response

    async def _end_stream(
        self,
        response: web.StreamResponse,
        refusal: Refusal | None,
        run: Run,
        visit: Visit,
    ) -> None:
        if refusal is None:
            await response.write(b"data: [DONE]\n\n")
            self._note_done(run, visit)
        else:
            # Part of the answer is out already, so no status can tell of the
            # failure; without this event a short answer would look whole.
            self._reporter.note_refused(refusal, visit)
            error = json.dumps(describe_refusal(refusal, visit.request))
            await response.write(f"event: error\ndata: {error}\n\n".encode())
        await response.write_eof()

    def _note_done(self, run: Run, visit: Visit) -> None:
        self._reporter.note_done(
            visit,
            run=run.request,
            target=run.result.target,
            tokens=run.result.usage.total if run.result.usage else 0,
        )


def count_wait(caller: Caller) -> float:
    """Return how long a caller listens, in seconds."""
    return caller.deadline_s + DEADLINE_MARGIN_S


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


async def open_stream(
    request: web.Request, caller: Caller, run: Run
) -> web.StreamResponse:
    """Send the head of an event stream."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            **make_headers(caller, run),
        }
    )
    request[STREAMING] = True
    await response.prepare(request)
    return response


def make_headers(caller: Caller, run: Run) -> dict[str, str]:
    """Return the headers of an answer; a replay names itself."""
    headers = {HEADER_REQUEST_ID: caller.request}
    if run.request != caller.request:
        headers[HEADER_REPLAYED] = "true"
    return headers


def make_completion(chat: ChatRequest, run: Run) -> dict[str, Any]:
    """Return the JSON body of a whole answer."""
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
