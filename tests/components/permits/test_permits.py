"""Test how many permits a fleet grants for one cold target."""

import random
import unittest
from dataclasses import dataclass, field
from typing import Any, cast
from unittest import mock

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from tests.components.forwarding.common import make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import (
    FleetConfiguration,
    TargetService,
)
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.permits.controller import (
    MAX_PAUSE_S,
    PROBE_INTERVAL_S,
    SETTLE_S,
    TargetPermits,
)
from trefoilstage.components.permits.counter import (
    GRANT_WINDOW_S,
    LIMIT_WINDOW_S,
    PERMIT_LIFE_S,
    compute_cold_limit,
)
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.messages import PermitReply, PermitRequest
from trefoilstage.exceptions import PeerUnavailableError

SERVICE = TargetService(
    name="assistant", health_path="/", max_connections=1, cold_requests_per_s=11.0
)
SETTINGS = mock.Mock(cold_rate_factor=1.5, cold_rate_slack=5.0)
LIMIT = 21.5
TARGET = make_target("i-1")
PERIOD_S = 4.0
MAX_PROBES = 4  # of a refusing target in a period


@dataclass(kw_only=True)
class Fleet:
    """Connect the permits of several hosts."""

    timer: ManualTimer = field(default_factory=ManualTimer)
    permits: dict[str, TargetPermits] = field(default_factory=dict)
    limits: dict[str, KnownLimits] = field(default_factory=dict)
    # Hosts that can't reach each other are in different parts; 0 without an entry.
    parts: dict[str, int] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)  # hosts that read the store's list
    is_cold: bool = True
    n_grants: int = 0
    n_failed_calls: int = 0

    async def start(self, name: str, names: list[str]) -> TargetPermits:
        """Start a host that knows some hosts by their records."""
        board = make_board(name, names)
        board.configuration = FleetConfiguration(services={SERVICE.name: SERVICE})
        limits = self.limits[name] = KnownLimits(board=board, timer=self.timer)
        permits = TargetPermits(
            board=board,
            settings=SETTINGS,
            links=cast(Any, Links(fleet=self, caller=name)),
            server=mock.Mock(),
            timer=self.timer,
            limits=limits,
            has_host_list=lambda: name in self.listed,
            generator=random.Random(name),
        )
        await permits.on_start()
        self.permits[name] = permits
        self.listed.add(name)
        return permits

    async def settle(self) -> None:
        """Let all hosts have the same list of hosts for long."""
        for permits in self.permits.values():
            await permits._check()
        self.timer.time += 2 * SETTLE_S

    def name_limit(self, limit_per_s: float) -> None:
        """Let the target name a limit to each host."""
        for limits in self.limits.values():
            limits.record_answer(TARGET.incarnation, limit_per_s, self.timer.time)

    async def ask_all(self) -> None:
        """Let each host ask for a permit, in random order."""
        names = random.Random(self.timer.time).sample(
            sorted(self.permits), len(self.permits)
        )
        for name in names:
            self.n_grants += await self.permits[name].request(
                TARGET, is_cold=self.is_cold
            )

    async def count_grants(self, seconds: float) -> int:
        """Return the permits granted while all hosts go on asking."""
        self.n_grants = 0
        ends_at = self.timer.time + seconds
        while self.timer.time < ends_at:
            await self.ask_all()
            self.timer.time += 0.05
        return self.n_grants


@dataclass(kw_only=True)
class Links:
    """Deliver one host's requests to the others that it reaches."""

    fleet: Fleet
    caller: str

    def get_link(self, url: str) -> "Link":
        return Link(fleet=self.fleet, caller=self.caller, name=url)


@dataclass(kw_only=True)
class Link:
    """Deliver requests to one host."""

    fleet: Fleet
    caller: str
    name: str

    async def call(self, message: PermitRequest, *, timeout_s: float) -> Any:
        parts = self.fleet.parts
        permits = self.fleet.permits.get(self.name)
        if permits is None or parts.get(self.caller, 0) != parts.get(self.name, 0):
            self.fleet.n_failed_calls += 1
            raise PeerUnavailableError("cut off")
        frame = Frame(number=1, reply=False, body=message)
        decoded = FLEET_CODEC.decode(FLEET_CODEC.encode(frame)).body
        reply = await permits._answer_request(decoded)
        answer: Frame[Any] = Frame(number=1, reply=True, body=reply)
        return FLEET_CODEC.decode(FLEET_CODEC.encode(answer)).body


