"""Stand-in for a model engine that meters what it executes.

POST /v1/chat/completions        streamed answer; one numbered chunk per token
GET  /v1/requests/{id}           whether a request runs, has ended or is unknown
POST /v1/requests/{id}/cancel    end a request; returns what it executed
POST /v1/fence                   refuse an incarnation up to a fencing number
POST /v1/role                    serve or leave, as of a configuration revision
GET  /v1/health                  role, revision and whether orders are checked
GET  /v1/load                    number of running requests, delayed
GET  /v1/cache-events?from=N     stored and evicted prefix blocks, delayed, with gaps
GET  /meter                      every executed request, and the watts over time
POST /control                    JSON EngineControl: speed, limits and faults
"""

import asyncio
import dataclasses
import hashlib
import json
import time

from aiohttp import web

from standins.common import add_control, make_json_response
from standins.engine_cache import (
    BLOCK_TOKENS,
    BYTES_PER_TOKEN,
    PrefixCache,
    hash_prefixes,
)
from standins.engine_meter import EngineMeter, ExecutedRequest
from standins.engine_models import (
    EngineControl,
    EngineOptions,
    FenceOrder,
    RoleOrder,
)
from standins.engine_prompts import PromptQueue
from standins.engine_words import make_chunk, make_token

STATUS_BUSY = 429
STATUS_STALE = 409
STATUS_LEAVING = 410
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503
CANCEL_WAIT_S = 0.5


