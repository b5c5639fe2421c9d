"""Test that hosts find the version of streams that other hosts began."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, cast
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from bench.emulator.network import EmulatedLinks, Network
from tests.components.boards import make_board
from tests.components.forwarding.common import make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.request_state import StreamSource
from trefoilstage.components.forwarding.start_prover import StartProver
from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.stream_versions.controller import (
    CHECK_INTERVAL_S,
    MAX_PROOF_S,
    N_COPIES,
    PROOF_INTERVAL_S,
    REPORT_DELAY_S,
    StreamVersions,
)
from trefoilstage.components.stream_versions.messages import FindStream
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

WORKSPACE = "school"
TARGET = make_target("i-1", started_ms=5)
OTHER = make_target("i-2", started_ms=5)
V1 = StreamVersion(service="assistant", version="v1")
SETTLE_S = CHECK_INTERVAL_S + 3 * REPORT_DELAY_S
N_LARGE = 40


class Fleet:
    """Run the stream versions of several hosts in an emulated network."""

    def __init__(self, n_hosts: int) -> None:
        self.network = Network()
        self.names = [f"host-{number}" for number in range(n_hosts)]
        self.live = tuple(self.names)
        self.boards: dict[str, FleetBoard] = {}
        self.probe = mock.Mock(read_start=mock.AsyncMock(return_value=None))
        self.hosts = {name: self._make(name) for name in self.names}

    def _make(self, name: str) -> StreamVersions:
        server = PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC)
        self.network.servers[name] = server
        self.timer = TimerService()
        board = make_board(name, self.names)
        self.boards[name] = board
        return StreamVersions(
            board=board,
            membership=mock.Mock(list_live_hosts=lambda: self.live),
            links=EmulatedLinks(network=self.network),
            server=server,
            timer=self.timer,
            prover=StartProver(board=board, probe=self.probe),
        )

    async def begin(self, host: str, request_id: str) -> None:
        """Begin a stream and wait until its homes know it."""
        self.hosts[host].record(WORKSPACE, [request_id], V1)
        await asyncio.sleep(SETTLE_S)

    def kill(self, *names: str) -> None:
        """Kill hosts, which the others notice at once."""
        for name in names:
            self.network.servers.pop(name, None)
        self.live = tuple(name for name in self.live if name not in names)

    def silence(self, *names: str) -> None:
        """Let hosts neither store nor answer anything."""

        async def be_silent(message: object) -> None:
            if isinstance(message, FindStream):
                await asyncio.sleep(60.0)

        for name in names:
            server = cast(Any, self.network.servers[name])
            server.handle = be_silent

    async def check_homes(self) -> None:
        """Let all hosts check the homes, as their timer does."""
        for host in self.hosts.values():
            await host._check_homes()
        await asyncio.sleep(SETTLE_S)

    async def find(self, host: str, request_id: str) -> StreamVersion | None:
        """Ask a host for a stream's version."""
        return await self.hosts[host].find(WORKSPACE, request_id)

    def list_holders(self) -> list[str]:
        """Return the hosts that know a stream."""
        return [name for name, host in self.hosts.items() if host.n_known]


