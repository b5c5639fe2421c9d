"""Test when a host announces itself."""

import unittest
from unittest import mock

from standins.launcher import poll_until
from trefoilstage.blackboard import Blackboard
from trefoilstage.components.membership.controller import (
    ANNOUNCE_CHECK_S,
    MembershipController,
)
from trefoilstage.configuration.records import HostUp
from trefoilstage.timer import TimerService

ANNOUNCEMENT = HostUp(
    host="h", data_center="brest", caller_url="", operator_url="", peer_url=""
)


class AnnouncementTest(unittest.IsolatedAsyncioTestCase):
    """Start a host on a log that keeps one record."""

    async def test_host_without_a_state_appends_nothing(self) -> None:
        """Guard against an announcement that expires the checkpoint its host needs."""
        streams = mock.Mock()
        streams.config.status.caught_up = False
        timer = TimerService()
        controller = MembershipController(
            blackboard=Blackboard(host="h", incarnation="h-1", data_center="brest"),
            links=mock.Mock(),
            server=mock.Mock(),
            timer=timer,
            heartbeat_s=1.0,
            suspect_after_s=1.0,
            forget_after_s=1.0,
            streams=streams,
        )
        controller.set_announcement(ANNOUNCEMENT)
        checked = mock.AsyncMock()
        timer.subscribe(name="t", interval_s=3 * ANNOUNCE_CHECK_S, callback=checked)
        await poll_until(lambda: checked.called, "a few checks")
        streams.submit_config.assert_not_called()
        streams.config.status.caught_up = True
        await poll_until(lambda: streams.submit_config.called, "the announcement")
        streams.submit_config.assert_called_once_with(ANNOUNCEMENT)
        await timer.on_stop()


if __name__ == "__main__":
    unittest.main()
