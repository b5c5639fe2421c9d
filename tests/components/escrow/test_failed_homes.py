"""Test when a host marks a home as failed after a hold without a reply."""

import random
import unittest
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from tests.components.boards import make_board
from tests.components.escrow.common import WORKSPACE, ManualTimer, make_configuration
from trefoilstage.components.escrow.client import (
    MAX_KEPT_SETTLEMENTS,
    EscrowClient,
    EscrowHold,
)
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.components.peers.round_trips import N_CALLS
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard


class FailedHomeTest(unittest.IsolatedAsyncioTestCase):
    """Test a host whose request for a hold gets no reply from the home."""

    async def request_hold(self, round_trip_s: float) -> FleetBoard:
        """Return the board after one request, over a link of a given round trip."""
        board = make_board("host-0", [f"host-{number}" for number in range(5)])
        board.configuration = make_configuration(1_000)
        for _ in range(N_CALLS):
            board.round_trips.record_reply(round_trip_s, 0.0)
        links = mock.Mock()
        links.get_link.return_value.call = mock.AsyncMock(
            side_effect=PeerUnavailableError("no answer")
        )
        ranking = mock.Mock()
        ranking.list_homes_to_ask.return_value = ["host-1"]
        client = EscrowClient(
            board=board,
            membership=mock.Mock(),
            home=mock.Mock(),
            links=links,
            timer=ManualTimer(),
            grants=GrantRegistry(),
            ranking=ranking,
            generator=random.Random(1),
        )
        wait_limits = WaitLimits.compute(now=0.0, max_silence_s=0.0, deadline=0.0)
        await client.hold(WORKSPACE, "r-1", 10, wait_limits)
        return board

    async def test_home_that_does_not_reply_is_marked_failed(self) -> None:
        board = await self.request_hold(0.002)
        self.assertTrue(board.peers["host-1"].failed)

    async def test_home_is_not_marked_failed_when_the_own_link_is_full(self) -> None:
        """Request a hold over a link on which each call takes 0.7 s.

        Two hosts of 90 marked one home after the other as failed, 2,600 times in 12 s,
        and refused their callers although the homes had tokens ready.
        """
        board = await self.request_hold(0.7)
        self.assertFalse(board.peers["host-1"].failed)


class UnsentSettlementsTest(unittest.IsolatedAsyncioTestCase):
    """Test the settlements kept for a home that confirms none."""

    async def test_oldest_settlements_are_dropped(self) -> None:
        """Guard against new settlements dropped, as older ones are sent again."""
        board = make_board("host-0", ["host-0", "host-1"])
        links = mock.Mock()
        links.get_link.return_value.call = mock.AsyncMock(
            side_effect=PeerUnavailableError("no answer")
        )
        client = EscrowClient(
            board=board,
            membership=mock.Mock(),
            home=mock.Mock(),
            links=links,
            timer=ManualTimer(),
            grants=GrantRegistry(),
            ranking=mock.Mock(),
            generator=random.Random(1),
        )
        sending: list[Coroutine[Any, Any, None]] = []
        client.add_future = sending.append  # type: ignore[method-assign,assignment]

        def settle(number: int) -> None:
            hold = EscrowHold(
                workspace=WORKSPACE,
                request=str(number),
                tokens=1,
                home="host-1",
                incarnation="host-1",
            )
            client.settle(hold, 1)

        for number in range(MAX_KEPT_SETTLEMENTS):
            settle(number)
        await client.flush()
        settle(MAX_KEPT_SETTLEMENTS)
        await sending.pop()
        await client.flush()
        await sending.pop()
        kept = [int(item.request) for item in client._unsettled["host-1", "host-1"]]
        self.assertEqual(kept, list(range(1, MAX_KEPT_SETTLEMENTS + 1)))


if __name__ == "__main__":
    unittest.main()