class EngineStandin:
    """Serve a model engine's interface from memory."""

    def __init__(
        self, *, control: EngineControl, options: EngineOptions | None = None
    ) -> None:
        self.options = options or EngineOptions()
        self._initial_control = control
        self.control = control
        self.meter = EngineMeter(
            idle_watts=self.options.idle_watts,
            watts_per_request=self.options.watts_per_request,
        )
        self._cache = PrefixCache(n_blocks=self.options.cache_blocks)
        self._prompt_queue = PromptQueue()
        self._requests_by_id: dict[str, ExecutedRequest] = {}
        self._cancelled_ids: set[str] = set()
        self._fencing_by_incarnation: dict[str, int] = {}
        self._role = RoleOrder(role="serving", revision=-1)
        self._tasks: set[asyncio.Task[None]] = set()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/requests/{id}", self._answer_request)
        app.router.add_post("/v1/requests/{id}/cancel", self._cancel)
        app.router.add_post("/v1/fence", self._fence)
        app.router.add_post("/v1/role", self._change_role)
        app.router.add_get("/v1/health", self._answer_health)
        app.router.add_get("/v1/load", self._answer_load)
        app.router.add_get("/v1/cache-events", self._answer_cache_events)
        app.router.add_get("/meter", self._answer_meter)
        add_control(app, EngineControl, self._set_control)
        return app

    def _set_control(self, control: EngineControl) -> None:
        fields = control.model_fields_set
        update = {name: getattr(control, name) for name in fields}
        self.control = self._initial_control.model_copy(update=update)

    async def _answer_meter(self, request: web.Request) -> web.Response:
        return make_json_response(self.meter)

    async def _answer_health(self, request: web.Request) -> web.Response:
        answer = {
            "role": self._role.role,
            "revision": self._role.revision,
            "checks_fencing": self.options.checks_fencing,
        }
        return web.json_response(answer)

    async def _answer_load(self, request: web.Request) -> web.Response:
        measured_at = time.monotonic() - self.control.load_lag_s
        answer = {
            "running": self.meter.count_running_at(measured_at),
            "lag_s": self.control.load_lag_s,
        }
        return web.json_response(answer)

    async def _answer_cache_events(self, request: web.Request) -> web.Response:
        first = int(request.query.get("from", "0"))
        events = self._cache.list_events(
            first,
            lag_s=self.control.cache_lag_s,
            lose_every=self.control.cache_lose_every,
        )
        return web.json_response(
            {
                "next": events[-1].number + 1 if events else first,
                "events": [dataclasses.asdict(event) for event in events],
            }
        )

    async def _fence(self, request: web.Request) -> web.Response:
        order = FenceOrder.model_validate_json(await request.read())
        incarnation = order.incarnation
        if self.options.checks_fencing:
            self._fencing_by_incarnation[incarnation] = max(
                order.fencing, self._fencing_by_incarnation.get(incarnation, -1)
            )
        active = sum(
            executed.ended is None
            for executed in self.meter.requests
            if executed.incarnation == incarnation and executed.fencing <= order.fencing
        )
        return web.json_response(
            {"checked": self.options.checks_fencing, "active": active}
        )

    async def _change_role(self, request: web.Request) -> web.Response:
        order = RoleOrder.model_validate_json(await request.read())
        if self.options.checks_fencing and order.revision < self._role.revision:
            return web.Response(status=STATUS_STALE)
        self._role = order
        return web.json_response({"checked": self.options.checks_fencing})

    def _answer_request_state(self, request_id: str) -> web.Response:
        executed = self._requests_by_id.get(request_id)
        # An engine that remembers cancelled ids refuses a request that arrives
        # after its cancellation, so an unknown cancelled request counts as ended.
        is_refused_late = (
            not self.options.forgets_cancels and request_id in self._cancelled_ids
        )
        answer = {
            "state": executed.state if executed else "unknown",
            "ended": executed.ended is not None if executed else is_refused_late,
            "usage": {
                "prompt_tokens": executed.prompt_tokens if executed else 0,
                "completion_tokens": executed.completion_tokens if executed else 0,
            },
        }
        return web.json_response(answer)

    async def _answer_request(self, request: web.Request) -> web.Response:
        return self._answer_request_state(request.match_info["id"])

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = request.match_info["id"]
        self._cancelled_ids.add(request_id)
        executed = self._requests_by_id.get(request_id)
        deadline = time.monotonic() + CANCEL_WAIT_S
        while executed and executed.ended is None and time.monotonic() < deadline:
            await asyncio.sleep(1.0 / self.control.tokens_per_s)
        return self._answer_request_state(request_id)

    def _find_refusal_status(self, executed: ExecutedRequest) -> int | None:
        if self.control.fail_fast:
            return STATUS_FAILED
        if self.control.rest_s is not None:
            return STATUS_UNAVAILABLE
        if not self.options.forgets_cancels and executed.request in self._cancelled_ids:
            return STATUS_BUSY
        if self.options.checks_fencing:
            if executed.fencing <= self._fencing_by_incarnation.get(
                executed.incarnation, -1
            ):
                return STATUS_STALE
            if executed.revision < self._role.revision:
                return STATUS_STALE
            if self._role.role == "leaving":
                return STATUS_LEAVING
        if self.meter.running >= self.control.max_running:
            return STATUS_BUSY
        return None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        contents = [item["content"] for item in body["messages"]]
        n_bytes = sum(len(content.encode()) for content in contents)
        executed = ExecutedRequest(
            request=request.headers.get("X-Request-Id", ""),
            workspace=request.headers.get("X-Workspace", ""),
            incarnation=request.headers.get("X-Incarnation", ""),
            priority=int(request.headers.get("X-Priority", "0")),
            prompt_tokens=-(-n_bytes // BYTES_PER_TOKEN),
            fencing=int(request.headers.get("X-Fencing", "0")),
            revision=int(request.headers.get("X-Revision", "0")),
            started=time.time(),
        )
        status = self._find_refusal_status(executed)
        if status is not None:
            self.meter.n_refused += 1
            rest_s = self.control.rest_s
            headers = {} if rest_s is None else {"Retry-After": str(rest_s)}
            return web.Response(status=status, headers=headers)
        blocks = hash_prefixes(contents)
        max_tokens = int(body.get("max_tokens", 16))
        self._requests_by_id[executed.request] = executed
        self.meter.start(executed)
        if self.control.fail_after_prompt:
            executed.state = "failed"
            self.meter.end(executed)
            return web.Response(status=STATUS_FAILED)
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        task = asyncio.create_task(self._execute(executed, blocks, max_tokens, chunks))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await self._stream(request, executed, chunks)
        except (asyncio.CancelledError, ConnectionError):
            # Some engines stop when the reader disconnects, others run to the end.
            if not self.control.keep_running:
                task.cancel()
            raise

    async def _stream(
        self,
        request: web.Request,
        executed: ExecutedRequest,
        chunks: asyncio.Queue[bytes | None],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while (chunk := await chunks.get()) is not None:
            await response.write(chunk)
        aborts = self.control.break_after is not None
        if executed.state == "broken" and aborts and request.transport is not None:
            request.transport.abort()
        if executed.state == "finished":
            await response.write(b"data: [DONE]\n\n")
        return response

    async def _execute(
        self,
        executed: ExecutedRequest,
        blocks: list[str],
        max_tokens: int,
        chunks: asyncio.Queue[bytes | None],
    ) -> None:
        try:
            await self._read_prompt(executed, blocks)
            last_chunk = await self._write_tokens(executed, max_tokens, chunks)
        except asyncio.CancelledError:
            executed.state = "dropped"
            raise
        finally:
            self.meter.end(executed)
        if last_chunk is not None:
            chunks.put_nowait(last_chunk)
        chunks.put_nowait(None)

    async def _read_prompt(self, executed: ExecutedRequest, blocks: list[str]) -> None:
        await self._prompt_queue.acquire(executed.priority)
        try:
            n_cached = self._cache.use_blocks(blocks) * BLOCK_TOKENS
            executed.cached_tokens = min(n_cached, executed.prompt_tokens)
            n_new = executed.prompt_tokens - executed.cached_tokens
            await asyncio.sleep(n_new / self.control.prompt_tokens_per_s)
        finally:
            self._prompt_queue.release()

    async def _write_tokens(
        self,
        executed: ExecutedRequest,
        max_tokens: int,
        chunks: asyncio.Queue[bytes | None],
    ) -> bytes | None:
        digest = hashlib.sha256()
        delayed_chunk = b""
        for number in range(max_tokens):
            if executed.request in self._cancelled_ids:
                executed.state = "cancelled"
                return None
            if number in (self.control.close_at, self.control.break_after):
                executed.state = "broken"
                return None
            text = make_token(executed.request, number)
            executed.completion_tokens += 1
            executed.first_token = executed.first_token or time.time()
            self.meter.tokens += 1
            digest.update(text.encode())
            is_last = number + 1 == max_tokens
            if is_last:
                executed.state = "finished"
                executed.text_digest = digest.hexdigest()
            chunk = make_chunk(executed, number, text, is_last=is_last)
            if self.control.foreign_at == number:
                chunk = chunk.replace(executed.request.encode(), b"another-request")
            if is_last:
                return chunk + delayed_chunk
            if self.control.reorder_at == number:
                delayed_chunk = chunk
                continue
            chunks.put_nowait(chunk + delayed_chunk)
            delayed_chunk = b""
            slowdown = 1.0 + self.control.batch_slowdown * (self.meter.running - 1)
            await asyncio.sleep(slowdown / self.control.tokens_per_s)
        return None
