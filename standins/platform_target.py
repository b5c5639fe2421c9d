"""Stand-in for the platform's targets, served over HTTP."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from standins.common import reset_connection

# A faulty target sends 25 MB/s on each connection that is read.
ENDLESS_BLOCK_BYTES = 256 * 1024
ENDLESS_PAUSE_S = 0.01
FETCH_TIMEOUT_S = 1.0  # after which a target processes the prefix itself


@dataclass(kw_only=True, slots=True)
class TargetRun:
    """Describe one request that a target ran; tests compare against it."""

    request: str
    tenant: str
    resumed_after: int
    prompt_tokens: int = 0
    started_at: float = field(default_factory=time.monotonic)
    events: int = 0
    ended: bool = False
    cut_off: bool = False  # the response remained unread for too long
    fetch_from: str = ""  # the address in the header Kv-Fetch


@dataclass(frozen=True, kw_only=True, slots=True)
class EndlessBytes:
    """Describe bytes that a faulty target sends until its connection is closed.

    `%s` in the first bytes stands for the request's id.
    """

    first: bytes
    repeated: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class EarlyAnswer:
    """Describe bytes that a faulty target sends before it has read a request's body.

    `%s` stands for the request's id. Then the target stays silent, or resets.
    """

    data: bytes
    resets_after_s: float | None = None


def make_set_event() -> asyncio.Event:
    """Return an event that is set."""
    event = asyncio.Event()
    event.set()
    return event


@dataclass(kw_only=True, slots=True)
class PlatformTarget:
    """Run requests and inject the faults that the test sets."""

    name: str
    version: str = "v1"  # of its software
    names_version: bool = False  # in each event of a stream
    started_at_ms: int = 1_000
    n_events: int = 4
    event_interval_s: float = 0.0
    padding_bytes: int = 0  # added to each event of a stream
    # How long a part of a stream may remain unread; then the connection is reset.
    max_unread_s: float | None = None
    reads_bodies: bool = True  # of requests; else they wait, unread, for the stop
    n_unread_bodies: int = 0
    answer: bytes = b"whole answer"
    # Number of events after which a stream that isn't resumed is reset.
    break_after: int | None = None
    refuse: bool = False  # answers 503 with Not-Executed
    n_refused: int = 0
    n_reports: int = 0  # that hosts asked for
    # Added to all answers, such as what the target wants of the hosts.
    headers: dict[str, str] = field(default_factory=dict)
    fail: bool = False  # runs the request and answers with the status below
    fail_status: int = 500
    has_seal: bool = True  # its answers are signed
    unframed_reset: bool = False  # answers without a length, resets midway
    crashes_on: bytes | None = None  # request body that crashes the target
    crashing_part: str = ""  # of prompts; crashes the target as an answer begins
    crash: Callable[[], Awaitable[None]] | None = None  # stops and restarts it
    max_running: int | None = None  # above it, the target refuses or crashes
    crashes_above_limit: bool = False
    processing_s: float = 0.0  # before an answer begins
    n_running: int = 0
    # Streams without chunks, which only the end of their connection ends.
    is_unframed: bool = False
    endless: EndlessBytes | None = None  # sent in place of answers
    early: EarlyAnswer | None = None  # sent in place of answers
    is_mute: bool = False  # accepts connections and answers nothing
    sends: asyncio.Event = field(default_factory=make_set_event)  # else it is silent
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    runs: list[TargetRun] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Return the target's name and start, as hosts name it."""
        return f"{self.name}@{self.started_at_ms}"

    async def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a time, as a suspended process, then go on."""
        self.sends.clear()
        await asyncio.sleep(duration_s)
        self.sends.set()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.early is not None and request.method == "POST":
            return await self._answer_early(request, self.early)
        return await self._answer(request)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if not self.reads_bodies and request.method == "POST":
            self.n_unread_bodies += 1
            await self.stop.wait()
        body = await request.read()
        await self.sends.wait()
        if self.is_mute:
            await self.stop.wait()
        if request.path == "/trefoilstage/report":
            self.n_reports += 1
            return web.json_response({"born": self.started_at_ms, "busy": False})
        if self.endless is not None:
            return await self._send_without_end(request, self.endless)
        if request.headers.get("Expect-Instance") != self.name:
            return web.Response(status=421)
        is_full = self.max_running is not None and self.n_running >= self.max_running
        if self.refuse or (is_full and not self.crashes_above_limit):
            self.n_refused += 1
            refusal = {"Not-Executed": "1", **self.headers}
            return web.Response(status=503, headers=refusal)
        run = TargetRun(
            request=request.headers["Attempt-Id"],
            tenant=request.headers.get("Tenant", ""),
            resumed_after=int(request.headers.get("Last-Event-Id", 0)),
            prompt_tokens=int(request.headers.get("Token-Count", "0").split(",")[0]),
            fetch_from=request.headers.get("Kv-Fetch", ""),
        )
        self.runs.append(run)
        headers = {
            "Attempt-Id": run.request,
            **({"Response-Seal": f"{self.name}.seal"} if self.has_seal else {}),
            **self.headers,
        }
        self.n_running += 1
        try:
            if is_full and self.crash is not None:
                await self.crash()
                await self.stop.wait()  # until the server is stopped
            if run.fetch_from:
                await fetch_prefix(run.fetch_from)
            await asyncio.sleep(self.processing_s)
            await self.sends.wait()
            if request.transport is None or request.transport.is_closing():
                return web.Response()  # to a host that left
            return await self._answer_run(request, body, run, headers)
        finally:
            self.n_running -= 1

    async def _answer_run(
        self,
        request: web.Request,
        body: bytes,
        run: TargetRun,
        headers: dict[str, str],
    ) -> web.StreamResponse:
        if self.crash is not None and body == self.crashes_on:
            await self.crash()
            await self.stop.wait()  # until the server is stopped
        if self.crash is not None and self.crashing_part in list_shared_parts(request):
            await self._begin_stream(request, headers)
            await self.crash()
            await self.stop.wait()
        if self.fail:
            return web.Response(
                status=self.fail_status, headers=headers, body=b"failed"
            )
        if self.is_unframed and request.path.startswith("/stream"):
            return await self._stream_unframed(request, run, headers)
        if self.unframed_reset:
            return await self._answer_unframed(request, headers)
        if not request.path.startswith("/stream"):
            run.ended = True
            return web.Response(headers=headers, body=self.answer)
        return await self._stream(request, run, headers)

    async def _stream(
        self, request: web.Request, run: TargetRun, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = await self._begin_stream(request, headers)
        for number in range(run.resumed_after + 1, self.n_events + 1):
            is_breaking = self.break_after is not None and run.resumed_after == 0
            if is_breaking and number > (self.break_after or 0):
                # A crash cuts the stream in the middle of an event.
                await response.write(b"id: 9")
                reset_request(request)
                return response
            if request.transport is None or request.transport.is_closing():
                return response
            version = f"version: {self.version}\n" if self.names_version else ""
            padding = "." * self.padding_bytes
            event = f"id: {number}\n{version}data: {number}{padding}\n\n"
            try:
                async with asyncio.timeout(self.max_unread_s):
                    await response.write(event.encode())
            except TimeoutError:
                run.cut_off = True
                reset_request(request)
                return response
            run.events += 1
            await asyncio.sleep(self.event_interval_s)
            await self.sends.wait()
        run.ended = request.transport is not None
        return response

    async def _begin_stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={**headers, "Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        return response

    async def _stream_unframed(
        self, request: web.Request, run: TargetRun, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Close the connection after the last event, or within the one that breaks."""
        response = web.StreamResponse(headers=headers)
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        assert request.transport is not None
        request.transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        is_breaking = self.break_after is not None and run.resumed_after == 0
        n_events = self.break_after if is_breaking else self.n_events
        for number in range(run.resumed_after + 1, (n_events or 0) + 1):
            padding = "." * self.padding_bytes
            event = f"id: {number}\ndata: {number}{padding}\n\n"
            request.transport.write(event.encode())
            run.events += 1
            await asyncio.sleep(self.event_interval_s)
        if self.max_unread_s is not None:
            await asyncio.sleep(self.max_unread_s)
            if request.transport.get_write_buffer_size():
                run.cut_off = True
                reset_request(request)
                return response
        if is_breaking and n_events:
            request.transport.write(b"id: 9")
        run.ended = not is_breaking
        request.transport.close()
        return response

    async def _send_without_end(
        self, request: web.Request, endless: EndlessBytes
    ) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        name = request.headers.get("Attempt-Id", "").encode()
        transport.write(endless.first.replace(b"%s", name))
        block = endless.repeated * (ENDLESS_BLOCK_BYTES // len(endless.repeated))
        while not transport.is_closing():
            if transport.get_write_buffer_size() < ENDLESS_BLOCK_BYTES:
                transport.write(block)
            await asyncio.sleep(ENDLESS_PAUSE_S)
        return web.StreamResponse()

    async def _answer_early(
        self, request: web.Request, early: EarlyAnswer
    ) -> web.StreamResponse:
        assert request.transport is not None
        name = request.headers.get("Attempt-Id", "").encode()
        request.transport.write(early.data.replace(b"%s", name))
        if early.resets_after_s is None:
            await self.stop.wait()
        else:
            await asyncio.sleep(early.resets_after_s)
            reset_request(request)
        return web.StreamResponse()

    async def _answer_unframed(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if request.transport is not None:
            request.transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\nhalf".encode())
            await asyncio.sleep(0.05)
            reset_request(request)
        return response


def list_shared_parts(request: web.Request) -> list[str]:
    """Return the names of the parts of a request's prompt, except the last one."""
    parts = request.headers.get("Prompt-Prefix", "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


async def fetch_prefix(address: str) -> None:
    """Connect to a source as an engine does; go on without it if it fails."""
    timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
    url = f"http://{address}/trefoilstage/report"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return


def reset_request(request: web.Request) -> None:
    """Reset a request's connection; a normal close would look like a complete end."""
    if request.transport is not None:
        reset_connection(request.transport)
