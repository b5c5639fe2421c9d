"""Small deployment for the scripts of the second review.

The hosts are the project's own processes, started as deploy/system.toml does. The store
is the project's stand-in; model servers, plain servers and callers are made here. All
addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from standins.keyed_store import KeyedStore
from standins.platform import StoreServer, start_app
from trefoilstage.components.views.store import Topic

ROOT = Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 20.0
ENVIRONMENT = ("PATH", "HOME", "LANG")
HEAD_END = b"\r\n\r\n"


class CannotRunError(Exception):
    """Raised when a case can't be played."""


class Record:
    """Write what happened to the case's record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, also to standard output."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(kw_only=True)
class Head:
    """Represent the first line and the headers of a message."""

    first: str
    headers: dict[str, str]

    @classmethod
    def parse(cls, data: bytes) -> "Head":
        """Return a parsed head."""
        first, *lines = data.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if ":" in line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        return cls(first=first, headers=headers)


Work = Callable[["Server", Head, asyncio.StreamWriter], Awaitable[bool | None]]


@dataclass(kw_only=True)
class Server:
    """Serve HTTP/1.1 on kept connections; `work` answers each request.

    `work` returns False to close the connection.
    """

    name: str
    service: str
    zone: str
    work: Work
    slots: int = 64
    version: str = "v1"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    port: int = 0
    state: str = "ready"
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = Head.parse(await reader.readuntil(HEAD_END))
                length = int(head.headers.get("content-length", "0"))
                await reader.readexactly(length)
                if not await self._answer(head, writer):
                    break
                await writer.drain()
        writer.close()

    async def _answer(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        path = head.first.split(" ")[1]
        if path == "/trefoilstage/report":
            body = json.dumps({"born": self.born, "busy": False}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)
            return True
        if head.headers.get("expect-instance") != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        return await self.work(self, head, writer) is not False

    def make_entry(self) -> bytes:
        """Return the next entry of the server for the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(entry).encode()


def make_answer_head(head: Head, more: str = "") -> bytes:
    """Return the head of a successful answer, without its length."""
    attempt = head.headers.get("attempt-id", "")
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n"
        f"{more}"
    ).encode()


async def stream_events(
    head: Head, writer: asyncio.StreamWriter, n_events: int, pause_s: float
) -> None:
    """Write a stream of events with a token each, in chunks."""
    more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(make_answer_head(head, more))
    first = int(head.headers.get("last-event-id", "0")) + 1
    for number in range(first, n_events + 1):
        event = f"id: {number}\ndata: {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        if pause_s:
            await writer.drain()
            await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")


