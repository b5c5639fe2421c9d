"""Test how the slots of brittle targets are shared in a large fleet."""

import asyncio
import unittest
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from bench.emulator.network import EmulatedLinks, Network
from tests.components.boards import make_board
from tests.components.forwarding.common import make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.work import Work
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.slots import PENDING_S, SETTLE_S, SlotPool
from trefoilstage.timer import TimerService

N_HOSTS = 40
N_SLOTS = 64
# All of three by each host: it has one or two slots, and has sent no request yet.
N_SHARES = 120
TARGET = make_target("i-1")


class SlotPoolTest(unittest.TestCase):
    """Let many hosts ask the home of a target for its slots."""

    def setUp(self) -> None:
        """Create the pools of all hosts."""
        self.network = Network()
        names = [f"host-{number}" for number in range(N_HOSTS)]
        self.boards = {name: make_board(name, names) for name in names}
        self.n_reported = 0
        workload = mock.Mock(
            get_work=lambda _: Work(n_requests=self.n_reported),
            count_own_requests=mock.Mock(return_value=0),
        )
        self.pools = {}
        for name, board in self.boards.items():
            board.targets.apply_entry(TARGET)
            server = PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC)
            self.network.servers[name] = server
            self.pools[name] = SlotPool(
                board=board,
                membership=mock.Mock(list_live_hosts=lambda: tuple(names)),
                workload=workload,
                links=EmulatedLinks(network=self.network),
                server=server,
                timer=TimerService(),
            )

    async def settle(self) -> None:
        """Wait until the homes know all work, with all hosts live."""
        for board in self.boards.values():
            for peer in board.peers.values():
                peer.last_heard = 100.0
            board.list_live_hosts(0.0, 3.0)
        await asyncio.sleep(SETTLE_S)

    async def take_all(self) -> list[bool]:
        """Let each host ask for three slots at once."""
        taking = [pool.take(TARGET) for pool in self.pools.values() for _ in range(3)]
        return list(await asyncio.gather(*taking))

    def test_no_more_slots_are_granted_than_there_are(self) -> None:
        """Guard against many hosts that fill the same free slot."""

        async def check() -> None:
            await self.settle()
            self.assertEqual((await self.take_all()).count(True), N_SLOTS)
            self.n_reported = N_SLOTS
            await asyncio.sleep(PENDING_S)
            self.assertEqual((await self.take_all()).count(True), 0)
            self.n_reported = N_SLOTS - 5
            self.assertEqual((await self.take_all()).count(True), 5)

        run_in_virtual_time(check())

    def test_home_that_does_not_know_all_work_leaves_shares(self) -> None:
        """Guard against a new home that takes used slots for free.

        Each host then has its own share, as in a small fleet.
        """

        async def check() -> None:
            await self.settle()
            for board in self.boards.values():
                board.live_changed_at = asyncio.get_running_loop().time()
            self.assertEqual((await self.take_all()).count(True), N_SHARES)

        run_in_virtual_time(check())

    def test_lost_home_leaves_shares(self) -> None:
        """Guard against callers refused because a home does not reply."""

        async def check() -> None:
            await self.settle()
            self.network.servers.clear()
            self.assertGreater((await self.take_all()).count(True), N_SHARES // 2)

        run_in_virtual_time(check())


if __name__ == "__main__":
    unittest.main()
