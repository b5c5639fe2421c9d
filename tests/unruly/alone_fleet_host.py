"""Test clients that don't behave on the ports of a forwarding host."""

import unittest

import psutil

from standins.platform import LOOPBACK
from tests.promises.fleet import HostProcess, PlatformFleet
from tests.unruly.crowd import CLIENT, KIB, MIB, Behaviour, Crowd, watch_crowd

MEMORY_MB = 120
MAX_DESCRIPTORS = 400
N_IDLE = 450
LOOK = "/look/x"
STREAM = "/stream/x"
EVENT_BYTES = 16 * KIB
N_EVENTS = 4_000
LONG_ANSWER_BYTES = 1_000_000
LONG_BODY_BYTES = 4_000_000


def make_head(path: str = LOOK, *more: str, method: str = "POST") -> bytes:
    """Return the head of a request that a host may accept."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: club.example",
        "Key: key",
        f"Attempt-Id: {CLIENT.decode()}",
        "Token-Count: 100,10" if path == STREAM else "Token-Count: 0,0",
        "Deadline-Ms: 60000",
        *more,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def make_request(path: str, n_bytes: int) -> bytes:
    """Return a whole request with a body of a given length."""
    return make_head(path, f"Content-Length: {n_bytes}") + b"." * n_bytes


CHUNKED = make_head(LOOK, "Transfer-Encoding: chunked")
MANY_HEADERS = make_head("/none/x", *["a:"] * 120, "Content-Length: 0")
AHEAD = Behaviour(n_clients=40, repeated=make_request(LOOK, 60_000))
REFUSED_AHEAD = Behaviour(n_clients=40, repeated=make_request("/none/x", 60_000))
SMALL_AHEAD = Behaviour(n_clients=40, repeated=MANY_HEADERS)
LONG_BODIES = Behaviour(n_clients=40, first=make_request("/book/x", LONG_BODY_BYTES))
LONG_ANSWERS = Behaviour(n_clients=100, first=make_request(LOOK, 0))
UNREAD_STREAMS = Behaviour(n_clients=120, first=make_request(STREAM, 0))
UNFINISHED_BODIES = Behaviour(
    n_clients=100, first=make_request(LOOK, LONG_BODY_BYTES)[:-1]
)
ENDLESS_LINE = Behaviour(n_clients=8, first=b"GET /", repeated=b"x" * KIB)
ENDLESS_NAME = Behaviour(n_clients=8, first=make_head()[:-2], repeated=b"x" * KIB)
ENDLESS_HEADERS = Behaviour(
    n_clients=8, first=make_head()[:-2], repeated=b"x: y\r\n" * KIB
)
BLANK_LINES = Behaviour(n_clients=8, repeated=b"\r\n" * KIB)
AFTER_UPGRADE = Behaviour(
    n_clients=8,
    first=make_head(LOOK, "Connection: Upgrade", "Upgrade: websocket", method="GET"),
    repeated=b"x" * KIB,
)
ENDLESS_CHUNKS = Behaviour(
    n_clients=40, first=CHUNKED, repeated=b"400\r\n" + b"x" * KIB + b"\r\n"
)
ENDLESS_EXTENSION = Behaviour(n_clients=8, first=CHUNKED + b"4;", repeated=b"x" * KIB)
ENDLESS_TRAILERS = Behaviour(
    n_clients=8, first=CHUNKED + b"0\r\n", repeated=b"x: y\r\n" * KIB
)
IDLE = Behaviour(n_clients=N_IDLE)


class HostCase(unittest.IsolatedAsyncioTestCase):
    """Check one host within limits that its settings name."""

    port_name = "caller_port"

    async def check(
        self,
        behaviour: Behaviour,
        *,
        reads_bodies: bool = True,
        answer_bytes: int = 0,
        n_events: int = 0,
    ) -> None:
        """Play a crowd: the host lives within its limits and serves another caller."""
        settings = {"limits.memory_mb": MEMORY_MB, "limits.max_fds": MAX_DESCRIPTORS}
        async with PlatformFleet(host_settings=settings) as fleet:
            host = fleet.hosts["host-0"]
            for target in fleet.targets:
                target.reads_bodies = reads_bodies
                target.answer = b"." * answer_bytes or target.answer
                if n_events:
                    target.n_events, target.padding_bytes = n_events, EVENT_BYTES

            async def call() -> int:
                return (await fleet.call(LOOK, method="GET")).status

            pid = host.process.pid
            port = host.find_port(self.port_name) or find_peer_port(host)
            async with Crowd(address=LOOPBACK, port=port) as crowd:
                peak, status = await watch_crowd(pid, crowd, behaviour, call)
                self.assertIsNone(host.process.returncode)
                self.assertLessEqual(peak.read_memory_bytes(), MEMORY_MB * MIB)
                self.assertLessEqual(peak.n_descriptors, MAX_DESCRIPTORS)
                self.assertEqual(status, 200)


def find_peer_port(host: HostProcess) -> int:
    """Return the port that a host listens on for its peers."""
    others = {
        host.find_port(name) for name in ("caller_port", "ready_port", "metrics_port")
    }
    connections = psutil.Process(host.process.pid).net_connections("tcp")
    ports = {item.laddr.port for item in connections if item.status == "LISTEN"}
    (port,) = ports - others
    return int(port)


class PeerPortTest(HostCase):
    """Let crowds connect to the port for other hosts."""

    port_name = "peer_port"

    async def test_request_line_without_end(self) -> None:
        """Guard against a request line that is kept as long as it grows."""
        await self.check(ENDLESS_LINE)

    async def test_headers_without_end(self) -> None:
        """Guard against a head that is kept as long as it grows."""
        await self.check(ENDLESS_HEADERS)

    async def test_idle_connections(self) -> None:
        """Guard against more connections than the host has descriptors."""
        await self.check(IDLE)


class ReadyPortTest(PeerPortTest):
    """Let crowds connect to the port for readiness checks."""

    port_name = "ready_port"

    async def test_requests_sent_ahead(self) -> None:
        """Guard against requests that are read while earlier answers are unread."""
        await self.check(AHEAD)

    async def test_many_headers_sent_ahead(self) -> None:
        """Guard against heads that take many times their bytes once parsed."""
        await self.check(SMALL_AHEAD)

    async def test_bytes_after_upgrade(self) -> None:
        """Guard against bytes behind a request for another protocol that are kept."""
        await self.check(AFTER_UPGRADE)


class MetricsPortTest(ReadyPortTest):
    """Let crowds connect to the port for metrics."""

    port_name = "metrics_port"


class CallerPortTest(ReadyPortTest):
    """Let crowds connect to the port for callers."""

    port_name = "caller_port"

    async def test_header_without_end(self) -> None:
        """Guard against a header that is kept as long as it grows."""
        await self.check(ENDLESS_NAME)

    async def test_blank_lines_without_end(self) -> None:
        """Guard against bytes before a request that are kept."""
        await self.check(BLANK_LINES)

    async def test_refused_requests_sent_ahead(self) -> None:
        """Guard against refused requests that are read while refusals are unread."""
        await self.check(REFUSED_AHEAD)

    async def test_chunks_without_end(self) -> None:
        """Guard against a body that is kept as long as it grows."""
        await self.check(ENDLESS_CHUNKS)

    async def test_extension_of_a_chunk_without_end(self) -> None:
        """Guard against a line of a chunk that is kept as long as it grows."""
        await self.check(ENDLESS_EXTENSION)

    async def test_trailers_without_end(self) -> None:
        """Guard against trailers that are kept as long as they grow."""
        await self.check(ENDLESS_TRAILERS)

    async def test_long_bodies_before_targets_that_do_not_read(self) -> None:
        """Guard against bodies that wait for targets, each inside the limits."""
        await self.check(LONG_BODIES, reads_bodies=False)

    async def test_unfinished_bodies(self) -> None:
        """Guard against bodies that lack their last byte."""
        await self.check(UNFINISHED_BODIES)

    async def test_long_answers_unread(self) -> None:
        """Guard against whole answers that wait for callers that don't read."""
        await self.check(LONG_ANSWERS, answer_bytes=LONG_ANSWER_BYTES)

    async def test_streams_unread(self) -> None:
        """Guard against parts of streams that wait for callers that don't read."""
        await self.check(UNREAD_STREAMS, n_events=N_EVENTS)
