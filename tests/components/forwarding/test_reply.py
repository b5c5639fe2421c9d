"""Test how answers to callers are broken off."""

import asyncio
import unittest
from unittest import mock

from trefoilstage.components.forwarding.reply import WebReply

DISCARD_AFTER_S = 0.02


class AbortTest(unittest.IsolatedAsyncioTestCase):
    """Break off an answer."""

    async def abort(self, n_unsent: int) -> mock.Mock:
        """Abort with unsent bytes; return the connection's transport after a while."""
        transport = mock.Mock()
        transport.get_write_buffer_size.return_value = n_unsent
        reply = WebReply(web_request=mock.Mock(transport=transport))
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


if __name__ == "__main__":
    unittest.main()
