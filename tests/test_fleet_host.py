"""Test how a host ends: in which order, and by when."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.fleet_host import FleetHost, make_board
from trefoilstage.platform.process import stop_host

GRACE_S = 0.6
LATE_S = 0.1


class EndTest(unittest.IsolatedAsyncioTestCase):
    """End a host whose requests do not end by themselves."""

    def setUp(self) -> None:
        """Create a host whose parts are mocks."""
        settings = mock.Mock(shutdown_grace_s=GRACE_S, host="host-0")
        board = make_board(settings)
        self.host: Any = FleetHost(
            settings=settings,
            store=mock.Mock(),
            translator=mock.Mock(),
            board_updater=mock.Mock(),
            board=board,
            process_start=mock.Mock(),
            line_writer=mock.Mock(),
        )
        self.host._server = mock.AsyncMock(n_active=1, n_streams=1)
        self.host._server.drain.return_value = False
        for name in ("refuse_all_requests", "read_ahead"):
            setattr(self.host._server, name, mock.Mock())
        for name in ("_home", "_escrow", "_peer_sends"):
            setattr(self.host, name, mock.AsyncMock())
        self.host._membership = mock.Mock(withdraw=mock.AsyncMock())

    async def test_last_waits_end_before_the_kill(self) -> None:
        """Guard against SIGKILL amid unread answers, after a signal handled late."""
        loop = asyncio.get_running_loop()
        ends: list[float] = []
        self.host._server.drain.side_effect = lambda s: ends.append(loop.time() + s)
        signal_after = loop.time() - LATE_S
        self.host._turns.record(signal_after)
        self.host.request_drain()
        schedule = self.host._board.shutdown
        self.assertEqual(schedule.signal_after, signal_after)
        await self.host._drain(schedule)
        self.host._server.read_ahead.assert_called_once_with()
        self.host._server.end_requests.assert_awaited_once_with()
        # Callers may read their answers while the host leaves.
        self.assertAlmostEqual(ends[-1], schedule.leave_until, places=2)

    async def test_stop_ends_before_the_kill(self) -> None:
        """Guard against SIGKILL amid a stop that began late."""
        now = asyncio.get_running_loop().time()
        schedule = ShutdownSchedule(started_at=now, grace_s=GRACE_S)
        stuck: Any = mock.Mock(stop=asyncio.Event().wait)
        with mock.patch("trefoilstage.platform.process.STOP_TIMEOUT_S", 60.0):
            async with asyncio.timeout(10.0):
                await stop_host(stuck, schedule)


if __name__ == "__main__":
    unittest.main()
