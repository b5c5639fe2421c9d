"""Test how hosts hear of each other in a large fleet."""

import random
import unittest
from unittest import mock

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from trefoilstage.components.fleet.known_hosts import SILENT_LARGE_S
from trefoilstage.components.fleet.membership import (
    BEAT_S,
    PEERS_PER_BEAT,
    FleetMembership,
)
from trefoilstage.components.fleet.messages import HostBeat

N_HOSTS = 66


class Fleet:
    """Hold hosts that call each other without a network."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.names = [f"host-{number}" for number in range(N_HOSTS)]
        self.hosts = {name: self.make(name) for name in self.names}
        self.down: set[str] = set()

    def make(self, name: str) -> FleetMembership:
        """Return the membership of one host."""
        return FleetMembership(
            board=make_board(name, self.names),
            store=mock.Mock(),
            links=mock.Mock(),
            server=mock.Mock(port=1),
            timer=self.timer,
            followers={},
            address="127.0.0.1",
            generator=random.Random(name),
        )

    async def beat(self) -> None:
        """Let each host that runs call a few others."""
        self.timer.time += BEAT_S
        for name in self.names:
            if name in self.down:
                continue
            host = self.hosts[name]
            for peer in host.pick_called():
                if peer.host not in self.down:
                    await self.exchange(host, self.hosts[peer.host])

    async def exchange(self, caller: FleetMembership, called: FleetMembership) -> None:
        """Exchange heartbeats between two hosts."""
        beat: HostBeat = caller._make_beat()
        reply = called._make_beat()
        await called._take_beat(beat)
        await caller._take_beat(reply)


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    """Test a fleet in which each host calls two others a beat."""

    async def test_all_hosts_agree_on_who_is_live(self) -> None:
        """Beat for a minute; each host takes all others for live all the time.

        Were some taken for silent in turn, the homes of accounts would move, and
        each move draws and gives back a stock.
        """
        fleet = Fleet()
        for _ in range(120):
            await fleet.beat()
            for host in fleet.hosts.values():
                self.assertEqual(len(host.list_live()), N_HOSTS)

    async def test_lost_host_is_noticed_everywhere(self) -> None:
        """Kill a host; nobody keeps it live by passing on what was heard long ago."""
        fleet = Fleet()
        for _ in range(6):
            await fleet.beat()
        fleet.down = {"host-7"}
        for _ in range(int(SILENT_LARGE_S / BEAT_S) + 3):
            await fleet.beat()
        for name, host in fleet.hosts.items():
            if name != "host-7":
                self.assertNotIn("host-7", host.list_live())

    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        fleet = Fleet()
        self.assertEqual(len(fleet.hosts["host-0"].pick_called()), PEERS_PER_BEAT)


if __name__ == "__main__":
    unittest.main()
