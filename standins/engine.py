"""Stand in for a model engine with its own meter of what it executed.

POST /v1/chat/completions        streamed answer; one numbered chunk a token
POST /v1/requests/{id}/cancel    end a request; says what it executed
GET  /v1/load                    running and waiting requests, reported late
GET  /meter                      every request it executed, the tests' oracle
POST /control                    JSON EngineControl: slowness, failures
"""

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass, field

from aiohttp import web
from pydantic import BaseModel, Field

from standins.common import add_control, answer_json

BYTES_PER_TOKEN = 4
STATUS_BUSY = 429
STATUS_FAILED = 500
WORDS = ("wind", "line", "tide", "sand", "kite", "court", "hour", "field", "north")


class EngineControl(BaseModel):
    """Order the engine's speed and faults."""

    tokens_per_s: float = Field(default=200.0, gt=0)
    prompt_tokens_per_s: float = Field(default=20_000.0, gt=0)
    max_running: int = Field(default=32, ge=1)
    fail_fast: bool = False
    break_after: int | None = Field(default=None, ge=0)
    close_at: int | None = Field(default=None, ge=0)
    reorder_at: int | None = Field(default=None, ge=0)
    foreign_at: int | None = Field(default=None, ge=0)
    load_lag_s: float = Field(default=0.5, ge=0)


@dataclass(kw_only=True, slots=True)
class ExecutedRequest:
    """Hold what the engine really did for one request."""

    request: str
    workspace: str
    prompt_tokens: int = 0
    completion_tokens: int = 0
    state: str = "running"
    text_digest: str = ""
    fencing: int = 0
    started: float = 0.0
    ended: float | None = None


@dataclass(kw_only=True, slots=True)
class EngineMeter:
    """Hold everything executed, by order of arrival."""

    requests: list[ExecutedRequest] = field(default_factory=list)
    tokens: int = 0
    running: int = 0
    max_running: int = 0


class EngineStandin:
    """Serve a model engine's interface from memory."""

    def __init__(self, *, control: EngineControl) -> None:
        self.control = control
        self.meter = EngineMeter()
        self._by_id: dict[str, ExecutedRequest] = {}
        self._cancelled: set[str] = set()
        self._reported = 0
        self._reported_at = 0.0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/requests/{id}/cancel", self._cancel)
        app.router.add_get("/v1/load", self._answer_load)
        app.router.add_get("/meter", self._answer_meter)
        add_control(app, EngineControl, self._set_control)
        return app

    def _set_control(self, control: EngineControl) -> None:
        self.control = control

    async def _answer_meter(self, request: web.Request) -> web.Response:
        return answer_json(self.meter)

    async def _answer_load(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        if now - self._reported_at >= self.control.load_lag_s:
            self._reported = self.meter.running
            self._reported_at = now
        return web.json_response({"running": self._reported})

    async def _cancel(self, request: web.Request) -> web.Response:
        name = request.match_info["id"]
        # An order to end a request may overtake the request itself; the name
        # is kept, so that the late request is turned away.
        self._cancelled.add(name)
        done = self._by_id.get(name)
        usage = {
            "prompt_tokens": done.prompt_tokens if done else 0,
            "completion_tokens": done.completion_tokens if done else 0,
        }
        return web.json_response(
            {"state": done.state if done else "unknown", "usage": usage}
        )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self.control.fail_fast:
            return web.Response(status=STATUS_FAILED)
        name = request.headers.get("X-Request-Id", "")
        body = json.loads(await request.read())
        if self.meter.running >= self.control.max_running or name in self._cancelled:
            return web.Response(status=STATUS_BUSY)
        size = sum(len(item["content"].encode()) for item in body["messages"])
        done = ExecutedRequest(
            request=name,
            workspace=request.headers.get("X-Workspace", ""),
            prompt_tokens=-(-size // BYTES_PER_TOKEN),
            fencing=int(request.headers.get("X-Fencing", "0")),
            started=time.time(),
        )
        self._by_id[name] = done
        self.meter.requests.append(done)
        self.meter.tokens += done.prompt_tokens
        self.meter.running += 1
        self.meter.max_running = max(self.meter.max_running, self.meter.running)
        try:
            return await self._stream(request, done, body)
        except (asyncio.CancelledError, ConnectionError):
            done.state = "dropped"
            raise
        finally:
            self.meter.running -= 1
            done.ended = time.time()

    async def _stream(
        self, request: web.Request, done: ExecutedRequest, body: dict[str, object]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await asyncio.sleep(done.prompt_tokens / self.control.prompt_tokens_per_s)
        digest = hashlib.sha256()
        limit = int(str(body.get("max_tokens", 16)))
        late = b""
        for number in range(limit):
            if done.request in self._cancelled:
                done.state = "cancelled"
                return response
            if self.control.close_at == number:
                done.state = "broken"
                return response
            if self.control.break_after == number:
                return self._break(request, done, response)
            text = make_word(done.request, number)
            done.completion_tokens += 1
            self.meter.tokens += 1
            digest.update(text.encode())
            last = number + 1 == limit
            if last:
                done.state = "finished"
                done.text_digest = digest.hexdigest()
            event = make_event(done, number, text, last=last)
            if self.control.foreign_at == number:
                event = event.replace(done.request.encode(), b"another-request")
            if self.control.reorder_at == number and not last:
                late = event
                continue
            await response.write(event + late)
            late = b""
            await asyncio.sleep(1.0 / self.control.tokens_per_s)
        await response.write(b"data: [DONE]\n\n")
        return response

    def _break(
        self,
        request: web.Request,
        done: ExecutedRequest,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        done.state = "broken"
        if request.transport is not None:
            request.transport.abort()
        return response


def make_word(request: str, number: int) -> str:
    """Return the token at a place of a request's answer."""
    seed = hashlib.sha256(f"{request}/{number}".encode()).digest()
    return WORDS[seed[0] % len(WORDS)] + " "


def make_event(done: ExecutedRequest, number: int, text: str, *, last: bool) -> bytes:
    """Return one chunk of the event stream."""
    chunk: dict[str, object] = {
        "id": done.request,
        "object": "chat.completion.chunk",
        "sequence": number,
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        chunk["usage"] = {
            "prompt_tokens": done.prompt_tokens,
            "completion_tokens": done.completion_tokens,
        }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
