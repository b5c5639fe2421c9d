"""Stand-in for the platform's store, served over HTTP, and what lies in it."""

import asyncio
import base64
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import replace

from aiohttp import web

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
NEVER_S = 3_600.0
COLD_S = 3.0  # how long a target is cold after its start
N_SLOTS = 8  # of a target
OTHER_SERVICE = "other"  # has no targets


async def start_app(
    app: web.Application, reserved: socket.socket | None = None
) -> tuple[web.AppRunner, int]:
    """Start to serve an application, at a free port unless one is reserved."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    if reserved is None:
        await web.TCPSite(runner, LOOPBACK, 0).start()
    else:
        await web.SockSite(runner, reserved).start()
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
        app = web.Application(middlewares=[self._stay_silent])
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/trefoilstage/log-newest", self._list_newest)
        app.router.add_get("/trefoilstage/log-read", self._read)
        app.router.add_post("/trefoilstage/log-append", self._append)
        return app

    @web.middleware
    async def _stay_silent(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Answer a call only if the store is not silent from its start to its end."""
        n_silences = self._store.n_silences
        if not self._store.is_silent:
            answer = await handler(request)
            if n_silences == self._store.n_silences:
                return answer
        await asyncio.sleep(NEVER_S)
        raise web.HTTPServiceUnavailable

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


def encode_configuration(
    version: int,
    *,
    prepaid: int,
    service: str = "llm",
    cold_requests_per_s: float | None = None,
    engine: Mapping[str, object] | None = None,
    more_tenants: Sequence[Mapping[str, object]] = (),
    limits: Mapping[str, object] | None = None,
    route_changes: Mapping[str, Mapping[str, object] | None] | None = None,
) -> bytes:
    """Return an encoded configuration with a route of each kind.

    `route_changes` holds other values by route; a route with None is dropped.
    """
    changes = route_changes or {}

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

    routes = [
        make_route("stream", "stream", max_attempts=1),
        make_route("stream-again", "stream", resumable=True),
        make_route("book", "unsafe", max_attempts=1),
        make_route("look", "safe"),
        *([make_route("new", "safe")] if version > 1 else []),
    ]
    return json.dumps(
        {
            "version": version,
            "routes": [
                {**route, **change}
                for route in routes
                if (change := changes.get(str(route["name"]), {})) is not None
            ],
            "services": [
                {
                    "name": service,
                    "engine": {"slots": N_SLOTS, "stride": 1, **(engine or {})},
                    "cold_s": COLD_S,
                    "cold_per_s": cold_requests_per_s,
                },
                {"name": OTHER_SERVICE},
            ],
            "limits": limits or {},
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
