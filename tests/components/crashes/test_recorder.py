"""Test how crashes reach the store and the peers."""

import asyncio
import unittest
from dataclasses import dataclass, field
from typing import Any, cast

from standins.keyed_store import KeyedStore
from tests.components.boards import make_board
from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, make_crash
from trefoilstage.components.crashes.recorder import RETRY_S, CrashRecorder
from trefoilstage.components.views.store import StoreRefusedError, Topic

LARGE = [f"host-{number}" for number in range(20)]
SMALL = LARGE[:3]


@dataclass(kw_only=True)
class Links:
    """Note what peers are told."""

    told: list[tuple[str, CrashReport]] = field(default_factory=list)

    def get_link(self, url: str) -> "Link":
        return Link(url=url, links=self)


@dataclass(kw_only=True)
class Link:
    """Stand in for the link to one peer."""

    url: str
    links: Links

    async def tell(self, report: CrashReport, *, timeout_s: float) -> None:
        self.links.told.append((self.url, report))


class PickyStore(KeyedStore):
    """Refuse one key for good."""

    refused = ""

    async def put(self, topic: Topic, key: str, *args: Any, **more: Any) -> int | None:
        """Write a key, unless it is the refused one."""
        if key == self.refused:
            raise StoreRefusedError("status 400")
        return await super().put(topic, key, *args, **more)


class RecorderTest(unittest.IsolatedAsyncioTestCase):
    """Test one host's recorder."""

    def make(self, names: list[str]) -> CrashRecorder:
        self.store = PickyStore()
        self.links = Links()
        self.board = make_board("host-0", names)
        return CrashRecorder(
            board=self.board,
            store=self.store,
            links=cast(Any, self.links),
            list_live_hosts=lambda: tuple(names),
        )

    def list_written(self) -> list[str]:
        """Return the keys in the store."""
        partition = self.store.partitions[Topic.CRASHES, 0]
        return sorted(record.key for record in partition.list_newest())

    async def wait(self, seconds: float = 0.02) -> None:
        await asyncio.sleep(seconds)

    async def test_small_fleet_is_told_at_once(self) -> None:
        """Guard against hosts that hear of a crash from the store alone."""
        recorder = self.make(SMALL)
        crash = make_crash("a", "x")
        recorder.record([crash])
        await self.wait()
        self.assertEqual([host for host, _ in self.links.told], SMALL[1:])
        self.assertEqual(self.list_written(), [crash.key])

    async def test_large_fleet_reads_the_store(self) -> None:
        """Guard against a message to each of hundreds of hosts for each end."""
        recorder = self.make(LARGE)
        recorder.record([make_crash("a", "x")])
        await self.wait()
        self.assertEqual(self.links.told, [])
        self.assertEqual(self.list_written(), ["a/x"])

    async def test_host_without_the_store_asks_one_peer_to_write(self) -> None:
        """Guard against crashes that only a host cut from the store knows of."""
        recorder = self.make(LARGE)
        self.store.down = True
        recorder.record([make_crash("a", "x")])
        await self.wait()
        self.assertEqual([report.relay for _, report in self.links.told], [True])
        self.store.down = False
        await self.wait(1.1 * RETRY_S)
        self.assertEqual(self.list_written(), ["a/x"])

    async def test_peer_that_lost_the_store_as_well_is_not_asked(self) -> None:
        """Guard against a crash handed to a host that can't write it either."""
        for lost, able in (("host-1", "host-2"), ("host-2", "host-1")):
            recorder = self.make(SMALL)
            self.board.peers[lost].store_in_reach = False
            self.store.down = True
            recorder.record([make_crash("a", "x")])
            await self.wait()
            asked = [host for host, report in self.links.told if report.relay]
            self.assertEqual(asked, [able])

    async def test_cleared_request_leaves_the_store(self) -> None:
        """Guard against a sound request that hosts suspect again as they start."""
        recorder = self.make(SMALL)
        crashes = [make_crash("a", target) for target in "xy"]
        recorder.record(crashes)
        recorder.clear("a", crashes)
        await self.wait()
        self.assertEqual(self.list_written(), [])
        self.assertEqual(self.links.told[-1][1].sound, ("a",))

    async def test_record_that_the_store_refuses_holds_up_no_other(self) -> None:
        """Guard against one bad key that keeps all later crashes from the store."""
        recorder = self.make(SMALL)
        self.store.refused = "a/x"
        recorder.record([make_crash("a", "x"), make_crash("b", "y")])
        await self.wait(1.5 * RETRY_S)
        self.assertEqual(self.list_written(), ["b/y"])

    async def test_unwritten_crashes_are_bounded(self) -> None:
        """Guard against memory that grows for as long as the store is away."""
        recorder = self.make(["host-0"])
        self.store.down = True
        crashes: list[Crash] = [
            make_crash(f"r-{number}", "x") for number in range(MAX_CRASHES + 10)
        ]
        recorder.record(crashes)
        await self.wait()
        self.assertEqual(len(recorder._unwritten), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
