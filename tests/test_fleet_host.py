"""Test until when a host that ends may wait."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.fleet_host import LEAVE_SHARE, FleetHost, make_board
from trefoilstage.platform.process import stop_host

GRACE_S = 0.6
LATE_S = 0.1
OTHERS = ("store", "translator", "board_updater", "process_start", "line_writer")


class EndTest(unittest.IsolatedAsyncioTestCase):
    """End a host whose requests do not end by themselves."""

    def make_host(self, n_streams: int) -> Any:
        """Return a host whose parts are mocks."""
        settings, others = mock.Mock(shutdown_grace_s=GRACE_S), mock.MagicMock()
        host: Any = FleetHost(
            settings=settings,
            board=make_board(settings),
            **dict.fromkeys(OTHERS, others),
        )
        for name in ("_server", "_home", "_escrow", "_peer_sends", "_membership"):
            setattr(host, name, mock.AsyncMock(n_active=1, n_streams=n_streams))
        host._membership.send_heartbeats_now = host._server.refuse_all_requests = others
        host._server.read_ahead = mock.Mock()
        return host

    async def test_early_leave_does_not_wait_for_a_store_that_is_down(self) -> None:
        """Guard against hosts that are replaced late in a roll during an outage."""
        host = self.make_host(n_streams=0)
        host._leave = mock.AsyncMock()
        host.request_drain()
        schedule = host._board.shutdown
        with mock.patch("trefoilstage.fleet_host.ACCEPT_AFTER_LAST_STREAM_S", 0.0):
            await host._drain(schedule)
        host._leave.assert_awaited_once_with(LEAVE_SHARE * schedule.reserve_s)

    async def test_last_waits_end_before_the_kill(self) -> None:
        """Guard against SIGKILL amid unread answers, after a signal handled late."""
        loop, ends = asyncio.get_running_loop(), list[float]()
        host = self.make_host(n_streams=1)
        host._server.drain.side_effect = lambda s: ends.append(loop.time() + s)
        signal_after = loop.time() - LATE_S
        host._turns.record(signal_after)
        host.request_drain()
        schedule = host._board.shutdown
        self.assertEqual(schedule.signal_after, signal_after)
        await host._drain(schedule)
        host._server.read_ahead.assert_called_once_with()
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
