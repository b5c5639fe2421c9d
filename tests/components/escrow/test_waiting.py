"""Test requests that wait for tokens while homes fail and callers leave."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import cbor2

from bench.emulator.clock import run_in_virtual_time
from tests.components.boards import make_board
from tests.components.escrow.common import WORKSPACE, EscrowCluster, make_configuration
from trefoilstage.components.escrow.client import EscrowClient, EscrowHold
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.messages import (
    HoldReply,
    HoldTokens,
    SettleHolds,
)
from trefoilstage.components.escrow.ranking import HomeRanking
from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService

HOSTS = ("lorient-1", "brest-1", "quimper-1")
DYING_HOME, NEXT_HOME = "brest-1", "quimper-1"
# Holds the reply of a home back long enough for its caller to leave meanwhile.
REPLY_S = 0.05

Call = Callable[[str, Any], Awaitable[Any]]


def make_client(call: Call) -> EscrowClient:
    """Return the client of a host that is cut from the store, over a given network."""
    board = make_board(HOSTS[0], HOSTS)
    board.configuration = make_configuration(10_000)
    board.store.last_answer, board.store.out_of_reach = 0.0, True
    membership = mock.Mock()
    membership.list_live_hosts = lambda: tuple(
        host for host in HOSTS if host == HOSTS[0] or not board.peers[host].failed
    )
    links = mock.Mock()
    links.get_link = lambda url: mock.Mock(
        call=lambda message, timeout_s: call(url, message)
    )
    ranking = HomeRanking(board=board, membership=membership)
    return EscrowClient(
        board=board,
        membership=membership,
        home=mock.Mock(),
        links=links,
        timer=TimerService(),
        grants=GrantRegistry(),
        ranking=ranking,
        generator=random.Random(1),
    )


async def hold(client: EscrowClient) -> EscrowHold | Refusal:
    """Request tokens for a caller that tolerates a long silence."""
    limits = WaitLimits.compute(now=0.0, max_silence_s=6.4, deadline=10.12)
    return await client.hold(WORKSPACE, "r-1", 1_000, limits)


class WaitingTest(unittest.TestCase):
    """Let requests wait in an outage that has just begun."""

    def test_next_home_serves_when_the_home_dies(self) -> None:
        """Guard against requests that wait for a home that died meanwhile."""

        async def call(home: str, message: HoldTokens) -> HoldReply:
            now = asyncio.get_running_loop().time()
            if home == DYING_HOME and now >= 1.0:
                raise PeerUnavailableError("no answer")
            is_open = home == NEXT_HOME and now >= 2.0
            refused = None if is_open else Reason.BUDGET_UNCONFIRMED
            return HoldReply(incarnation=home, refused=refused)

        answer = run_in_virtual_time(hold(make_client(call)))
        assert isinstance(answer, EscrowHold)
        self.assertEqual(answer.home, NEXT_HOME)

    def test_caller_that_leaves_holds_nothing(self) -> None:
        """Guard against tokens held for a caller that left as its home granted them."""
        self.assertEqual(run_in_virtual_time(self._leave_while_waiting()), 0)

    async def _leave_while_waiting(self) -> int:
        cluster = EscrowCluster(prepaid=10_000, home=NEXT_HOME)
        for host in (HOSTS[0], NEXT_HOME):
            cluster.start(host)
        home = cluster.homes[NEXT_HOME]
        granted = asyncio.Event()

        async def call(url: str, message: HoldTokens | SettleHolds) -> Any:
            if url != NEXT_HOME:
                raise PeerUnavailableError("no answer")
            if isinstance(message, SettleHolds):
                home.settle(message.holds)
                return None
            if asyncio.get_running_loop().time() < 1.0:
                return HoldReply(incarnation=url, refused=Reason.BUDGET_UNCONFIRMED)
            requester = cluster.boards[HOSTS[0]].incarnation
            refused = await home.hold(WORKSPACE, message.request, 1_000, requester)
            self.assertIsNone(refused)
            granted.set()
            await asyncio.sleep(REPLY_S)
            return HoldReply(incarnation=url)

        client = make_client(call)
        request = asyncio.create_task(hold(client))
        await asyncio.sleep(0.1)
        self.assertEqual(client.n_waiting, 1)
        await granted.wait()
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)
        sending: list[Any] = []
        client.add_future = sending.append  # type: ignore[method-assign,assignment]
        await client.flush()
        await asyncio.gather(*sending)
        self.assertEqual(client.n_waiting, 0)
        return home.list_accounts()[0].held

    def test_time_to_retry_follows_what_running_requests_hold(self) -> None:
        """Guard against 2 s by a reply of an earlier build, which lacks `held`."""
        for held, min_s, max_s in ((1_000, 2.0, 10.12 / 3), (999, 30.0, 30.0)):
            self.assertTrue(min_s <= self._refuse({"held": held}) <= max_s, held)
        self.assertEqual(self._refuse({}), 30.0)

    def _refuse(self, fields: dict[str, int]) -> float:
        reply = {
            "kind": "hold_reply",
            "incarnation": NEXT_HOME,
            "refused": "budget_drawn",
            "lock_wait_s": 0.0,
            "from_a_later_build": 1,
        }

        async def call(url: str, message: HoldTokens) -> Any:
            frame = {"number": 0, "reply": True, "body": reply | fields}
            return FLEET_CODEC.decode(cbor2.dumps(frame)).body

        refusal = run_in_virtual_time(hold(make_client(call)))
        assert isinstance(refusal, Refusal) and refusal.retry_after_s is not None
        return refusal.retry_after_s


if __name__ == "__main__":
    unittest.main()
