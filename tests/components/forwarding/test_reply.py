"""Test how answers to callers are broken off."""

import asyncio
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from trefoilstage.components.forwarding.reply import WebReply, send_response

DISCARD_AFTER_S = 0.02


class AbortTest(unittest.IsolatedAsyncioTestCase):
    """Break off an answer."""

    async def abort(self, n_unsent: int) -> mock.Mock:
        """Abort with unsent bytes; return the connection's transport after a while."""
        transport = mock.Mock()
        transport.get_write_buffer_size.return_value = n_unsent
        reply = WebReply(
            web_request=mock.Mock(transport=transport), account=mock.Mock()
        )
        reply.abort(asyncio.get_running_loop().time() + DISCARD_AFTER_S)
        transport.close.assert_called_once_with()
        transport.abort.assert_not_called()
        await asyncio.sleep(2 * DISCARD_AFTER_S)
        return transport

    async def test_unread_data_is_discarded(self) -> None:
        """Abort while data is unsent, which would otherwise remain in memory."""
        transport = await self.abort(n_unsent=1)
        transport.abort.assert_called_once_with()

    async def test_no_timer_remains_without_unsent_data(self) -> None:
        """Abort without unsent data: a timer would keep the closed transport."""
        transport = await self.abort(n_unsent=0)
        transport.abort.assert_not_called()


class SendTest(unittest.IsolatedAsyncioTestCase):
    """Send a whole answer."""

    async def handle(self, web_request: web.BaseRequest) -> web.StreamResponse:
        """Send an answer on a connection that is being closed."""
        assert web_request.transport is not None
        web_request.transport.close()
        response = web.Response(body=b"answer")
        discard_at = asyncio.get_running_loop().time() + 1.0
        await send_response(web_request, response, discard_at)
        return response

    async def test_caller_that_left_is_no_error(self) -> None:
        """Send to a caller that just left: no error of the server may be logged."""
        server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as session:
            with (
                self.assertNoLogs("aiohttp.server", "ERROR"),
                self.assertRaises(aiohttp.ServerDisconnectedError),
            ):
                await session.get(f"http://127.0.0.1:{port}/")


if __name__ == "__main__":
    unittest.main()
