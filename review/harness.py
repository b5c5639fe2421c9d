"""Stand-ins for the platform, its servers and its consumers, and a runner of hosts.

It uses the standard library only, and follows PROTOCOL.md and DEPLOY.md. All addresses
are loopback addresses with free ports.
"""

import asyncio
import base64
import json
import os
import signal
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

LOOPBACK = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2  # heartbeat_ms of the settings
GRACE_S = 8
START_TIMEOUT_S = 40  # of a host
ZONE = "zone-a"
REGION = "region-1"
MAX_PAGE_ITEMS = 500
REASONS = {200: "OK", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected"}


class Record:
    """Write what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.add(text)
        print(f"{time.monotonic() - self._began:8.3f} {text}", flush=True)


@dataclass
class HttpRequest:
    """Represent the head of a request that a stand-in receives."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        return dict(parse_qsl(self.target.partition("?")[2]))

    @property
    def length(self) -> int:
        """Return the length of the body."""
        return int(self.headers.get("content-length", 0))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by lower-case name."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> HttpRequest:
    """Return the head of the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    return HttpRequest(method=method, target=target, headers=headers)


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Listener:
    """Accept connections at a free port, and close them all when asked to."""

    def __init__(self, handle: ConnectionHandler) -> None:
        self._handle = handle
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            return  # at the end of the case
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """Keep topics as the platform's store does; can come back from an older copy."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], list[tuple[bytes, bytes]]] = {}
        self.era = 0
        self.is_away = False
        self.fronts: list[StoreFront] = []
        self._grown = asyncio.Event()

    def get(self, topic: str, part: int) -> list[tuple[bytes, bytes]]:
        """Return the records of a partition, as key and value."""
        return self.partitions.setdefault((topic, part), [])

    def append(self, topic: str, part: int, key: bytes, value: bytes) -> int:
        """Append a record and return its offset."""
        records = self.get(topic, part)
        records.append((key, value))
        self._grown.set()
        self._grown = asyncio.Event()
        return len(records) - 1

    async def wait_for_growth(self, timeout_s: float) -> None:
        """Wait until something is appended or the time is over."""
        try:
            await asyncio.wait_for(self._grown.wait(), timeout_s)
        except TimeoutError:
            return

    def copy(self) -> dict[tuple[str, int], int]:
        """Return a copy: how far each partition goes."""
        return {name: len(records) for name, records in self.partitions.items()}

    def go_away(self) -> None:
        """Close all connections, and answer nothing until the return."""
        self.is_away = True
        for front in self.fronts:
            front.listener.reset_all()

    def come_back(self, copy: dict[tuple[str, int], int]) -> None:
        """Come back from a copy: what was written since is gone."""
        for name, records in self.partitions.items():
            del records[copy.get(name, 0) :]
        self.era += 1
        self.is_away = False


class StoreFront:
    """Serve the store to one host, so that its calls can be told apart."""

    def __init__(self, store: Store, host: str) -> None:
        self.store = store
        self.host = host
        self.conditional_writes: list[float] = []  # times of those to accounts
        self.listener = Listener(self._serve)
        store.fronts.append(self)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            body = await reader.readexactly(request.length)
            if self.store.is_away:
                return
            status, answer = await self._answer(request, body)
            if self.store.is_away:
                return
            era = {"Store-Era": str(self.store.era)}
            writer.write(encode_answer(status, answer, era))
            await writer.drain()

    async def _answer(self, request: HttpRequest, body: bytes) -> tuple[int, bytes]:
        await asyncio.sleep(0.004)  # the store takes 4 ms an answer
        query = request.query
        topic, part = query["topic"], int(query["part"])
        if request.path.endswith("/log-newest"):
            return self._list_newest(topic, part, query.get("after"))
        if request.path.endswith("/log-read"):
            wait_s = int(query.get("wait_ms", 0)) / 1000
            return await self._read(topic, part, int(query["from"]), wait_s)
        return self._append(topic, part, body, query.get("at"))

    def _list_newest(
        self, topic: str, part: int, after: str | None
    ) -> tuple[int, bytes]:
        records = self.store.get(topic, part)
        newest = {key: (value, at) for at, (key, value) in enumerate(records)}
        kept = sorted(key for key, (value, _) in newest.items() if value)
        if after is not None:
            kept = [key for key in kept if key > after.encode()]
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in kept[:MAX_PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "has_more": len(kept) > MAX_PAGE_ITEMS,
            "end_offset": len(records),
        }
        return 200, json.dumps(page).encode()

    async def _read(
        self, topic: str, part: int, first: int, wait_s: float
    ) -> tuple[int, bytes]:
        deadline = time.monotonic() + wait_s
        while True:
            records = self.store.get(topic, part)
            if first > len(records):
                return 410, json.dumps({"first_offset": 0}).encode()
            left_s = deadline - time.monotonic()
            if first < len(records) or left_s <= 0:
                break
            await self.store.wait_for_growth(left_s)
        contents = [bytes([len(k)]) + k + v for k, v in records[first:]]
        framed = b"".join(struct.pack(">I", len(item)) + item for item in contents)
        return 200, struct.pack(">QQ", len(records), 0) + framed

    def _append(
        self, topic: str, part: int, body: bytes, at: str | None
    ) -> tuple[int, bytes]:
        records = self.store.get(topic, part)
        if at is not None and int(at) != len(records):
            return 412, json.dumps({"end_offset": len(records)}).encode()
        if at is not None:
            self.conditional_writes.append(time.monotonic())
        first, position = len(records), 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            end = 1 + content[0]
            self.store.append(topic, part, content[1:end], content[end:])
        reply = {"offset": first, "end_offset": len(records)}
        return 200, json.dumps(reply).encode()


@dataclass
class Server:
    """Serve requests as a server of the platform does."""

    name: str
    service: str
    record: Record
    slots: int = 64
    n_events: int = 20  # of a stream
    event_pause_s: float = 0.01
    work_s: float = 0.09  # of a plain request
    read_bytes_per_s: float | None = None  # of a body; None for as fast as it comes
    passed_on: set[str] = field(default_factory=set)  # ids of requests that came
    ran: list[str] = field(default_factory=list)
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    def __post_init__(self) -> None:
        """Create the listener."""
        self.listener = Listener(self._serve)

    def write_entry(self, store: Store) -> None:
        """Write this server's entry, as each heartbeat does."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.listener.port}",
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        value = json.dumps(entry).encode()
        store.append("keyed.servers", 0, self.name.encode(), value)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            if request.path == "/trefoilstage/report":
                report = json.dumps({"stage": "both", "born": self.born}).encode()
                writer.write(encode_answer(200, report))
            elif request.path == "/health":
                writer.write(encode_answer(200, b"", {"Instance-Id": self.name}))
            else:
                await self._run(request, reader, writer)
            await writer.drain()

    async def _run(
        self,
        request: HttpRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.headers["attempt-id"]
        if request.headers.get("expect-instance", self.name) != self.name:
            await reader.readexactly(request.length)
            writer.write(encode_answer(421, b"", {"Instance-Id": self.name}))
            return
        self.passed_on.add(attempt)
        self.record.add(f"server {self.name} got {attempt} bytes={request.length}")
        await self._read_body(reader, request.length)
        self.ran.append(attempt)
        self.record.add(f"server {self.name} runs {attempt}")
        headers = {
            "Attempt-Id": attempt,
            "Response-Seal": f"{self.name}.{attempt}",
            "Keep-Alive": "timeout=5",
        }
        if "token-count" in request.headers:
            await self._stream(writer, headers)
        else:
            await asyncio.sleep(self.work_s)
            writer.write(encode_answer(200, b"booked", headers))

    async def _read_body(self, reader: asyncio.StreamReader, length: int) -> None:
        left = length
        while left:
            data = await reader.read(min(left, 16_384))
            if not data:
                raise ConnectionResetError
            left -= len(data)
            if self.read_bytes_per_s is not None:
                await asyncio.sleep(len(data) / self.read_bytes_per_s)

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, self.n_events + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")


@dataclass
class Host:
    """Represent one machine and the process that runs there."""

    name: str
    front: StoreFront
    process: asyncio.subprocess.Process | None = None
    log: Path = Path()
    port: int = 0

    def read_anonymous_bytes(self) -> int:
        """Return the process's own memory, without the files that it maps."""
        if self.process is None:
            return 0
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("RssAnon"))
        return int(line.split()[1]) * 1024


