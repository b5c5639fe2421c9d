"""Test how many rosters a large fleet reads, writes and keeps in memory."""

import unittest
from collections.abc import Mapping
from unittest import mock

from standins.keyed_store import KeyedStore
from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.rosters import (
    MAX_CACHED_ROSTERS,
    ROSTER_CODEC,
    Roster,
    RosterStore,
    get_roster_name,
)
from trefoilstage.components.views.store import RecordBatch, Topic

N_HOSTS = 195
N_PARTITIONS = 24
# A home of a large fleet lists hosts that sent no request at most once a second.
MAX_ROSTERS_PER_S = 1


def make_members(n_changed: int) -> dict[str, str]:
    """Return a roster in which some hosts have restarted."""
    return {
        f"host-{number}": f"host-{number}-{int(number < n_changed)}"
        for number in range(N_HOSTS)
    }


class CountingStore(KeyedStore):
    """Count the bytes of all listings."""

    n_bytes = 0

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key."""
        batch = await super().list_newest(topic, partition)
        self.n_bytes += sum(len(record.value or b"") for record in batch.records)
        return batch


class RosterStoreTest(unittest.IsolatedAsyncioTestCase):
    """Test rosters of 195 hosts."""

    async def test_roster_is_written_again_to_a_restored_store(self) -> None:
        """Guard against records that name a roster which a copy lacks."""
        store = KeyedStore()
        rosters = RosterStore(store=store, n_partitions=1)
        copy = store.make_copy()
        name = await rosters.write(make_members(0))
        store.restore(copy)
        rosters.forget_written()
        await rosters.write(make_members(0))
        other = RosterStore(store=store, n_partitions=1)
        self.assertEqual(await other.read(name), make_members(0))

    async def test_one_roster_is_read_without_all_others(self) -> None:
        """Write a roster after each of 195 restarts, then read one as in a recovery.

        With all rosters in one partition, each host that recovered an account read
        2 MB, which takes 1.6 s on a link of 10 Mbit/s, while callers waited for its
        tokens.
        """
        store = CountingStore()
        writer = RosterStore(store=store, n_partitions=N_PARTITIONS)
        for n_changed in range(N_HOSTS):
            await writer.write(make_members(n_changed))
        name = get_roster_name(make_members(7))
        reader = RosterStore(store=store, n_partitions=N_PARTITIONS)
        self.assertEqual(await reader.read(name), make_members(7))
        n_roster_bytes = len(ROSTER_CODEC.encode(Roster(members=make_members(7))))
        # The hash spreads rosters unevenly; a partition may get three times its share.
        self.assertLess(store.n_bytes, 3 * n_roster_bytes * N_HOSTS / N_PARTITIONS)

    async def test_roster_of_an_earlier_version_is_found(self) -> None:
        """Read a roster of a version that wrote all rosters to one partition."""
        store = KeyedStore()
        name = get_roster_name(make_members(7))
        value = ROSTER_CODEC.encode(Roster(members=make_members(7)))
        await store.put(Topic.ROSTERS, name, value)
        reader = RosterStore(store=store, n_partitions=N_PARTITIONS)
        self.assertEqual(await reader.read(name), make_members(7))

    async def test_write_that_fails_while_a_roster_is_written(self) -> None:
        """Guard against an error in a waiting request.

        While a home writes the roster for one account, a write to another account of
        the same partition fails, and the partition's end is forgotten.
        """
        cluster = EscrowCluster(prepaid=10_000)
        home = cluster.start("host-0")
        cluster.start("host-1")
        cluster.update_all_peers()
        cluster.home = "host-0"
        accounts = home._account_store
        write = accounts._rosters.write

        async def fail_meanwhile(members: Mapping[str, str]) -> str:
            name = await write(members)
            accounts.forget_end_offset(WORKSPACE)
            return name

        with mock.patch.object(accounts._rosters, "write", fail_meanwhile):
            held = await cluster.hold("host-0", "host-1", WORKSPACE, "r-1", 100)
        self.assertFalse(held)
        held = await cluster.hold("host-0", "host-1", WORKSPACE, "r-2", 100)
        self.assertTrue(held)

    async def test_unreadable_and_missing_rosters_are_not_empty_ones(
        self,
    ) -> None:
        store = KeyedStore()
        await store.put(Topic.ROSTERS, "broken", b"\xff")
        reader = RosterStore(store=store, n_partitions=1)
        self.assertIsNone(await reader.read("broken"))
        self.assertIsNone(await reader.read("missing"))
        self.assertEqual(await reader.read(""), {})

    async def test_cached_rosters_are_bounded(self) -> None:
        store = KeyedStore()
        rosters = RosterStore(store=store, n_partitions=N_PARTITIONS)
        for n_changed in range(2 * MAX_CACHED_ROSTERS):
            await rosters.write(make_members(n_changed))
        self.assertLessEqual(len(rosters._cached), MAX_CACHED_ROSTERS)
        self.assertLessEqual(len(rosters._written), MAX_CACHED_ROSTERS)
        self.assertEqual(
            await rosters.read(get_roster_name(make_members(0))), make_members(0)
        )


class RosterUpdateTest(unittest.IsolatedAsyncioTestCase):
    """Test how often a home of a large fleet writes its roster."""

    async def start_hosts(self) -> EscrowCluster:
        """Return a home that receives heartbeats of 30 more hosts, ten a second."""
        cluster = EscrowCluster(prepaid=200_000, home="brest-0")
        for number in range(20):
            cluster.start(f"brest-{number}")
        cluster.update_all_peers()
        for number in range(20, 50):
            cluster.start(f"brest-{number}")
            cluster.timer.time += 0.1
            cluster.update_all_peers()
            await cluster.homes["brest-0"]._check_stocks()
            draw = cluster.homes["brest-0"]._account_tasks.get(WORKSPACE)
            if draw is not None:
                await draw
        return cluster

    async def test_starting_hosts_are_listed_together(self) -> None:
        """Start 30 hosts in 3 s; the home writes its roster once a second."""
        cluster = await self.start_hosts()
        batch = await cluster.store.list_newest(Topic.ROSTERS)
        self.assertLessEqual(len(batch.records), 1 + 3 * MAX_ROSTERS_PER_S)

    async def test_requesting_host_is_listed_immediately(self) -> None:
        cluster = await self.start_hosts()
        self.assertTrue(
            await cluster.hold("brest-0", "brest-49", WORKSPACE, "a", 1_000)
        )


if __name__ == "__main__":
    unittest.main()
