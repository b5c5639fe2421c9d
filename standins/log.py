"""Stand-in for the platform's append-only log.

POST /streams/{stream}/records   CBOR list of byte strings -> {"first": offset}
GET  /streams/{stream}/records?from=N&wait_ms=M
                                 -> {"records": [[offset, bytes]], "earliest", "next"}
                                 410 with "earliest" when N has expired
POST /control                    JSON LogControl: outages, delays, lost replies,
                                 retention
GET  /meter                      JSON: counts of appends, records, bytes and reads
"""

import asyncio
import contextlib
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

import cbor2
from aiohttp import web
from pydantic import BaseModel, Field

from standins.common import add_control, make_json_response

MAX_PAGE_RECORDS = 1000
MAX_PAGE_BYTES = 2_000_000
MAX_RECORD_BYTES = 1_000_000
DEFAULT_APPENDS_PER_S = 400.0
BURST_APPENDS = 50.0
STATUS_UNAVAILABLE = 503
STATUS_GONE = 410


class LogControl(BaseModel):
    """Set the log's faults, retention and append rate."""

    down: bool = False
    delay_s: float = Field(default=0.0, ge=0.0)
    lose_answers: int = Field(default=0, ge=0)
    retention: int | None = Field(default=None, ge=1)
    appends_per_s: float = Field(default=DEFAULT_APPENDS_PER_S, gt=0)


@dataclass(kw_only=True, slots=True)
class StreamStore:
    """Store one stream's records up to the retention limit."""

    records: deque[bytes] = field(default_factory=deque)
    earliest: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.earliest + len(self.records)

    def append(self, data: list[bytes], retention: int | None) -> int:
        """Append records, expire old ones and return the first new offset."""
        first = self.next
        self.records.extend(data)
        while retention is not None and len(self.records) > retention:
            self.records.popleft()
            self.earliest += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def read(self, start: int) -> list[tuple[int, bytes]]:
        """Return a page of records, starting at an offset."""
        page: list[tuple[int, bytes]] = []
        size = 0
        stop = min(self.next, start + MAX_PAGE_RECORDS)
        for offset in range(start, stop):
            data = self.records[offset - self.earliest]
            size += len(data)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append((offset, data))
        return page


@dataclass(kw_only=True, slots=True)
class LogMeter:
    """Count the log's appends and reads."""

    appends: int = 0
    records: int = 0
    bytes: int = 0
    reads: int = 0


class LogStandin:
    """Serve the log's protocol from memory."""

    def __init__(self, *, retention: int | None = None) -> None:
        self.control = LogControl(retention=retention)
        self.meter = LogMeter()
        self._streams: dict[str, StreamStore] = defaultdict(StreamStore)
        self._append_credit = BURST_APPENDS
        self._refilled_at = time.monotonic()

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * MAX_RECORD_BYTES)
        app.router.add_post("/streams/{stream}/records", self._append)
        app.router.add_get("/streams/{stream}/records", self._read)
        app.router.add_get("/meter", self._answer_meter)
        add_control(app, LogControl, self._set_control)
        return app

    def _set_control(self, control: LogControl) -> None:
        self.control = control

    async def _answer_meter(self, request: web.Request) -> web.Response:
        return make_json_response(self.meter)

    async def _append(self, request: web.Request) -> web.Response:
        data = cbor2.loads(await request.read())
        if not isinstance(data, list) or not all(
            isinstance(item, bytes) and len(item) <= MAX_RECORD_BYTES for item in data
        ):
            return web.Response(status=400)
        await self._apply_faults()
        await self._wait_for_credit()
        store = self._streams[request.match_info["stream"]]
        first = store.append(data, self.control.retention)
        self.meter.appends += 1
        self.meter.records += len(data)
        self.meter.bytes += sum(map(len, data))
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            return self._drop_connection(request)
        return web.Response(body=cbor2.dumps({"first": first}))

    def _drop_connection(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=STATUS_UNAVAILABLE)

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults()
        self.meter.reads += 1
        store = self._streams[request.match_info["stream"]]
        start = int(request.query.get("from", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= store.next and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), wait_s)
            await self._apply_faults()
        if start < store.earliest:
            body = cbor2.dumps({"earliest": store.earliest, "next": store.next})
            return web.Response(status=STATUS_GONE, body=body)
        answer = {
            "records": store.read(start),
            "earliest": store.earliest,
            "next": store.next,
        }
        return web.Response(body=cbor2.dumps(answer))

    async def _apply_faults(self) -> None:
        if self.control.delay_s > 0:
            await asyncio.sleep(self.control.delay_s)
        if self.control.down:
            raise web.HTTPServiceUnavailable

    async def _wait_for_credit(self) -> None:
        while True:
            now = time.monotonic()
            gained = (now - self._refilled_at) * self.control.appends_per_s
            self._append_credit = min(BURST_APPENDS, self._append_credit + gained)
            self._refilled_at = now
            if self._append_credit >= 1.0:
                self._append_credit -= 1.0
                return
            await asyncio.sleep(
                (1.0 - self._append_credit) / self.control.appends_per_s
            )