class Fleet:
    """Run hosts with the command of the deploy file beside the stand-ins."""

    def __init__(self, record: Record, memory_mb: int = 150) -> None:
        self.record = record
        self.memory_mb = memory_mb
        self.store = Store()
        self.servers: list[Server] = []
        self.hosts: list[Host] = []
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[Any]] = []

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the configuration as the operator does."""
        value = json.dumps(configuration).encode()
        self.store.append("keyed.op", 0, b"config", value)

    async def add_servers(self, servers: list[Server]) -> None:
        """Start servers and their heartbeats."""
        for server in servers:
            await server.listener.start()
            server.write_entry(self.store)
            self.servers.append(server)
            self._tasks.append(asyncio.create_task(self._send_heartbeats(server)))

    async def _send_heartbeats(self, server: Server) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.is_away:
                server.write_entry(self.store)

    async def add_hosts(self, n_hosts: int) -> None:
        """Start hosts together and wait until all are ready."""
        for number in range(n_hosts):
            front = StoreFront(self.store, f"front-{ZONE}-{number + 1}")
            await front.listener.start()
            self.hosts.append(Host(name=front.host, front=front))
        await asyncio.gather(*(self.start_host(host) for host in self.hosts))

    async def start_host(self, host: Host) -> None:
        """Start a host's process and wait until it is ready."""
        folder = Path(self._folder.name)
        settings = folder / f"{host.name}.conf"
        settings.write_text(
            make_settings(host.name, host.front.listener.port, self.memory_mb)
        )
        host.log = folder / f"{host.name}-{time.monotonic_ns()}.log"
        with host.log.open("wb") as log:
            host.process = await asyncio.create_subprocess_exec(
                "python3",
                "-OO",
                "-m",
                "trefoilstage.platform",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "TREFOILSTAGE_CONFIG": str(settings),
                    "TREFOILSTAGE_METRICS_PORT": "0",
                },
            )
        self.record.add(f"host {host.name} started")
        await self._wait_until_ready(host)

    async def _wait_until_ready(self, host: Host) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while "host_ready" not in host.log.read_text():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{host.name} is not ready")
            await asyncio.sleep(0.05)
        words = host.log.read_text().split()
        port = next(word for word in words if word.startswith("caller_port="))
        host.port = int(port.partition("=")[2])
        self.record.add(f"host {host.name} is ready")

    async def kill(self, host: Host) -> None:
        """Kill a host's process."""
        if host.process is not None and host.process.returncode is None:
            host.process.send_signal(signal.SIGKILL)
            await host.process.wait()

    async def close(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            await self.kill(host)
        self._folder.cleanup()


def make_settings(name: str, store_port: int, memory_mb: int) -> str:
    """Return the settings of DEPLOY.md with loopback addresses."""
    lines = [
        f"node_name={name}",
        "role=host",
        "machine_class=front",
        "serves=front",
        f"ip={LOOPBACK}",
        f"zone={ZONE}",
        f"region={REGION}",
        f"zones.{ZONE}={REGION}",
        f"listen.front={LOOPBACK}:0",
        f"listen.ready={LOOPBACK}:0",
        "internal_ports=0,0",
        "bootstrap=true",
        f"limits.memory_mb={memory_mb}",
        "limits.max_fds=4200",
        "heartbeat_ms=1200",
        "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
        "bounds.stable_window_ms=3000",
        "bounds.drain_ms=2000",
        f"bounds.grace_s={GRACE_S}",
        "bounds.config_deadline_ms=2000",
        "bounds.retry_budget_ratio=0.2",
        "bounds.budget_window_s=10",
        "bounds.retry_budget_slack=54",
        f"platform.address={LOOPBACK}:{store_port}",
        "platform.form=log",
        "platform.parts=12",
    ]
    return "\n".join(lines) + "\n"


@dataclass
class Answer:
    """Describe what a consumer got; a status of 0 is a connection that ended."""

    status: int
    body: bytes = b""
    is_whole: bool = False
    ended_after_s: float = 0.0


class Consumer:
    """Send requests over one connection that is kept open."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.n_answered = 0  # on this connection

    async def call(
        self,
        method: str,
        path: str,
        attempt: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 15.0,
    ) -> Answer:
        """Send a request and return what came back."""
        lines = [f"{method} {path} HTTP/1.1", "Host: club.example"]
        lines += [f"Attempt-Id: {attempt}", f"Content-Length: {len(body)}"]
        lines += [f"Deadline-Ms: {int(timeout_s * 1000)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self._record.add(f"consumer sends {attempt} {method} {path}")
        answer = Answer(status=0)
        began = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                await self._call(head + body, answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.add(f"consumer {attempt}: {type(error).__name__}")
            self.close()
        answer.ended_after_s = time.monotonic() - began
        self._record.add(
            f"consumer got {attempt} status={answer.status} whole={answer.is_whole}"
        )
        self.n_answered += answer.is_whole
        return answer

    async def _call(self, data: bytes, answer: Answer) -> None:
        if self._streams is None:
            self._streams = await asyncio.open_connection(LOOPBACK, self._port)
        reader, writer = self._streams
        writer.write(data)
        await writer.drain()
        first, headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(headers["content-length"]))
        answer.is_whole = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def run_case(play: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case and exit: 1 if a rule was broken, 0 if not, 2 if it couldn't run."""
    record = Record(folder)
    # The processes are ended also if this one is.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_in_time() -> bool:
        async with asyncio.timeout(110):
            return await play(record, has_trouble)

    try:
        is_broken = asyncio.run(play_in_time())
    except Exception as error:
        record.say(f"the case couldn't run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