class StreamVersionsTest(unittest.TestCase):
    """Ask hosts for streams of others, in small and large fleets."""

    def run_fleet(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a test in virtual time."""
        run_in_virtual_time(coroutine)

    def test_version_is_known_after_its_host_was_killed(self) -> None:
        """Guard against a version that only the host knows that began the stream."""

        async def check(n_hosts: int) -> None:
            fleet = Fleet(n_hosts)
            await fleet.begin("host-0", "r-1")
            fleet.kill("host-0")
            for name in fleet.live:
                self.assertEqual(await fleet.find(name, "r-1"), V1)
                self.assertIsNone(await fleet.find(name, "r-2"))
            self.assertIsNone(await fleet.hosts["host-1"].find("other", "r-1"))

        for n_hosts in (2, 7, N_LARGE):
            with self.subTest(n_hosts=n_hosts):
                self.run_fleet(check(n_hosts))

    def test_version_is_known_over_a_chain_of_attempts(self) -> None:
        """Guard against a stream that is forgotten once it was taken up."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            await fleet.begin("host-0", "r-1")
            fleet.kill("host-0")
            found = await fleet.find("host-1", "r-1")
            assert found is not None
            fleet.hosts["host-1"].record(WORKSPACE, ["r-2", "r-1"], found)
            await asyncio.sleep(SETTLE_S)
            fleet.kill("host-1")
            for request_id in ("r-1", "r-2"):
                self.assertEqual(await fleet.find("host-9", request_id), V1)

        self.run_fleet(check())

    def test_no_broadcast_in_a_large_fleet(self) -> None:
        """Guard against messages for each stream that grow with the fleet."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            await fleet.begin("host-0", "r-1")
            self.assertEqual(len(fleet.list_holders()), N_COPIES + 1)
            self.assertEqual(fleet.network.n_messages, N_COPIES)

        self.run_fleet(check())

    def test_one_survivor_of_a_small_fleet_knows_all_streams(self) -> None:
        """Guard against too few copies when nearly all hosts are killed at once."""

        async def check() -> None:
            fleet = Fleet(7)
            await fleet.begin("host-0", "r-1")
            fleet.kill(*fleet.names[:6])
            self.assertEqual(await fleet.find("host-6", "r-1"), V1)

        self.run_fleet(check())

    def test_streams_under_way_move_to_new_homes(self) -> None:
        """Guard against homes that are replaced one by one while a stream lasts."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            await fleet.check_homes()
            await fleet.begin("host-0", "r-1")
            for _ in range(3):
                homes = [name for name in fleet.list_holders() if name in fleet.live]
                fleet.kill(*(name for name in homes if name != "host-0"))
                await fleet.check_homes()
            fleet.kill("host-0")
            self.assertEqual(await fleet.find(fleet.live[0], "r-1"), V1)

        self.run_fleet(check())

    def test_ended_streams_are_not_reported_again(self) -> None:
        """Guard against a report of each former stream when a host joins."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            await fleet.check_homes()
            await fleet.begin("host-0", "r-1")
            fleet.hosts["host-0"].end(WORKSPACE, ["r-1", ""])
            holders = fleet.list_holders()
            fleet.kill(*(name for name in holders if name != "host-0"))
            await fleet.check_homes()
            self.assertEqual(fleet.list_holders(), holders)

        self.run_fleet(check())

    def test_version_is_unknown_without_homes(self) -> None:
        """Guard against a guess by a host that is cut from all others."""

        async def check() -> None:
            fleet = Fleet(7)
            await fleet.begin("host-0", "r-1")
            fleet.network.servers.clear()
            cut = StreamVersions(
                board=fleet.boards["host-1"],
                membership=mock.Mock(list_live_hosts=lambda: fleet.live),
                links=EmulatedLinks(network=fleet.network),
                server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
                timer=fleet.timer,
                prover=StartProver(board=fleet.boards["host-1"], probe=fleet.probe),
            )
            self.assertIsNone(await cut.find(WORKSPACE, "r-1"))
            self.assertIsNone(await fleet.find("host-1", ""))

        self.run_fleet(check())

    def test_hosts_of_an_earlier_build_are_passed_over(self) -> None:
        """Guard against a roll of builds in which no version is known."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            fleet.silence(*fleet.names[1:20])
            for number in range(20):
                await fleet.begin("host-0", f"r-{number}")
            fleet.kill("host-0")
            found = [await fleet.find("host-30", f"r-{n}") for n in range(20)]
            self.assertGreater(found.count(V1), 14)

        self.run_fleet(check())

    def test_stream_of_an_unproven_start_is_known_once_the_target_confirms_it(
        self,
    ) -> None:
        """Guard against a restarted target that is believed, or a sound one that isn't.

        The target confirms it to the host that dies, or only to the home.
        """

        async def check(kill_after_s: float, *starts: int) -> StreamVersion | None:
            fleet = Fleet(2)
            for board in fleet.boards.values():
                board.targets.apply_entry(TARGET)
            fleet.probe.read_start.side_effect = [None, *starts, None, None]
            source = StreamSource(target=TARGET, connected_at=0.0)
            fleet.hosts["host-0"].record(WORKSPACE, ["r-1"], V1, source)
            await asyncio.sleep(kill_after_s)
            fleet.kill("host-0")
            return await fleet.find("host-1", "r-1")

        for kill_after_s, start, found in ((2.0, 5, V1), (0.5, 5, V1), (0.5, 6, None)):
            with self.subTest(kill_after_s=kill_after_s, start=start):
                result = run_in_virtual_time(check(kill_after_s, start))
                self.assertEqual(result, found)

    def test_target_is_asked_as_its_stream_begins(self) -> None:
        """Guard against streams that are lost with a target that crashes soon after."""

        async def check() -> None:
            fleet = Fleet(2)
            fleet.boards["host-0"].targets.apply_entry(TARGET)
            fleet.probe.read_start.return_value = TARGET.started_ms
            source = StreamSource(target=TARGET, connected_at=0.0)
            fleet.hosts["host-0"].record(WORKSPACE, ["r-1"], V1, source)
            await asyncio.sleep(PROOF_INTERVAL_S / 2)
            fleet.probe.read_start.return_value = None
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(await fleet.find("host-1", "r-1"), V1)

        self.run_fleet(check())

    def test_id_of_two_streams_is_not_believed(self) -> None:
        """Guard against the version of one stream that hides the other's."""

        unproven = StreamSource(target=TARGET, connected_at=0.0)
        other = StreamSource(target=OTHER, connected_at=0.0)
        v2 = StreamVersion(service="assistant", version="v2")

        async def check(*reports: tuple[StreamVersion, StreamSource | None]) -> None:
            fleet = Fleet(2)
            for board in fleet.boards.values():
                board.targets.apply_entry(TARGET)
                board.targets.apply_entry(OTHER)
            fleet.probe.read_start.side_effect = lambda target: (
                5 if target == OTHER else None
            )
            for host, (version, source) in zip(
                fleet.hosts.values(), reports, strict=True
            ):
                host.record(WORKSPACE, ["r-1"], version, source)
                await asyncio.sleep(SETTLE_S)
            for wait_s in (0.0, MAX_PROOF_S):
                await asyncio.sleep(wait_s)
                for name in fleet.hosts:
                    self.assertIsNone(await fleet.find(name, "r-1"))

        for reports in (
            ((V1, unproven), (v2, None)),
            ((v2, None), (V1, unproven)),
            ((V1, None), (V1, unproven)),
            ((V1, unproven), (v2, other)),
            ((V1, unproven), (V1, other)),
        ):
            with self.subTest(reports=reports):
                run_in_virtual_time(check(*reports))

    def test_first_answer_is_enough(self) -> None:
        """Guard against a caller that waits for homes that are silent."""

        async def check() -> None:
            fleet = Fleet(N_LARGE)
            await fleet.begin("host-0", "r-1")
            holders = [name for name in fleet.list_holders() if name != "host-0"]
            asking = next(name for name in fleet.names if name not in holders)

            fleet.silence("host-0", *holders[1:])
            began_at = asyncio.get_running_loop().time()
            self.assertEqual(await fleet.find(asking, "r-1"), V1)
            self.assertLess(asyncio.get_running_loop().time() - began_at, 0.01)

        self.run_fleet(check())


if __name__ == "__main__":
    unittest.main()