@dataclass(kw_only=True)
class Answer:
    """Describe what a caller got; a status of 0 means no answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Caller:
    """Send one request at a time, on a kept connection or a new one for each."""

    def __init__(self, port: int, *, keeps: bool = False) -> None:
        self._port = port
        self._keeps = keeps
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 6.0,
    ) -> Answer:
        """Send a request and return its answer."""
        if body or method != "GET":
            headers = {**headers, "Content-Length": str(len(body))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await self._connect()
                writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
                await self._read(reader, answer)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        if not self._keeps or answer.headers.get("connection", "") == "close":
            self.close()
        return answer

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._reader is None or self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                LOOPBACK, self._port
            )
        return self._reader, self._writer

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = Head.parse(await reader.readuntil(HEAD_END))
        answer.status = int(head.first.split(" ")[1])
        answer.headers = head.headers
        if head.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(head.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


@dataclass(kw_only=True)
class Host:
    """Describe a host's process."""

    name: str
    zone: str
    process: asyncio.subprocess.Process
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None
    caller_port: int = 0
    ready_port: int = 0

    async def read_lines(self) -> None:
        """Collect the host's log."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip())

    def has_logged(self, text: str) -> bool:
        """Return whether a line of the log contains a text."""
        return any(text in line for line in self.lines)

    def find_port(self, name: str) -> int:
        """Return a port that the host has logged."""
        words = (word for line in self.lines for word in line.split())
        found = (word for word in words if word.startswith(f"{name}="))
        return int(next(found).partition("=")[2])


class Deployment:
    """Run hosts, the store and servers; end all of them at the end."""

    def __init__(
        self,
        *,
        record: Record,
        configuration: dict[str, Any],
        servers: list[Server],
        more_settings: str = "",
    ) -> None:
        self.record = record
        self.configuration = configuration
        self.servers = servers
        self.store = KeyedStore()
        self.hosts: dict[str, Host] = {}
        self.store_servers: dict[str, StoreServer] = {}
        self.last_writer = ""  # host that last wrote under a condition
        self._more_settings = more_settings
        self._folder = tempfile.TemporaryDirectory()
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Deployment":
        for server in self.servers:
            await server.start()
            await self.write_entry(server)
        await self.write_configuration()
        self._tasks.append(asyncio.create_task(self._send_heartbeats()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for host in list(self.hosts.values()):
            await self.end_host(host.name)
        for server in self.servers:
            if server.server is not None:
                server.server.close()
        for runner in self._runners:
            await runner.cleanup()
        self._folder.cleanup()

    async def write_configuration(self) -> None:
        """Write the configuration to the store, as the operator."""
        value = json.dumps(self.configuration).encode()
        await self.store.put(Topic.CONFIGURATION, "config", value)

    async def write_entry(self, server: Server) -> None:
        """Write a server's entry to the store."""
        await self.store.put(Topic.TARGETS, server.name, server.make_entry())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                if server.state != "gone":
                    await self.write_entry(server)

    async def start_host(self, name: str, zone: str) -> Host:
        """Start a host and wait until it is ready."""
        port = await self._start_store(name)
        path = Path(self._folder.name) / f"{name}.conf"
        path.write_text(
            f"node_name={name}\nzone={zone}\nlisten.front={LOOPBACK}:0\n"
            f"listen.ready={LOOPBACK}:0\ninternal_ports=0,0\n"
            f"platform.address={LOOPBACK}:{port}\nplatform.parts=12\n"
            "limits.memory_mb=150\nlimits.max_fds=4200\nbounds.grace_s=8\n"
            "bounds.drain_ms=2000\nbounds.retry_budget_ratio=0.2\n"
            f"bounds.retry_budget_slack=54\n{self._more_settings}"
        )
        environment = {key: os.environ[key] for key in ENVIRONMENT if key in os.environ}
        process = await asyncio.create_subprocess_exec(
            "python3",
            "-OO",
            "-m",
            "trefoilstage.platform",
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            env={
                **environment,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "TREFOILSTAGE_CONFIG": str(path),
            },
            limit=1 << 22,
        )
        host = Host(name=name, zone=zone, process=process)
        self.hosts[name] = host
        host.reader = asyncio.create_task(host.read_lines())
        wait_until = time.monotonic() + START_TIMEOUT_S
        while not host.has_logged("host_ready"):
            if time.monotonic() > wait_until or process.returncode is not None:
                raise CannotRunError(f"{name} does not start")
            await asyncio.sleep(0.02)
        host.caller_port = host.find_port("caller_port")
        host.ready_port = host.find_port("ready_port")
        self.record.write(f"{name} is ready")
        return host

    async def _start_store(self, name: str) -> int:
        server = StoreServer(store=self.store)
        self.store_servers[name] = server
        app = server.make_app()

        @web.middleware
        async def note_writer(request: web.Request, handler: Any) -> Any:
            if "at" in request.query:
                self.last_writer = name
            return await handler(request)

        app.middlewares.append(note_writer)
        runner, port = await start_app(app)
        self._runners.append(runner)
        return port

    def refuse_at_store(self, *, is_refusing: bool) -> None:
        """Let the store answer all hosts 503, or serve them again."""
        for server in self.store_servers.values():
            server.is_refusing = is_refusing

    async def end_host(self, name: str) -> Host:
        """Kill a host's process and wait for its end."""
        host = self.hosts.pop(name)
        if host.process.returncode is None:
            host.process.kill()
        await host.process.wait()
        if host.reader is not None:
            await host.reader
        return host


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case, and exit with its result."""
    record = Record(folder)

    async def run() -> int:
        try:
            async with asyncio.timeout(115):
                return await play(record)
        except (CannotRunError, TimeoutError, StopIteration) as error:
            record.say(f"could not run: {error!r}")
            return NOT_RUN

    result = asyncio.run(run())
    record.say({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    record.close()
    sys.exit(result)
