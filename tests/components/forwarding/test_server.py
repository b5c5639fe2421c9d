"""Test whom a host with a full link takes and whom it sends on."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from tests.components.boards import make_board
from trefoilstage.components.forwarding.server import ForwardingServer
from trefoilstage.components.peers.round_trips import N_CALLS


class FullLinkTest(unittest.IsolatedAsyncioTestCase):
    """Test a host whose calls to peers all take 0.5 s."""

    def setUp(self) -> None:
        """Make a server of a host with four peers."""
        self.board = make_board("host-0", [f"host-{number}" for number in range(5)])
        self.server = ForwardingServer(
            board=self.board,
            settings=mock.Mock(),
            border=mock.Mock(),
            pipeline=mock.Mock(),
        )

    def fill(self, seconds: float) -> float:
        """Let calls take a time; return the time of day."""
        now = asyncio.get_running_loop().time()
        for peer in self.board.peers.values():
            peer.last_heard = now
        for _ in range(N_CALLS):
            self.board.round_trips.note_answer(seconds, now)
        return now

    async def ask_ready(self) -> int:
        """Return the status of the balancer's question."""
        request: Any = mock.Mock()
        return (await self.server._handle_ready(request)).status

    async def test_callers_are_sent_on_once_the_balancer_has_left(self) -> None:
        """Fill the link and let the balancer ask twice.

        Refused before that, a caller would be sent to this host again, and after one
        more refusal it would have nothing.
        """
        now = self.fill(0.5)
        self.assertFalse(self.server._should_send_elsewhere(0.6, now))
        self.assertEqual(await self.ask_ready(), 503)
        self.assertFalse(self.server._should_send_elsewhere(0.6, now))
        self.assertEqual(await self.ask_ready(), 503)
        self.assertTrue(self.server._should_send_elsewhere(0.6, now))

    async def test_callers_with_time_are_taken(self) -> None:
        now = self.fill(0.5)
        for _ in range(2):
            await self.ask_ready()
        self.assertFalse(self.server._should_send_elsewhere(10.0, now))

    async def test_host_comes_back_when_its_link_has_room(self) -> None:
        self.fill(0.5)
        for _ in range(2):
            await self.ask_ready()
        now = self.fill(0.002)
        self.assertEqual(await self.ask_ready(), 200)
        self.assertFalse(self.server._should_send_elsewhere(0.6, now))

    async def test_callers_are_taken_where_others_stand_no_better(self) -> None:
        now = self.fill(0.5)
        for peer in self.board.peers.values():
            peer.link_full = True
        self.assertEqual(await self.ask_ready(), 200)
        self.assertFalse(self.server._should_send_elsewhere(0.6, now))


if __name__ == "__main__":
    unittest.main()
