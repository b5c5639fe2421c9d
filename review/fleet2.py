"""Start real hosts, with stand-ins for the store, the servers and the consumers.

Hosts run as separate processes with the command of the deploy file. The store is the
project's own stand-in; servers and consumers here speak plain HTTP/1.1 on sockets.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.keyed_store import KeyedStore  # noqa: E402
from standins.platform import StoreServer, start_app  # noqa: E402
from trefoilstage.components.views.store import Topic  # noqa: E402

LOOPBACK = "127.0.0.1"
HOST = "club.example"
HEAD_END = b"\r\n\r\n"
HTTP_OK = 200
READY_TIMEOUT_S = 20.0


class CannotRunError(Exception):
    """Report that a case could not run."""


@dataclass(kw_only=True, slots=True)
class Record:
    """Write what was sent, answered and run, one line each."""

    path: Path
    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def __call__(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def save(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass(kw_only=True, slots=True)
class Request:
    """Describe a request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Return the id that the consumer chose."""
        return self.headers.get("attempt-id", "")


@dataclass(kw_only=True, slots=True)
class Answer:
    """Describe an answer; not whole if its connection broke before the end."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, which have lower-case names."""
    data = await reader.readuntil(HEAD_END)
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that was sent in chunks."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader: asyncio.StreamReader, headers: Mapping[str, str]) -> bytes:
    """Return the body of a request."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


Serve = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool]]


@dataclass(kw_only=True, slots=True)
class Server:
    """Serve requests as the pages say; `serve` answers those that it runs."""

    name: str
    record: Record
    serve: Serve
    service: str = "llm"
    slots: int = 64
    born: int = 1_000
    port: int = 0
    runs: list[Request] = field(default_factory=list)
    server: asyncio.Server | None = None
    version: str = "v1"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        errors = (OSError, EOFError, ValueError, asyncio.CancelledError)
        with contextlib.suppress(*errors):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        if target == "/trefoilstage/report":
            text = json.dumps({"born": self.born, "busy": False}).encode()
            writer.write(make_answer(200, {"Content-Type": "application/json"}, text))
            return True
        if target == "/health":
            writer.write(make_answer(200, {"Instance-Id": self.name}, b""))
            return True
        request = Request(method=method, target=target, headers=headers, body=body)
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(make_answer(421, {"Attempt-Id": request.attempt}, b""))
            return True
        self.runs.append(request)
        self.record(f"{self.name} runs {method} {target} attempt={request.attempt}")
        goes_on = await self.serve(self, request, writer)
        with contextlib.suppress(OSError):
            await writer.drain()
        return goes_on

    def seal(self, request: Request) -> dict[str, str]:
        """Return the headers of a server's own answer."""
        return {"Attempt-Id": request.attempt, "Response-Seal": f"{self.name}.seal"}

    def encode(self, *, state: str = "ready", sequence: int = 1) -> bytes:
        """Return the server's entry."""
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "hall-brest",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": self.born,
        }
        return json.dumps(entry).encode()


