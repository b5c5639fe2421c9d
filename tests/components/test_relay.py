"""Test reading records that the log dropped before any host had read them."""

import random
import unittest

from tests.components.relays import RelayFleet, ShortLog
from tests.components.test_stream import wait_until
from trefoilstage.blackboard import Blackboard, ListedHost, StreamStatus
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PEER_CODEC
from trefoilstage.components.peers.relay import RelayedLog
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import (
    LogUnavailableError,
    PeerUnavailableError,
    RecordsExpiredError,
)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Test a relayed log without peers that reply."""

    async def test_group_is_read_although_the_log_keeps_only_its_last_record(
        self,
    ) -> None:
        """Guard against a record that is dropped while its own group is appended.

        A log that keeps one record drops the checkpoint when it appends the change of
        the same group. Without the appending host's copy, all hosts would wait at the
        gap, and the operator would get no verdict.
        """
        relay = RelayedLog(
            client=ShortLog(),  # type: ignore[arg-type]
            blackboard=Blackboard(host="h", incarnation="h-1", data_center="brest"),
            links=PeerLinks(outbound_address="127.0.0.1", codec=PEER_CODEC),
            server=PeerServer(address="127.0.0.1", port=0, codec=PEER_CODEC),
            timeout_s=1.0,
            generator=random.Random(1),
        )
        await relay.append("config", [b"checkpoint", b"change"])
        page = await relay.read("config", 0, wait_s=0.0)
        found = [(record.offset, record.data) for record in page.records]
        self.assertEqual(found, [(0, b"checkpoint"), (1, b"change")])
        # A record that another host appended before is lost permanently.
        await relay.append("config", [b"later"])
        with self.assertRaises(RecordsExpiredError):
            await relay.read("ledger-0", 0, wait_s=0.0)

    async def test_peer_lost_while_another_is_called_is_skipped(self) -> None:
        """Guard against a host that ends when a peer is lost during a read.

        A host without the log calls two peers. The first does not reply, and meanwhile
        the second is removed from the list. The read must fail as unavailable; the
        host ended instead, with all its callers' requests.
        """
        board = Blackboard(host="h", incarnation="h-1", data_center="brest")
        for name in ("a", "b"):
            board.listed[name] = ListedHost(host=name, peer_url=f"ws://{name}")
        relay = RelayedLog(
            client=ShortLog(),  # type: ignore[arg-type]
            blackboard=board,
            links=FailingLinks(board=board),  # type: ignore[arg-type]
            server=PeerServer(address="127.0.0.1", port=0, codec=PEER_CODEC),
            timeout_s=1.0,
            generator=random.Random(1),
        )
        with self.assertRaises(LogUnavailableError):
            await relay._read_from_peers("config", 0)


class DroppedRecordTest(unittest.IsolatedAsyncioTestCase):
    """Test reading records that one host appended and the log dropped immediately."""

    def setUp(self) -> None:
        self.fleet = RelayFleet(names=("a", "b", "c"))

    async def test_record_appended_for_a_peer_is_read(self) -> None:
        """Guard against a change that a peer appended for a host and no host cached.

        After an outage, the first host that reaches the log appends for the others. A
        log that keeps one record drops the change when a checkpoint is appended. All
        hosts logged `state_expired offset=4 earliest=5`; none was caught up, so none
        sent the others a state, and an operator got no verdict for 30 s and more.
        """
        await self.fleet.read_all(0)
        self.fleet.cut_from_log("b")
        await self.fleet.relays["b"].append("config", [b"change"])
        await self.fleet.relays["a"].append("config", [b"checkpoint"])
        self.fleet.cut_hosts.clear()
        for name in self.fleet.relays:
            records = await self.fleet.read(name, 0)
            self.assertEqual(records[0], b"change", name)

    async def test_record_that_only_a_probe_has_read_is_folded(self) -> None:
        """Guard against a host that requests from peers a record that it has itself."""
        await self.fleet.relays["a"].append("config", [b"base"])
        await self.fleet.read_all(0)
        self.fleet.cut_from_log("a")
        await self.fleet.read("a", 1)
        await self.fleet.relays["b"].append("config", [b"first"])
        self.fleet.cut_hosts.clear()
        await self.fleet.relays["a"].start()
        self.addAsyncCleanup(self.fleet.relays["a"].stop)
        await wait_until(lambda: self.fleet.boards["a"].log_in_reach, "the probe")
        await self.fleet.relays["c"].append("config", [b"second"])
        self.fleet.stop_replies("b", "c")
        self.assertEqual((await self.fleet.read("a", 1))[0], b"first")

    async def test_budgets_wait_for_hosts_declared_lost(self) -> None:
        """Guard against tokens spent twice because an operator declared hosts lost."""
        board = self.fleet.boards["a"]
        self.fleet.stop_replies("b", "c")
        board.declared_lost = dict.fromkeys(("b", "c"), float("inf"))
        skippable = []
        for stream in ("config", "ledger-0"):
            board.streams[stream] = StreamStatus(next_offset=1)
            skippable.append(await self.fleet.relays["a"].may_skip_record(stream, 1))
        self.assertEqual(skippable, [True, False])

    async def test_record_is_read_from_the_one_host_that_has_it(self) -> None:
        """Guard against a peer's empty reply that ends the search for a dropped record.

        Two hosts append a change each, and the log drops the first. A peer that reached
        the log and had nothing newer replied without records; this counted as the end
        of the log before the host that has the first change was called.
        """
        await self.fleet.relays["a"].append("config", [b"base"])
        for name in self.fleet.relays:
            self.assertEqual(await self.fleet.read(name, 0), [b"base"])
        await self.fleet.relays["a"].append("config", [b"first"])
        await self.fleet.relays["b"].append("config", [b"second"])
        for name in ("c", "b", "a"):
            records = await self.fleet.read(name, 1)
            self.assertEqual(records[0], b"first", name)


class FailingLinks:
    """Fail each call, and remove all peers from the list at the first one."""

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board

    def get_link(self, url: str) -> "FailingLinks":
        """Return the link to any peer."""
        return self

    async def call(self, message: object, *, timeout_s: float) -> object:
        """Remove all peers and fail as if none replied."""
        self._board.listed.clear()
        raise PeerUnavailableError("no reply")
