"""Stand in for a model engine with its own meter of what it executed.

POST /v1/chat/completions        streamed answer; one numbered chunk a token
GET  /v1/requests/{id}           whether a request runs, ended or is unknown
POST /v1/requests/{id}/cancel    end a request; says what it executed
POST /v1/fence                   refuse an incarnation up to a fencing number
POST /v1/role                    serve or leave, from a configuration revision on
GET  /v1/health                  role, revision and whether orders are checked
GET  /v1/load                    running requests, reported late
GET  /v1/cache-events?from=N     stored and evicted prefix blocks, late, with gaps
GET  /meter                      every request it executed and its watts over time
POST /control                    JSON EngineControl: speed, limits and failures
"""

import asyncio
import dataclasses
import hashlib
import json
import time

from aiohttp import web

from standins.common import add_control, answer_json
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
from standins.engine_prompts import PromptLane
from standins.engine_words import make_event, make_word

STATUS_BUSY = 429
STATUS_STALE = 409
STATUS_LEAVING = 410
STATUS_FAILED = 500
CANCEL_WAIT_S = 0.5


class EngineStandin:
    """Serve a model engine's interface from memory."""

    def __init__(
        self, *, control: EngineControl, options: EngineOptions | None = None
    ) -> None:
        self.options = options or EngineOptions()
        self._base = control
        self.control = control
        self.meter = EngineMeter(
            idle_watts=self.options.idle_watts,
            watts_per_request=self.options.watts_per_request,
        )
        self._cache = PrefixCache(n_blocks=self.options.cache_blocks)
        self._prompts = PromptLane()
        self._by_id: dict[str, ExecutedRequest] = {}
        self._cancelled: set[str] = set()
        self._fences: dict[str, int] = {}
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
        self.control = self._base.model_copy(update=update)

    async def _answer_meter(self, request: web.Request) -> web.Response:
        return answer_json(self.meter)

    async def _answer_health(self, request: web.Request) -> web.Response:
        answer = {
            "role": self._role.role,
            "revision": self._role.revision,
            "checks_fencing": self.options.checks_fencing,
        }
        return web.json_response(answer)

    async def _answer_load(self, request: web.Request) -> web.Response:
        moment = time.monotonic() - self.control.load_lag_s
        answer = {
            "running": self.meter.count_running_at(moment),
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
        name = order.incarnation
        if self.options.checks_fencing:
            self._fences[name] = max(order.fencing, self._fences.get(name, -1))
        active = sum(
            done.ended is None
            for done in self.meter.requests
            if done.incarnation == name and done.fencing <= order.fencing
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

    def _describe(self, name: str) -> web.Response:
        done = self._by_id.get(name)
        # An engine that remembers the name turns a late request away, so one
        # that never came has ended too.
        tombstone = not self.options.forgets_cancels and name in self._cancelled
        answer = {
            "state": done.state if done else "unknown",
            "ended": done.ended is not None if done else tombstone,
            "usage": {
                "prompt_tokens": done.prompt_tokens if done else 0,
                "completion_tokens": done.completion_tokens if done else 0,
            },
        }
        return web.json_response(answer)

    async def _answer_request(self, request: web.Request) -> web.Response:
        return self._describe(request.match_info["id"])

    async def _cancel(self, request: web.Request) -> web.Response:
        name = request.match_info["id"]
        self._cancelled.add(name)
        done = self._by_id.get(name)
        deadline = time.monotonic() + CANCEL_WAIT_S
        while done and done.ended is None and time.monotonic() < deadline:
            await asyncio.sleep(1.0 / self.control.tokens_per_s)
        return self._describe(name)

    def _judge(self, done: ExecutedRequest) -> int | None:
        if self.control.fail_fast:
            return STATUS_FAILED
        if not self.options.forgets_cancels and done.request in self._cancelled:
            return STATUS_BUSY
        if self.options.checks_fencing:
            if done.fencing <= self._fences.get(done.incarnation, -1):
                return STATUS_STALE
            if done.revision < self._role.revision:
                return STATUS_STALE
            if self._role.role == "leaving":
                return STATUS_LEAVING
        if self.meter.running >= self.control.max_running:
            return STATUS_BUSY
        return None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = json.loads(await request.read())
        contents = [item["content"] for item in body["messages"]]
        size = sum(len(content.encode()) for content in contents)
        done = ExecutedRequest(
            request=request.headers.get("X-Request-Id", ""),
            workspace=request.headers.get("X-Workspace", ""),
            incarnation=request.headers.get("X-Incarnation", ""),
            priority=int(request.headers.get("X-Priority", "0")),
            prompt_tokens=-(-size // BYTES_PER_TOKEN),
            fencing=int(request.headers.get("X-Fencing", "0")),
            revision=int(request.headers.get("X-Revision", "0")),
            started=time.time(),
        )
        status = self._judge(done)
        if status is not None:
            return web.Response(status=status)
        blocks = hash_prefixes(contents)
        limit = int(body.get("max_tokens", 16))
        self._by_id[done.request] = done
        self.meter.start(done)
        if self.control.fail_after_prompt:
            done.state = "failed"
            self.meter.end(done)
            return web.Response(status=STATUS_FAILED)
        events: asyncio.Queue[bytes | None] = asyncio.Queue()
        task = asyncio.create_task(self._execute(done, blocks, limit, events))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await self._stream(request, done, events)
        except (asyncio.CancelledError, ConnectionError):
            # Some engines notice that nobody reads, others run to the end.
            if not self.control.keep_running:
                task.cancel()
            raise

    async def _stream(
        self,
        request: web.Request,
        done: ExecutedRequest,
        events: asyncio.Queue[bytes | None],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while (event := await events.get()) is not None:
            await response.write(event)
        aborts = self.control.break_after is not None
        if done.state == "broken" and aborts and request.transport is not None:
            request.transport.abort()
        if done.state == "finished":
            await response.write(b"data: [DONE]\n\n")
        return response

    async def _execute(
        self,
        done: ExecutedRequest,
        blocks: list[str],
        limit: int,
        events: asyncio.Queue[bytes | None],
    ) -> None:
        try:
            await self._read_prompt(done, blocks)
            last = await self._write_tokens(done, limit, events)
        except asyncio.CancelledError:
            done.state = "dropped"
            raise
        finally:
            self.meter.end(done)
        if last is not None:
            events.put_nowait(last)
        events.put_nowait(None)

    async def _read_prompt(self, done: ExecutedRequest, blocks: list[str]) -> None:
        await self._prompts.enter(done.priority)
        try:
            n_cached = self._cache.take(blocks) * BLOCK_TOKENS
            done.cached_tokens = min(n_cached, done.prompt_tokens)
            n_new = done.prompt_tokens - done.cached_tokens
            await asyncio.sleep(n_new / self.control.prompt_tokens_per_s)
        finally:
            self._prompts.leave()

    async def _write_tokens(
        self,
        done: ExecutedRequest,
        limit: int,
        events: asyncio.Queue[bytes | None],
    ) -> bytes | None:
        digest = hashlib.sha256()
        late = b""
        for number in range(limit):
            if done.request in self._cancelled:
                done.state = "cancelled"
                return None
            if number in (self.control.close_at, self.control.break_after):
                done.state = "broken"
                return None
            text = make_word(done.request, number)
            done.completion_tokens += 1
            done.first_token = done.first_token or time.time()
            self.meter.tokens += 1
            digest.update(text.encode())
            last = number + 1 == limit
            if last:
                done.state = "finished"
                done.text_digest = digest.hexdigest()
            event = make_event(done, number, text, last=last)
            if self.control.foreign_at == number:
                event = event.replace(done.request.encode(), b"another-request")
            if last:
                return event + late
            if self.control.reorder_at == number:
                late = event
                continue
            events.put_nowait(event + late)
            late = b""
            slowdown = 1.0 + self.control.batch_slowdown * (self.meter.running - 1)
            await asyncio.sleep(slowdown / self.control.tokens_per_s)
        return None
