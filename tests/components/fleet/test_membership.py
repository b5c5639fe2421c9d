"""Test how hosts of a large fleet learn which others are live."""

import asyncio
import random
import unittest
from unittest import mock

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from trefoilstage.components.fleet.known_hosts import LOST_AFTER_LARGE_FLEET_S
from trefoilstage.components.fleet.membership import (
    HEARTBEAT_INTERVAL_S,
    MAX_LIMITS_PER_HEARTBEAT,
    N_PEERS_PER_ROUND,
    SPREAD_INTERVAL_S,
    FleetMembership,
)
from trefoilstage.components.fleet.messages import HostHeartbeat
from trefoilstage.components.permits.known_limits import SPREAD_S, KnownLimits

N_HOSTS = 66


class FakeFleet:
    """Connect the memberships of hosts without a network."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.names = [f"host-{number}" for number in range(N_HOSTS)]
        self.limits: dict[str, KnownLimits] = {}
        self.hosts = {name: self.make_membership(name) for name in self.names}
        self.down: set[str] = set()

    def make_membership(self, name: str) -> FleetMembership:
        """Return the membership of one host."""
        board = make_board(name, self.names)
        self.limits[name] = KnownLimits(board=board, timer=self.timer)
        return FleetMembership(
            board=board,
            store=mock.Mock(),
            links=mock.Mock(),
            server=mock.Mock(port=1),
            timer=self.timer,
            followers={},
            limits=self.limits[name],
            address="127.0.0.1",
            generator=random.Random(name),
        )

    async def send_heartbeats(self) -> None:
        """Let each running host call its peers of one round."""
        self.timer.time += HEARTBEAT_INTERVAL_S
        for name in self.names:
            if name in self.down:
                continue
            host = self.hosts[name]
            for peer in host.pick_peers_to_call():
                if peer.host not in self.down:
                    await self.exchange_heartbeats(host, self.hosts[peer.host])

    async def exchange_heartbeats(
        self, caller: FleetMembership, called: FleetMembership
    ) -> None:
        """Exchange heartbeats between two hosts."""
        heartbeat: HostHeartbeat = caller._make_heartbeat()
        reply = called._make_heartbeat()
        await called._apply_heartbeat(heartbeat)
        await caller._apply_heartbeat(reply)


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Let the store come back from a copy that lacks a host's record."""

    async def test_host_announces_itself_again(self) -> None:
        """Guard against hosts that others forget, as a copy lacks their records."""
        membership = FakeFleet().hosts["host-0"]
        put = mock.AsyncMock(return_value=7)
        membership._store = mock.Mock(put=put)
        membership.announce_again()
        await asyncio.sleep(0)
        put.assert_awaited_once()
        self.assertEqual(put.await_args_list[0].args[1], "host-0")
        await asyncio.sleep(0)
        self.assertEqual(membership._make_heartbeat().announced_at, 7)


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    """Test a fleet in which each host calls two others per heartbeat round."""

    async def test_all_hosts_agree_on_who_is_live(self) -> None:
        """Guard against live hosts that count as lost for a time.

        The homes of accounts would move each time, and each move draws and returns a
        stock of tokens. The rounds cover a minute.
        """
        fleet = FakeFleet()
        for _ in range(120):
            await fleet.send_heartbeats()
            for host in fleet.hosts.values():
                self.assertEqual(len(host.list_live_hosts()), N_HOSTS)

    async def test_lost_host_is_noticed_everywhere(self) -> None:
        """Guard against a lost host kept live by outdated states that peers pass on."""
        fleet = FakeFleet()
        for _ in range(6):
            await fleet.send_heartbeats()
        fleet.down = {"host-7"}
        for _ in range(int(LOST_AFTER_LARGE_FLEET_S / HEARTBEAT_INTERVAL_S) + 3):
            await fleet.send_heartbeats()
        for name, host in fleet.hosts.items():
            if name != "host-7":
                self.assertNotIn("host-7", host.list_live_hosts())

    async def test_limit_reaches_hosts_that_no_target_told(self) -> None:
        """Guard against a target in need that has to tell each of many hosts itself."""
        fleet = FakeFleet()
        fleet.limits["host-0"].record_answer("i-1@0", 1.6, 0.0)
        for _ in range(6):
            await fleet.send_heartbeats()
        for limits in fleet.limits.values():
            self.assertEqual(limits.get_limit("i-1@0"), 1.6)

    async def test_end_of_a_limit_reaches_hosts_that_no_target_told(self) -> None:
        """Guard against hosts that ask for permits long after a target's need."""
        fleet = FakeFleet()
        for limits in fleet.limits.values():
            limits.record_answer("i-1@0", 1.6, 0.0)
        fleet.timer.time += 1.0
        fleet.limits["host-0"].record_answer("i-1@0", None, fleet.timer.time)
        for _ in range(6):
            await fleet.send_heartbeats()
        for limits in fleet.limits.values():
            self.assertIsNone(limits.get_limit("i-1@0"))

    async def test_limits_in_heartbeats_are_bounded_in_time(self) -> None:
        """Guard against heartbeats that grow with each limit that holds."""
        fleet = FakeFleet()
        fleet.limits["host-0"].record_answer("i-1@0", 1.6, 0.0)
        while fleet.timer.time < 2 * SPREAD_S:
            await fleet.send_heartbeats()
        for host in fleet.hosts.values():
            self.assertEqual(host._make_heartbeat().limits, ())

    async def test_many_limits_are_told_a_few_at_a_time(self) -> None:
        """Guard against heartbeats that fill a link when all targets are in need."""
        fleet = FakeFleet()
        targets = [f"i-{number}@0" for number in range(60)]
        for target in targets:
            fleet.limits["host-0"].record_answer(target, 1.6, 0.0)
        for _ in range(8):
            await fleet.send_heartbeats()
            for host in fleet.hosts.values():
                self.assertLessEqual(
                    len(host._make_heartbeat().limits), MAX_LIMITS_PER_HEARTBEAT
                )
        n_known = [len(limits._board.limits.limits) for limits in fleet.limits.values()]
        self.assertGreater(sum(n_known) / len(n_known), 0.9 * len(targets))

    async def test_limits_that_begin_and_end_are_told_at_once(self) -> None:
        """Guard against hosts that go on sending to a target until the next round.

        Another value of a limit, or a second limit just after, causes no round.
        """
        fleet = FakeFleet()
        host, limits = fleet.hosts["host-0"], fleet.limits["host-0"]
        with (
            mock.patch.object(host, "add_future", lambda work: work.close()),
            mock.patch.object(host, "send_heartbeats_now") as send,
        ):
            await host.on_start()
            for n_intervals, target, limit_per_s, n_rounds in (
                (0.0, "i-1", 1.6, 1),
                (0.4, "i-1", 1.2, 1),
                (0.8, "i-2", 1.0, 1),
                (1.2, "i-3", 1.0, 2),
                (2.4, "i-1", None, 3),
            ):
                fleet.timer.time = n_intervals * SPREAD_INTERVAL_S
                limits.record_answer(target, limit_per_s, fleet.timer.time)
                self.assertEqual(send.call_count, n_rounds, target)
            await host.on_stop()
            fleet.timer.time += 2 * SPREAD_INTERVAL_S
            limits.record_answer("i-4", 1.0, fleet.timer.time)
            self.assertEqual(send.call_count, 3)

    def test_calls_do_not_grow_with_the_fleet(self) -> None:
        fleet = FakeFleet()
        self.assertEqual(
            len(fleet.hosts["host-0"].pick_peers_to_call()), N_PEERS_PER_ROUND
        )


if __name__ == "__main__":
    unittest.main()
