"""Test until when a host that ends may wait."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.fleet_host import FleetHost, make_board
from trefoilstage.platform.process import stop_host

GRACE_S = 0.6
LATE_S = 0.1
OTHERS = ("store", "translator", "board_updater", "process_start", "line_writer")


class EndTest(unittest.IsolatedAsyncioTestCase):
    """End a host whose requests do not end by themselves."""

    async def test_last_waits_end_before_the_kill(self) -> None:
        """Guard against SIGKILL amid unread answers, after a signal handled late."""
        loop, ends = asyncio.get_running_loop(), list[float]()
        settings, others = mock.Mock(shutdown_grace_s=GRACE_S), mock.MagicMock()
        host: Any = FleetHost(
            settings=settings,
            board=make_board(settings),
            **dict.fromkeys(OTHERS, others),
        )
        for name in ("_server", "_home", "_escrow", "_peer_sends", "_membership"):
            setattr(host, name, mock.AsyncMock(n_active=1, n_streams=1))
        host._membership.send_heartbeats_now = host._server.refuse_all_requests = others
        host._server.read_ahead = read_ahead = mock.Mock()
        host._server.drain.side_effect = lambda s: ends.append(loop.time() + s)
        signal_after = loop.time() - LATE_S
        host._turns.record(signal_after)
        host.request_drain()
        schedule = host._board.shutdown
        self.assertEqual(schedule.signal_after, signal_after)
        await host._drain(schedule)
        read_ahead.assert_called_once_with()
        host._server.end_requests.assert_awaited_once_with()
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
