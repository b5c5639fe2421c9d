"""Test the end of the callers' server."""

import asyncio
import unittest
from unittest import mock

from trefoilstage.components.callers.server import CallerServer
from trefoilstage.components.connections.limits import ClientLimits
from trefoilstage.components.connections.site import ClientConnections
from trefoilstage.helpers import port_close
from trefoilstage.phase import Phase

ADDRESS = "127.0.0.1"
LIMITS = ClientLimits(max_bytes=16 * 1024 * 1024, max_connections=10)


class PortCloseTest(unittest.IsolatedAsyncioTestCase):
    """Send a request on an open connection as the port closes."""

    async def test_request_in_flight_is_refused(self) -> None:
        """Guard against a new connection that is closed before its request is read."""
        server = CallerServer(
            blackboard=mock.Mock(phase=Phase.DRAINING, closing=set()),
            keys=mock.AsyncMock(),
            bookings=mock.AsyncMock(),
            address=ADDRESS,
            port=0,
            connections=ClientConnections(limits=LIMITS),
        )
        await server.start()
        reader, writer = await asyncio.open_connection(ADDRESS, server.port)
        with mock.patch.object(port_close, "IN_FLIGHT_GRACE_S", 0.5):
            stop = asyncio.create_task(server.stop())
            with self.assertRaises(OSError):
                while True:
                    (await asyncio.open_connection(ADDRESS, server.port))[1].close()
            writer.write(b"GET /v1/models HTTP/1.1\r\nHost: brest\r\n\r\n")
            self.assertIn(b" 503 ", await reader.readline())
            writer.close()
            await stop
