"""Test what a server's protocol is given of a connection."""

import asyncio
import unittest
from typing import cast
from unittest import mock

from trefoilstage.components.connections.http_connection import HttpConnection
from trefoilstage.components.connections.limits import ClientLimits
from trefoilstage.components.connections.memory import MemoryLimitError
from trefoilstage.components.connections.metered import READ_BYTES
from trefoilstage.components.connections.site import ClientConnections

LIMITS = ClientLimits(max_bytes=1_000_000, max_connections=10)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Server(asyncio.Protocol):
    """Record what arrives; a part of a body is more than can be handled at once."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.transport = asyncio.Transport()
        self.is_parsing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Stop and continue reading within the parser, as the HTTP library does."""
        assert not self.is_parsing
        self.is_parsing = True
        self.received.append(data)
        self.transport.pause_reading()
        self.transport.resume_reading()
        self.is_parsing = False


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Let a client send more than one request."""

    def setUp(self) -> None:
        """Open a connection."""
        self.server = Server()
        connections = ClientConnections(limits=LIMITS)
        self.connection: HttpConnection = connections.meter_http(self.server)
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        self.connection.connection_made(self.transport)

    def receive(self, data: bytes) -> None:
        """Receive data, as much at a time as the connection takes."""
        for start in range(0, max(1, len(data)), READ_BYTES):
            part = data[start : start + READ_BYTES]
            self.connection.get_buffer(-1)[: len(part)] = part
            self.connection.buffer_updated(len(part))

    async def run_turns(self) -> None:
        """Let all scheduled turns be taken."""
        for _ in range(100):
            await asyncio.sleep(0)

    async def test_server_is_never_called_from_within_its_parser(self) -> None:
        """Guard against a parser that is entered twice and ends the process."""
        self.receive(HEAD % 2)
        self.server.transport.pause_reading()
        self.receive(b"ab")
        self.server.is_parsing = True
        self.server.transport.resume_reading()
        self.server.is_parsing = False
        await self.run_turns()
        self.assertEqual(self.server.received, [HEAD % 2, b"ab"])

    async def test_next_request_follows_the_answer(self) -> None:
        """Guard against requests that pile up in the HTTP library."""
        requests = [HEAD % 1 + b"a", HEAD % 1 + b"b"]
        self.receive(b"".join(requests))
        await self.run_turns()
        self.assertEqual(b"".join(self.server.received), requests[0])
        self.connection.end_request()
        await self.run_turns()
        self.assertEqual(b"".join(self.server.received), b"".join(requests))

    async def test_reading_stops_behind_a_request_in_progress(self) -> None:
        """Guard against requests that are read while earlier answers are unread."""
        self.receive(HEAD % 0)
        self.receive(b"G" * 8_000)
        self.transport.pause_reading.assert_not_called()
        self.receive(b"G" * 16_000)
        await self.run_turns()
        self.transport.pause_reading.assert_called_once_with()

    async def test_what_has_begun_does_not_fail_beside_a_long_body(self) -> None:
        """Guard against an answer, or a body's next bytes, that don't fit beside it."""
        self.receive(HEAD % 400_000)
        for _ in range(2):
            self.connection.open_account().grow(300_000)
        with self.assertRaises(MemoryLimitError):
            self.connection.open_account().grow(300_000)
        self.receive(b"." * 60_000)
        self.connection.open_account().grow(1_000)
        self.transport.abort.assert_not_called()


if __name__ == "__main__":
    unittest.main()
