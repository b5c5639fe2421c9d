"""Stand-ins for the platform's store and targets, served over HTTP."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import aiohttp
from aiohttp import web

from standins.common import reset_connection
from standins.keyed_store import KeyedStore
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    Topic,
    make_position,
    split_position,
)
from trefoilstage.platform.store import TOPIC_NAMES, decode_keyed_record, encode_record

LOOPBACK = "127.0.0.1"
TOPICS_BY_NAME = {name: topic for topic, name in TOPIC_NAMES.items()}
READ_POLL_S = 0.02
COLD_S = 3.0  # how long a target is cold after its start
N_SLOTS = 8  # of a target
FETCH_TIMEOUT_S = 1.0  # after which a target processes the prefix itself


async def start_app(app: web.Application, port: int = 0) -> tuple[web.AppRunner, int]:
    """Start to serve an application; port 0 lets the kernel choose one."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    bound: int = runner.addresses[0][1]
    return runner, bound


class StoreServer:
    """Serve a shared store to one host; can refuse this host's calls alone.

    `target_ports` maps the targets' ports to those at which this host reaches them.
    """

    def __init__(
        self, *, store: KeyedStore, target_ports: Mapping[int, int] | None = None
    ) -> None:
        self._store = store
        self._target_ports = target_ports or {}
        self.is_refusing = False

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/trefoilstage/log-newest", self._list_newest)
        app.router.add_get("/trefoilstage/log-read", self._read)
        app.router.add_post("/trefoilstage/log-append", self._append)
        return app

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self._store.era)

    def _parse_partition(self, request: web.Request) -> tuple[Topic, int]:
        if self.is_refusing:
            raise web.HTTPServiceUnavailable
        return TOPICS_BY_NAME[request.query["topic"]], int(request.query["part"])

    def _readdress(self, topic: Topic, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Return records with the targets' addresses as this host reaches them."""
        if topic is not Topic.TARGETS:
            return records
        return [
            replace(item, value=self._readdress_entry(item.value)) for item in records
        ]

    def _readdress_entry(self, value: bytes | None) -> bytes | None:
        if value is None or not self._target_ports:
            return value
        entry = json.loads(value)
        address, _, port = entry["address"].rpartition(":")
        port = self._target_ports.get(int(port), port)
        return json.dumps({**entry, "address": f"{address}:{port}"}).encode()

    async def _list_newest(self, request: web.Request) -> web.Response:
        topic, part = self._parse_partition(request)
        batch = await self._store.list_newest(topic, part)
        end_offset = split_position(batch.end_offset)[1]
        items = [
            {
                "key": item.key,
                "value": base64.b64encode(item.value or b"").decode(),
                "offset": split_position(item.offset)[1],
            }
            for item in self._readdress(topic, batch.records)
        ]
        return web.json_response({"items": items, "end_offset": end_offset})

    async def _read(self, request: web.Request) -> web.Response:
        topic, part = self._parse_partition(request)
        offset = int(request.query["from"])
        deadline = (
            asyncio.get_running_loop().time() + int(request.query["wait_ms"]) / 1000
        )
        records: list[KeyedRecord] = []
        while not records:
            self._parse_partition(request)
            position = make_position(self._store.era, offset)
            try:
                batch = await self._store.read(topic, position, 0, part)
            except OffsetExpiredError as error:
                raise web.HTTPGone from error
            records = self._readdress(topic, batch.records)
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(READ_POLL_S)
        body = b"".join(encode_record(item.key, item.value) for item in records)
        head = struct.pack(">QQ", offset + len(records), 0)
        return web.Response(body=head + body)

    async def _append(self, request: web.Request) -> web.Response:
        topic, part = self._parse_partition(request)
        record = decode_keyed_record((await request.read())[4:], 0)
        expected_offset = request.query.get("at")
        position = await self._store.put(
            topic,
            record.key,
            record.value,
            partition=part,
            expected_end_offset=None
            if expected_offset is None
            else make_position(self._store.era, int(expected_offset)),
        )
        if position is None:
            return web.json_response({"end_offset": 0}, status=412)
        offset = split_position(position)[1]
        return web.json_response({"offset": offset, "end_offset": offset + 1})


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
    is_mute: bool = False  # accepts connections and answers nothing
    stop: asyncio.Event = field(default_factory=asyncio.Event)
    runs: list[TargetRun] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Return the target's name and start, as hosts name it."""
        return f"{self.name}@{self.started_at_ms}"

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if not self.reads_bodies and request.method == "POST":
            self.n_unread_bodies += 1
            await self.stop.wait()
        body = await request.read()
        if self.is_mute:
            await self.stop.wait()
        if request.path == "/trefoilstage/report":
            return web.json_response({"born": self.started_at_ms, "busy": False})
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
        run.ended = True
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


def encode_configuration(
    version: int,
    *,
    prepaid: int,
    service: str = "llm",
    cold_requests_per_s: float | None = None,
    engine: Mapping[str, object] | None = None,
    more_tenants: Sequence[Mapping[str, object]] = (),
) -> bytes:
    """Return an encoded configuration with a route of each kind."""

    def make_route(name: str, kind: str, **more: object) -> dict[str, object]:
        route: dict[str, object] = {
            "name": name,
            "host": "club.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout_ms": 5_000,
            "target_latency_ms": 500,
            "max_attempts": 2,
        }
        return {**route, **more}

    return json.dumps(
        {
            "version": version,
            "routes": [
                make_route("stream", "stream", max_attempts=1),
                make_route("stream-again", "stream", resumable=True),
                make_route("book", "unsafe", max_attempts=1),
                make_route("look", "safe"),
                *([make_route("new", "safe")] if version > 1 else []),
            ],
            "services": [
                {
                    "name": service,
                    "engine": {"slots": N_SLOTS, "stride": 1, **(engine or {})},
                    "cold_s": COLD_S,
                    "cold_per_s": cold_requests_per_s,
                }
            ],
            "tenants": [
                {"name": "school", "api_keys": ["key"], "prepaid": prepaid},
                *more_tenants,
            ],
        }
    ).encode()


def encode_target(
    port: int,
    *,
    state: str = "ready",
    service: str = "llm",
    sequence: int = 1,
    started_at_ms: int = 1_000,
    data_center: str = "brest",
    cold_s: float = 0.0,
    version: str = "v1",
    slots: int = N_SLOTS,
) -> bytes:
    """Return a target's encoded entry."""
    entry = {
        "service": service,
        "address": f"{LOOPBACK}:{port}",
        "zone": data_center,
        "version": version,
        "slots": slots,
        "state": state,
        "cold_remaining_ms": int(cold_s * 1000),
        "sequence": sequence,
        "born": started_at_ms,
    }
    return json.dumps(entry).encode()