def make_answer(status: int, headers: Mapping[str, str], body: bytes) -> bytes:
    """Return a whole answer with its length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


async def serve_plain(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> bool:
    """Answer a plain request, or a stream of five events."""
    await asyncio.sleep(0.02)
    if request.target.startswith("/stream"):
        events = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6)).encode()
        headers = {**server.seal(request), "Content-Type": "text/event-stream"}
        writer.write(make_answer(200, headers, events))
    else:
        writer.write(make_answer(200, server.seal(request), b"done"))
    return True


@dataclass(kw_only=True, slots=True)
class HostProcess:
    """Describe a host's process and what it writes."""

    name: str
    process: asyncio.subprocess.Process
    settings: Path
    caller_port: int = 0
    ready_port: int = 0
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    async def read_lines(self) -> None:
        """Collect what the process writes until it ends."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(line.decode(errors="replace").rstrip())

    def has(self, *texts: str) -> bool:
        """Return whether a line holds all texts."""
        return any(all(text in line for text in texts) for line in self.lines)

    def find_port(self, name: str) -> int:
        """Return a port that the host names as it starts."""
        for line in self.lines:
            for word in line.split():
                if word.startswith(f"{name}="):
                    return int(word.partition("=")[2])
        return 0


def make_route(name: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": "llm",
        "timeout_ms": 5_000,
        "target_latency_ms": 500,
        "max_attempts": 1,
        **more,
    }


def make_configuration(
    version: int = 1, *, prepaid: int = 10_000_000, **more: object
) -> dict[str, object]:
    """Return a configuration with a route of each kind."""
    return {
        "version": version,
        "routes": [
            make_route("stream", "stream"),
            make_route("stream-again", "stream", resumable=True, max_attempts=2),
            make_route("book", "unsafe"),
            make_route("look", "safe", max_attempts=2),
        ],
        "services": [
            {
                "name": "llm",
                "max_connections": 360,
                "engine": {"slots": 64, "kv_tokens": 498_211, "stride": 5},
            }
        ],
        "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "school", "api_keys": ["key"], "prepaid": prepaid}],
        **more,
    }


@dataclass(kw_only=True, slots=True)
class Fleet:
    """Run hosts, servers and the store of one case."""

    record: Record
    n_hosts: int = 3
    servers: list[Server] = field(default_factory=list)
    configuration: dict[str, object] = field(default_factory=make_configuration)
    store: KeyedStore = field(default_factory=KeyedStore)
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )
    peer_ports: dict[str, int] = field(default_factory=dict)
    caller_ports: dict[str, int] = field(default_factory=dict)
    settings: dict[str, object] = field(default_factory=dict)
    runners: list[object] = field(default_factory=list)
    n_sent: int = 0

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        for server in self.servers:
            await server.start()
            await self.store.put(Topic.TARGETS, server.name, server.encode())
        await self.write_configuration()
        async with asyncio.TaskGroup() as starts:
            for number in range(self.n_hosts):
                starts.create_task(self.start_host(f"front-{number}"))

    async def __aexit__(self, *_: object) -> None:
        for host in list(self.hosts.values()):
            with contextlib.suppress(ProcessLookupError):
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            await host.process.wait()
            if host.reader is not None:
                await host.reader
        for server in self.servers:
            if server.server is not None:
                server.server.close()
        for runner in self.runners:
            await runner.cleanup()  # type: ignore[attr-defined]
        self.folder.cleanup()
        self.record.save()

    async def write_configuration(self) -> None:
        """Write the configuration to the store."""
        value = json.dumps(self.configuration).encode()
        await self.store.put(Topic.CONFIGURATION, "config", value)

    async def start_host(self, name: str) -> HostProcess:
        """Start a host and wait until it is ready."""
        host = await self.launch_host(name)
        until = time.monotonic() + READY_TIMEOUT_S
        names = [server.name for server in self.servers]
        while not (
            host.has("host_ready")
            and all(host.has("target_listed", target) for target in names)
        ):
            if host.process.returncode is not None or time.monotonic() > until:
                self.record(f"{name} did not start: {host.lines[-20:]}")
                raise CannotRunError(f"{name} did not get ready")
            await asyncio.sleep(0.02)
        host.caller_port = host.find_port("caller_port")
        host.ready_port = host.find_port("ready_port")
        self.record(f"{name} is ready, process {host.process.pid}")
        return host

    async def launch_host(self, name: str) -> HostProcess:
        """Launch the process of a host."""
        app = StoreServer(store=self.store).make_app()
        runner, port = await start_app(app)
        self.runners.append(runner)
        if name not in self.peer_ports:
            self.peer_ports[name] = find_free_port()
            self.caller_ports[name] = find_free_port()
        peer = self.peer_ports[name]
        path = Path(self.folder.name) / f"{name}.conf"
        settings: dict[str, object] = {
            "node_name": name,
            "role": "host",
            "machine_class": "front",
            "serves": "front",
            "ip": LOOPBACK,
            "zone": "hall-brest",
            "region": "bzh-ouest",
            "zones.hall-brest": "bzh-ouest",
            "listen.front": f"{LOOPBACK}:{self.caller_ports[name]}",
            "listen.ready": f"{LOOPBACK}:0",
            "internal_ports": f"{peer},{peer}",
            "bootstrap": "true",
            "loss_counts": "false",
            "limits.cpu_share": 1.0,
            "limits.cores": 1,
            "limits.memory_mb": 150,
            "limits.max_fds": 4200,
            "limits.link_mbps": 1000.0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "platform",
            "bounds.stable_window_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.config_deadline_ms": 2000,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.retry_budget_slack": 54,
            "platform.address": f"{LOOPBACK}:{port}",
            "platform.form": "log",
            "platform.writes_per_s": 600,
            "platform.reads_per_s": 2000,
            "platform.parts": 12,
            "platform.keep_s": 300,
            **self.settings,
        }
        path.write_text("".join(f"{key}={val}\n" for key, val in settings.items()))
        process = await asyncio.create_subprocess_exec(
            "python3",
            "-OO",
            "-m",
            "trefoilstage.platform",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": "target/deps",
                "PYTHONDONTWRITEBYTECODE": "1",
                "TREFOILSTAGE_CONFIG": str(path),
            },
        )
        host = HostProcess(name=name, process=process, settings=path)
        host.reader = asyncio.create_task(host.read_lines())
        self.hosts[name] = host
        return host

    async def call(  # noqa: PLR0913
        self,
        path: str,
        *,
        host: str = "front-0",
        method: str = "POST",
        tokens: str | None = None,
        attempt: str | None = None,
        deadline_ms: int = 5_000,
        prefix: bytes | None = None,
        more: bytes = b"",
        body: bytes = b"{}",
        key: str = "key",
        names_model: bool = True,  # else `more` does
    ) -> Answer | None:
        """Send a request as a consumer does; return None without an answer."""
        self.n_sent += 1
        attempt = f"{self.n_sent:016x}" if attempt is None else attempt
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nKey: {key}\r\n"
        head += f"Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
        if tokens is None and path.startswith("/stream"):
            tokens = "100,10"
        if tokens is not None and names_model:
            head += f"Model: m\r\nToken-Count: {tokens}\r\n"
            if prefix is None:
                prefix = f"aa:50,{self.n_sent:x}:50".encode()
        data = head.encode("latin-1")
        if prefix is not None:
            data += b"Prompt-Prefix: " + prefix + b"\r\n"
        data += more + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        port = self.caller_ports[host]
        answer = await call_raw(port, data, deadline_ms / 1000 + 2.0)
        said = "no answer" if answer is None else f"{answer.status}"
        if answer is not None and answer.status != HTTP_OK:
            said += f" {answer.body[:160]!r}"
        whole = answer is not None and answer.is_whole
        self.record(
            f"consumer {method} {path} attempt={attempt} at {host}: "
            f"{said} whole={whole}"
        )
        return answer


async def call_raw(port: int, data: bytes, timeout_s: float) -> Answer | None:
    """Send the bytes of one request on a new connection; return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer on a connection."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body, is_whole = b"", True
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if not size:
                    await reader.readline()
                    break
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (OSError, ValueError, asyncio.IncompleteReadError):
        is_whole = False
    return Answer(status=status, headers=headers, body=body, is_whole=is_whole)


def find_free_port() -> int:
    """Return a port that is free now, below those that the kernel gives out."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind((LOOPBACK, port))
                return port


def run_case(
    folder: Path,
    case: Callable[[Record, bool], Awaitable[bool]],
    limit_s: float = 110.0,
) -> None:
    """Run a case; exit with 1 if it breaks the rule, 0 if not, 2 if it can't run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record(f"trouble={with_trouble}")

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record, with_trouble)

    try:
        broken = asyncio.run(limited())
    # An error of the script itself must not count as a broken rule.
    except Exception as error:
        record(f"could not run: {error!r}")
        record.save()
        print(f"could not run: {error!r}")
        sys.exit(2)
    record(f"broken={broken}")
    record.save()
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
