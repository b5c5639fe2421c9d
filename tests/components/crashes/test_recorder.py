"""Test how crashes are written to the store and reported to peers."""

import asyncio
import unittest
from dataclasses import dataclass, field
from typing import Any, cast

from standins.keyed_store import KeyedStore
from tests.components.boards import make_board
from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, SoundPart, make_crash
from trefoilstage.components.crashes.recorder import RETRY_INTERVAL_S, CrashRecorder
from trefoilstage.components.views.store import StoreRefusedError, Topic

LARGE = [f"host-{number}" for number in range(20)]
SMALL = LARGE[:3]


@dataclass(kw_only=True)
class Links:
    """Record the reports sent to peers."""

    sent: list[tuple[str, CrashReport]] = field(default_factory=list)

    def get_link(self, url: str) -> "Link":
        return Link(url=url, links=self)


@dataclass(kw_only=True)
class Link:
    """Replace the link to one peer."""

    url: str
    links: Links

    async def send(self, report: CrashReport, *, timeout_s: float) -> None:
        self.links.sent.append((self.url, report))


class RefusingStore(KeyedStore):
    """Refuse one key permanently."""

    refused_key = ""

    async def put(self, topic: Topic, key: str, *args: Any, **more: Any) -> int | None:
        """Write a key, unless it is the refused one."""
        if key == self.refused_key:
            raise StoreRefusedError("status 400")
        return await super().put(topic, key, *args, **more)


class RecorderTest(unittest.IsolatedAsyncioTestCase):
    """Test one host's recorder."""

    def make_recorder(self, names: list[str]) -> CrashRecorder:
        self.store = RefusingStore()
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

    async def test_peers_of_a_small_fleet_receive_reports_immediately(self) -> None:
        """Guard against hosts that learn of a crash only from the store."""
        recorder = self.make_recorder(SMALL)
        crash = make_crash("a", "x")
        recorder.record([crash])
        await self.wait()
        self.assertEqual([host for host, _ in self.links.sent], SMALL[1:])
        self.assertEqual(self.list_written(), [crash.key])

    async def test_hosts_of_a_large_fleet_receive_no_reports(self) -> None:
        """Guard against a message to each of hundreds of hosts for each crash."""
        recorder = self.make_recorder(LARGE)
        recorder.record([make_crash("a", "x")])
        await self.wait()
        self.assertEqual(self.links.sent, [])
        self.assertEqual(self.list_written(), ["a/x"])

    async def test_host_that_cannot_reach_the_store_asks_one_peer(self) -> None:
        """Guard against crashes known only to a host that can't reach the store."""
        recorder = self.make_recorder(LARGE)
        self.store.is_down = True
        recorder.record([make_crash("a", "x")])
        await self.wait()
        self.assertEqual([report.relay for _, report in self.links.sent], [True])
        self.store.is_down = False
        await self.wait(1.1 * RETRY_INTERVAL_S)
        self.assertEqual(self.list_written(), ["a/x"])

    async def test_peer_that_cannot_reach_the_store_is_not_asked(self) -> None:
        """Guard against asking a peer that can't write to the store either."""
        for unable, able in (("host-1", "host-2"), ("host-2", "host-1")):
            recorder = self.make_recorder(SMALL)
            self.board.peers[unable].store_in_reach = False
            self.store.is_down = True
            recorder.record([make_crash("a", "x")])
            await self.wait()
            asked = [host for host, report in self.links.sent if report.relay]
            self.assertEqual(asked, [able])

    async def test_crashes_of_a_harmless_request_are_deleted(self) -> None:
        """Guard against a harmless request that hosts suspect again after a restart."""
        recorder = self.make_recorder(SMALL)
        crashes = [make_crash("a", target) for target in "xy"]
        recorder.record(crashes)
        recorder.clear("a", crashes)
        await self.wait()
        self.assertEqual(self.list_written(), [])
        self.assertEqual(self.links.sent[-1][1].sound, ("a",))

    async def test_harmless_part_is_written_and_reported(self) -> None:
        """Guard against a harmless part that only one host knows."""
        recorder = self.make_recorder(SMALL)
        recorder.clear_part(SoundPart(part="p", at_ms=17))
        await self.wait()
        self.assertEqual(self.list_written(), ["sound|p"])
        self.assertEqual(self.links.sent[-1][1].sound_parts, ("p",))

    async def test_refused_record_does_not_block_others(self) -> None:
        """Guard against one refused key that keeps later crashes from the store."""
        recorder = self.make_recorder(SMALL)
        self.store.refused_key = "a/x"
        recorder.record([make_crash("a", "x"), make_crash("b", "y")])
        await self.wait(1.5 * RETRY_INTERVAL_S)
        self.assertEqual(self.list_written(), ["b/y"])

    async def test_number_of_pending_writes_is_limited(self) -> None:
        """Guard against memory that grows while the store is unreachable."""
        recorder = self.make_recorder(["host-0"])
        self.store.is_down = True
        crashes: list[Crash] = [
            make_crash(f"r-{number}", "x") for number in range(MAX_CRASHES + 10)
        ]
        recorder.record(crashes)
        await self.wait()
        self.assertEqual(len(recorder._pending_writes), MAX_CRASHES)


if __name__ == "__main__":
    unittest.main()
