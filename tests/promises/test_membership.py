"""Test that joining, lost and returning hosts are detected without an operator."""

import asyncio
import unittest
from typing import Any

import aiohttp

from standins.launcher import RunningProcess, poll_until
from tests.common import Fleet
from trefoilstage.blackboard import Blackboard
from trefoilstage.components.membership.controller import list_draw_partners
from trefoilstage.components.membership.peer_selection import (
    N_WATCHED_BY_RANK,
    pick_watched,
)
from trefoilstage.configuration.fold import HostEntry
from trefoilstage.ledger.state import DrawState, DrawStatus, LedgerState

FAST_LOG = {"log_timeout_s": 0.5, "log_poll_s": 0.5}


async def list_host_names(fleet: Fleet, host: RunningProcess) -> set[str]:
    """Return the names of the hosts that a host knows."""
    known = await fleet.launcher.get_json(f"{host.operator_url}/hosts")
    return {entry["host"] for entry in known}


class PeerSelectionTest(unittest.TestCase):
    """Test which peers a host watches."""

    def test_each_host_of_a_large_fleet_watches_few_and_its_partners(self) -> None:
        names = [f"host-{number}" for number in range(410)]
        watched = {name: pick_watched(name, names, ["host-7"]) for name in names}
        self.assertLessEqual(max(map(len, watched.values())), N_WATCHED_BY_RANK + 1)
        self.assertTrue(all("host-7" in watched[name] for name in names[:7]))
        seen = {name for some in watched.values() for name in some}
        self.assertGreater(len(seen), 405)

    def test_partners_are_those_whose_loss_this_host_must_act_on(self) -> None:
        board = Blackboard(host="host-0", incarnation="i-0", data_center="brest")
        for number in range(20):
            board.config.hosts[f"host-{number}"] = HostEntry(
                host=f"host-{number}",
                incarnation=f"i-{number}",
                data_center="brest",
                caller_url="",
                operator_url="",
                peer_url="",
                offset=number,
            )
        sealed = DrawStatus.SEALED
        board.ledgers[0] = LedgerState(
            draws={
                "own": DrawState(account="a", holder="i-0", witness="i-1"),
                "vouched": DrawState(account="a", holder="i-2", witness="i-0"),
                "foreign": DrawState(account="a", holder="i-3", witness="i-4"),
                "gone": DrawState(account="a", holder="i-99", witness="i-0"),
                **{
                    f"sealed-{number}": DrawState(
                        account="a", holder="i-5", witness="i-6", status=sealed
                    )
                    for number in range(20)
                },
            }
        )
        expected = {"host-1", "host-2", "host-5", "host-6"}
        self.assertEqual(list_draw_partners(board), expected)
        board.watched = frozenset({"host-1"})
        entries = board.config.hosts
        self.assertTrue(board.is_peer_live(entries["host-9"]), "unwatched")
        self.assertFalse(board.is_peer_live(entries["host-1"]), "no heartbeats")


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """Test the list of hosts when hosts are killed, cut off and added."""

    async def test_killed_host_is_forgotten_and_a_cut_one_returns(self) -> None:
        """Kill one host, and cut another off for longer than `forget_after_s`.

        Both are removed from the list of hosts. When the cut ends, the cut host
        notices its removal, announces itself and is listed again.
        """
        settings = {"forget_after_s": 1.0, "suspect_after_s": 0.5, **FAST_LOG}
        async with Fleet(n_hosts=4, n_engines=0, host_settings=settings) as fleet:
            first, cut, killed = fleet.hosts[0], fleet.hosts[2], fleet.hosts[3]
            await fleet.launcher.kill(killed.name)
            others = [host for host in fleet.hosts if host not in (cut, killed)]
            fleet.cut([cut], ["log"])
            fleet.cut_network_between([cut], others)

            async def are_gone() -> bool:
                return await list_host_names(fleet, first) == {"host-0", "host-1"}

            await poll_until(are_gone, "the lost hosts to be removed")
            fleet.heal()

            async def is_back() -> bool:
                return cut.name in await list_host_names(fleet, first)

            await poll_until(is_back, "the cut host to announce itself")

    async def test_large_fleet_recovers_a_lost_hosts_draw(self) -> None:
        """Kill a host that has a draw, in a fleet of twelve.

        Each host watches only a few peers. The draw's witness also watches the
        holder, so it detects the loss and seals the draw, and the unspent tokens are
        free again. The hosts that watch the lost host remove it from the list.
        """
        settings = {"forget_after_s": 2.0}
        async with Fleet(n_hosts=12, host_settings=settings) as fleet:
            lost = fleet.hosts[11]
            running = asyncio.create_task(fleet.chat(lost, max_tokens=1000))

            async def is_drawn() -> bool:
                return bool((await fleet.get_budget(fleet.hosts[0]))["held"] > 0)

            await poll_until(is_drawn, "the draw")
            await fleet.launcher.kill(lost.name)
            with self.assertRaises(aiohttp.ClientError):
                await running

            async def is_recovered() -> bool:
                budget = await fleet.get_budget(fleet.hosts[0])
                return bool(budget["held"] == budget["doubtful"])

            await poll_until(is_recovered, "the draw to be sealed")

            async def is_gone() -> bool:
                return lost.name not in await list_host_names(fleet, fleet.hosts[0])

            await poll_until(is_gone, "the lost host to be removed")

    async def test_newcomer_without_log_learns_the_state_from_a_listed_peer(
        self,
    ) -> None:
        """Start a host that has never reached the log.

        It finds a peer in the platform's host list, reads the records from the peer
        and applies the files. The peer relays its announcement to the log.
        """
        async with Fleet(n_hosts=1, n_engines=0, host_settings=FAST_LOG) as fleet:
            listed = await self.start_listed(fleet)
            fleet.proxies["log"].cut("127.0.1.3")
            new_host = await fleet.start_host("host-2")
            await self.wait_until_files_match(fleet, listed, new_host)

    async def test_newcomer_to_an_expired_log_takes_a_peers_state(self) -> None:
        """Start a host when all records except the last have expired.

        The log has no checkpoint to start from. The new host reads the state of a
        listed peer, continues to read the log from there, and serves.
        """
        async with Fleet(n_hosts=1, n_engines=0, host_settings=FAST_LOG) as fleet:
            listed = await self.start_listed(fleet)
            control = f"{fleet.log.url}/control"
            await fleet.launcher.post_json(control, {"retention": 1})
            await fleet.publish("20-a.toml", "[budgets.extra]\ntokens = 1\n")
            new_host = await fleet.start_host("host-2")
            await self.wait_until_files_match(fleet, listed, new_host)

    async def start_listed(self, fleet: Fleet) -> RunningProcess:
        """Start the platform's host list and a host that is listed there."""
        platform = await fleet.launcher.start_standin("hosts", "hosts", "--lag-s=0.1")
        fleet.host_settings = {**FAST_LOG, "host_list_url": platform.url}
        listed = await fleet.start_host("host-1")

        async def is_listed() -> bool:
            answer: Any = await fleet.launcher.get_json(f"{platform.url}/hosts")
            return bool(answer["hosts"])

        await poll_until(is_listed, "the list to show the host")
        return listed

    async def wait_until_files_match(
        self, fleet: Fleet, old: RunningProcess, new: RunningProcess
    ) -> None:
        """Wait until a new host serves; check that it has the files of an old one."""

        async def is_serving() -> bool:
            url = f"{new.operator_url}/status"
            return bool((await fleet.launcher.get_json(url))["phase"] == "serving")

        await poll_until(is_serving, "the new host to serve")
        files = [
            await fleet.launcher.get_json(f"{host.operator_url}/config/files")
            for host in (old, new)
        ]
        self.assertTrue(files[0])
        self.assertEqual(files[0], files[1])