def compute_allowed(limit_per_s: float) -> float:
    """Return the requests in PERIOD_S that a target that names a limit tolerates."""
    return 1.5 * limit_per_s * PERIOD_S + 5


class NamedLimitTest(unittest.IsolatedAsyncioTestCase):
    """Test the sum of the permits for a target that names a limit."""

    async def make_fleet(self, n_hosts: int, limit_per_s: float) -> Fleet:
        """Return a fleet whose hosts were all told a limit."""
        fleet = Fleet(is_cold=False)
        names = [f"host-{number}" for number in range(n_hosts)]
        for name in names:
            await fleet.start(name, names)
        await fleet.settle()
        fleet.name_limit(limit_per_s)
        return fleet

    async def test_sum_over_all_hosts_stays_below_the_limit(self) -> None:
        """Guard against a limit that each host keeps by itself."""
        for n_hosts, limit_per_s in ((1, 0.2), (3, 1.6), (3, 40.0), (400, 1.6)):
            with self.subTest(n_hosts=n_hosts, limit_per_s=limit_per_s):
                fleet = await self.make_fleet(n_hosts, limit_per_s)
                n_grants = await fleet.count_grants(PERIOD_S)
                self.assertLessEqual(n_grants, compute_allowed(limit_per_s))
                self.assertGreaterEqual(n_grants, int(0.5 * limit_per_s * PERIOD_S))

    async def test_old_and_new_home_together_stay_below_the_limit(self) -> None:
        """Guard against hosts that join while those before are cut from the store."""
        for limit_per_s in (0.2, 1.6, 40.0):
            with self.subTest(limit_per_s=limit_per_s):
                fleet = await self.make_fleet(8, limit_per_s)
                names = [f"host-{number}" for number in range(40)]
                for name in names[:8]:
                    fleet.permits[name]._board.store.out_of_reach = True
                for name in names[8:]:
                    await fleet.start(name, names)
                await fleet.settle()
                fleet.name_limit(limit_per_s)
                n_grants = await fleet.count_grants(PERIOD_S)
                self.assertLessEqual(n_grants, compute_allowed(limit_per_s))

    async def test_hosts_cut_apart_grant_no_more(self) -> None:
        """Guard against a home on each side of a cut that grants the whole rate."""
        fleet = await self.make_fleet(60, 1.6)
        fleet.parts = {name: number for number, name in enumerate(fleet.permits)}
        n_grants = await fleet.count_grants(PERIOD_S)
        self.assertLessEqual(n_grants, compute_allowed(1.6))

    async def test_restarted_home_learns_the_limit_from_who_asks(self) -> None:
        """Guard against a home that forgets a limit and permits each request."""
        fleet = await self.make_fleet(3, 1.6)
        home = fleet.permits["host-0"]._find_home(TARGET.incarnation)
        assert home is not None
        await fleet.start(home, sorted(fleet.permits))
        fleet.timer.time += 2.0
        n_grants = await fleet.count_grants(PERIOD_S)
        self.assertGreater(n_grants, 0)
        self.assertLessEqual(n_grants, compute_allowed(1.6))

    async def test_hosts_learn_from_the_home_that_a_limit_has_ended(self) -> None:
        """Guard against hosts that go on asking for a target that names no limit."""
        fleet = await self.make_fleet(3, 1.6)
        fleet.timer.time += 1.0
        home = fleet.permits["host-0"]._find_home(TARGET.incarnation)
        assert home is not None
        sent_at = fleet.timer.time
        fleet.timer.time += 1.0
        fleet.limits[home].record_answer(TARGET.incarnation, None, sent_at)
        await fleet.ask_all()
        self.assertEqual(fleet.n_grants, 3)
        for limits in fleet.limits.values():
            self.assertIsNone(limits.get_limit(TARGET.incarnation))

    async def test_refused_host_is_told_when_to_ask_again(self) -> None:
        """Guard against hundreds of hosts that ask for the same permit in vain."""
        fleet = await self.make_fleet(1, 1.5)
        permits = fleet.permits["host-0"]
        while await permits.request(TARGET, is_cold=False):
            pass
        wait_s = permits.get_wait_s(TARGET)
        self.assertGreater(wait_s, 1.0)
        fleet.timer.time += wait_s + 0.001
        self.assertTrue(await permits.request(TARGET, is_cold=False))

    async def test_target_of_a_lost_home_is_tried_now_and_then(self) -> None:
        """Guard against a limit that never ends, as its home was lost for good.

        The store lists lost hosts for ever; only an answer can end a limit.
        """
        fleet = await self.make_fleet(3, 1.6)
        home = fleet.permits["host-0"]._find_home(TARGET.incarnation)
        assert home is not None
        del fleet.permits[home]
        n_grants = await fleet.count_grants(10 * PROBE_INTERVAL_S)
        self.assertGreaterEqual(n_grants, 1)
        self.assertLessEqual(n_grants, 12)

    async def test_hosts_cut_apart_for_long_grant_no_more(self) -> None:
        """Guard against hundreds of hosts that all try a limited target at once."""
        fleet = await self.make_fleet(400, 1.6)
        fleet.parts = {name: number for number, name in enumerate(fleet.permits)}
        for _ in range(10):
            n_grants = await fleet.count_grants(PERIOD_S)
            self.assertLessEqual(n_grants, compute_allowed(1.6))

    async def test_lost_home_is_called_less_and_less(self) -> None:
        """Guard against callers that wait for a home's timeout again and again."""
        fleet = await self.make_fleet(3, 1.6)
        home = fleet.permits["host-0"]._find_home(TARGET.incarnation)
        assert home is not None
        del fleet.permits[home]
        await fleet.count_grants(30.0)
        self.assertLess(fleet.n_failed_calls, 2 * 15)

    async def test_pause_after_a_refusal_is_bounded(self) -> None:
        """Guard against a target left alone for long after a very low limit."""
        fleet = await self.make_fleet(1, 0.0)
        permits = fleet.permits["host-0"]
        while await permits.request(TARGET, is_cold=False):
            pass
        self.assertLessEqual(permits.get_wait_s(TARGET), MAX_PAUSE_S)

    async def test_refusing_target_is_probed_at_one_rate_by_all_hosts(self) -> None:
        """Guard against hosts that each probe a target that asked one for rest."""
        fleet = await self.make_fleet(60, 40.0)
        fleet.timer.time += 1.0
        for limits in fleet.limits.values():
            limits.record_answer(TARGET.incarnation, None, 0.0, refuses=True)
        n_grants = await fleet.count_grants(PERIOD_S)
        self.assertGreater(n_grants, 0)
        self.assertLessEqual(n_grants, MAX_PROBES)

    async def test_home_grants_the_whole_limit_in_steady_state(self) -> None:
        """Guard against a target that is left idle beside callers that are refused."""
        fleet = await self.make_fleet(7, 1.6)
        n_grants = await fleet.count_grants(10 * PERIOD_S)
        self.assertGreaterEqual(n_grants, 0.9 * 1.6 * 10 * PERIOD_S)

    async def test_home_whose_list_of_hosts_changed_grants_less(self) -> None:
        """Guard against two homes that both grant the whole limit."""
        fleet = await self.make_fleet(7, 1.6)
        for permits in fleet.permits.values():
            permits._board.peers["host-9"] = mock.Mock(peer_url="host-9")
        n_grants = await fleet.count_grants(PERIOD_S)
        self.assertGreater(n_grants, 0)
        self.assertLessEqual(n_grants, 0.4 * 1.6 * PERIOD_S + 2)

    async def test_home_whose_list_of_hosts_changed_grants_in_each_period(self) -> None:
        """Guard against a limited target that is left idle after a burst of permits."""
        fleet = await self.make_fleet(3, 1.0)
        for permits in fleet.permits.values():
            permits._board.peers["host-9"] = mock.Mock(peer_url="host-9")
        await fleet.count_grants(1.0)
        self.assertGreater(await fleet.count_grants(PERIOD_S), 0)

    async def test_cold_target_that_names_a_limit_keeps_both(self) -> None:
        """Guard against a limit that is not kept while its target is cold."""
        fleet = await self.make_fleet(3, 1.6)
        fleet.is_cold = True
        n_grants = await fleet.count_grants(PERIOD_S)
        self.assertLessEqual(n_grants, compute_allowed(1.6))


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Test the sum of the permits over all hosts."""

    async def make_fleet(self, n_hosts: int) -> Fleet:
        """Return a fleet whose hosts have run for some time."""
        fleet = Fleet()
        names = [f"host-{number}" for number in range(n_hosts)]
        for name in names:
            await fleet.start(name, names)
        fleet.timer.time = 10.0
        return fleet

    async def test_sum_over_all_hosts_stays_below_the_limit(self) -> None:
        """Guard against a limit for each host, which adds up in a large fleet."""
        self.assertEqual(compute_cold_limit(SETTINGS, SERVICE), LIMIT)
        for n_hosts in (1, 3, 400):
            with self.subTest(n_hosts=n_hosts):
                fleet = await self.make_fleet(n_hosts)
                n_grants = await fleet.count_grants(LIMIT_WINDOW_S)
                self.assertTrue(0 < n_grants <= LIMIT, n_grants)

    async def test_hosts_cut_apart_grant_no_more(self) -> None:
        """Guard against a home on each side of a cut that grants the whole rate."""
        fleet = await self.make_fleet(60)
        fleet.parts = {name: number for number, name in enumerate(fleet.permits)}
        self.assertLessEqual(await fleet.count_grants(LIMIT_WINDOW_S), LIMIT)

    async def test_old_and_new_home_together_stay_below_the_limit(self) -> None:
        """Guard against hosts that join while those before are cut from the store.

        The new hosts have read the whole list and agree on another home.
        """
        fleet = await self.make_fleet(8)
        names = [f"host-{number}" for number in range(40)]
        for name in names[8:]:
            await fleet.start(name, names)
        fleet.timer.time = 20.0
        self.assertLessEqual(await fleet.count_grants(LIMIT_WINDOW_S), LIMIT)

    async def test_restarted_home_grants_nothing_at_first(self) -> None:
        """Guard against permits granted twice, by two incarnations of the home."""
        fleet = await self.make_fleet(1)
        await fleet.count_grants(0.1)
        await fleet.start("host-0", ["host-0"])
        self.assertEqual(await fleet.count_grants(GRANT_WINDOW_S - 0.2), 0)

    async def test_host_without_the_list_of_hosts_gets_none(self) -> None:
        """Guard against a starting host that takes itself for every target's home."""
        fleet = await self.make_fleet(1)
        fleet.listed.clear()
        self.assertEqual(await fleet.count_grants(1.0), 0)

    async def test_permit_that_comes_late_is_not_used(self) -> None:
        """Guard against a host that freezes between a permit and its request."""
        fleet = await self.make_fleet(2)
        permits = {p._find_home(TARGET.incarnation): p for p in fleet.permits.values()}
        home = next(iter(permits))
        asking = next(p for name, p in fleet.permits.items() if name != home)

        async def answer(request: PermitRequest) -> PermitReply:
            fleet.timer.time += PERMIT_LIFE_S + 0.01
            return PermitReply(granted=True)

        with mock.patch.object(asking, "_ask_home", answer):
            self.assertFalse(await asking.request(TARGET, is_cold=True))

    async def test_refused_host_pauses_its_calls(self) -> None:
        """Guard against a call for each request while a target's permits are used."""
        fleet = await self.make_fleet(2)
        asking = fleet.permits["host-0"]
        with mock.patch.object(
            asking,
            "_ask_home",
            mock.AsyncMock(return_value=PermitReply(granted=False)),
        ) as ask:
            for _ in range(20):
                await asking.request(TARGET, is_cold=True)
        self.assertEqual(ask.call_count, 1)


if __name__ == "__main__":
    unittest.main()
