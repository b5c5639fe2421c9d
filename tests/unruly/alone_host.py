"""Test clients that don't behave on the ports of the product's own daemon."""

import unittest

from tests.common import SECRET, Fleet
from tests.unruly.crowd import KIB, MIB, Behaviour, Crowd, Peak, watch_crowd

# Without a setting, a host may hold 32 MiB for its clients; the rest is for what the
# allocator keeps.
MAX_GROWTH_BYTES = 64 * MIB
# Without a setting, a host accepts 1,000 connections of clients.
MAX_DESCRIPTORS = 1_200
N_IDLE = 1_300
CHAT = "/v1/chat/completions"
BODY_BYTES = 900_000  # below the limit of 1 MB


def make_request(path: str, n_bytes: int) -> bytes:
    """Return a whole request with a body of a given length that is not valid."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: club.example\r\n"
        f"Authorization: Bearer {SECRET}\r\nContent-Length: {n_bytes}\r\n\r\n"
    )
    return head.encode() + b"." * n_bytes


HEAD = b"GET /none HTTP/1.1\r\nHost: club.example\r\n"
AHEAD = Behaviour(n_clients=40, repeated=make_request(CHAT, 60_000))
UNFINISHED_BODIES = Behaviour(n_clients=200, first=make_request(CHAT, BODY_BYTES)[:-1])
ENDLESS_LINE = Behaviour(n_clients=8, first=b"GET /", repeated=b"x" * KIB)
ENDLESS_HEADERS = Behaviour(n_clients=8, first=HEAD, repeated=b"x: y\r\n" * KIB)
AFTER_UPGRADE = Behaviour(
    n_clients=8,
    first=HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    repeated=b"x" * KIB,
)
IDLE = Behaviour(n_clients=N_IDLE)


class PeerPortTest(unittest.IsolatedAsyncioTestCase):
    """Let crowds connect to the port for other hosts."""

    port_name = "peer_port"

    async def check(self, behaviour: Behaviour) -> None:
        """Play a crowd: the host lives within its limits and serves another caller."""
        async with Fleet(n_hosts=1) as fleet:
            host = fleet.hosts[0]

            async def call() -> int:
                return (await fleet.chat(host)).status

            pid, port = host.process.pid, host.ports[self.port_name]
            self.assertEqual(await call(), 200)
            before = Peak(pid=pid).read_memory_bytes()
            async with Crowd(address=host.address, port=port) as crowd:
                peak, status = await watch_crowd(pid, crowd, behaviour, call)
                self.assertIsNone(host.process.returncode)
                growth = peak.read_memory_bytes() - before
                self.assertLessEqual(growth, MAX_GROWTH_BYTES)
                self.assertLessEqual(peak.n_descriptors, MAX_DESCRIPTORS)
                self.assertEqual(status, 200)

    async def test_request_line_without_end(self) -> None:
        """Guard against a request line that is kept as long as it grows."""
        await self.check(ENDLESS_LINE)

    async def test_headers_without_end(self) -> None:
        """Guard against a head that is kept as long as it grows."""
        await self.check(ENDLESS_HEADERS)

    async def test_idle_connections(self) -> None:
        """Guard against connections without a bound."""
        await self.check(IDLE)


class OperatorPortTest(PeerPortTest):
    """Let crowds connect to the port for operators."""

    port_name = "operator_port"

    async def test_bytes_after_upgrade(self) -> None:
        """Guard against bytes behind a request for another protocol that are kept."""
        await self.check(AFTER_UPGRADE)

    async def test_requests_sent_ahead(self) -> None:
        """Guard against requests that are read while earlier answers are unread."""
        await self.check(AHEAD)


class CallerPortTest(OperatorPortTest):
    """Let crowds connect to the port for callers."""

    port_name = "caller_port"

    async def test_unfinished_bodies(self) -> None:
        """Guard against bodies that lack their last byte."""
        await self.check(UNFINISHED_BODIES)
