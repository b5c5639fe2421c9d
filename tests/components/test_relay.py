"""Test reading what the log dropped before anybody could read it."""

import random
import unittest

from tests.components.relays import RelayFleet, ShortLog
from tests.components.test_stream import wait_until
from trefoilstage.blackboard import Blackboard, ListedHost, StreamStatus
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import FRAME_CODEC
from trefoilstage.components.peers.relay import RelayedLog
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import (
    LogUnavailableError,
    PeerUnavailableError,
    RecordsExpiredError,
)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Test a relayed log without peers."""

    async def test_group_that_outlives_itself_is_read(self) -> None:
        """Append a checkpoint and a change at once to a log that keeps one record.

        The log drops the first as it takes the second. No host can read it, so all
        would wait before the gap, and the operator would get no verdict.
        """
        relay = RelayedLog(
            client=ShortLog(),  # type: ignore[arg-type]
            blackboard=Blackboard(host="h", incarnation="h-1", data_center="brest"),
            links=PeerLinks(outbound_address="127.0.0.1", codec=FRAME_CODEC),
            server=PeerServer(address="127.0.0.1", port=0, codec=FRAME_CODEC),
            timeout_s=1.0,
            generator=random.Random(1),
        )
        await relay.append("config", [b"checkpoint", b"change"])
        page = await relay.read("config", 0, wait_s=0.0)
        found = [(record.offset, record.data) for record in page.records]
        self.assertEqual(found, [(0, b"checkpoint"), (1, b"change")])
        # What another host appended before that is gone for good.
        await relay.append("config", [b"later"])
        with self.assertRaises(RecordsExpiredError):
            await relay.read("ledger-0", 0, wait_s=0.0)

    async def test_peer_lost_while_another_is_asked_is_passed_over(self) -> None:
        """Cut a host from the log and ask two peers, of which the second is lost.

        The first does not answer, and while it is waited for the second is taken off
        the list. The host must go on without a page; it ended instead, with all its
        callers' requests.
        """
        board = Blackboard(host="h", incarnation="h-1", data_center="brest")
        for name in ("a", "b"):
            board.listed[name] = ListedHost(host=name, peer_url=f"ws://{name}")
        relay = RelayedLog(
            client=ShortLog(),  # type: ignore[arg-type]
            blackboard=board,
            links=LosingLinks(board=board),  # type: ignore[arg-type]
            server=PeerServer(address="127.0.0.1", port=0, codec=FRAME_CODEC),
            timeout_s=1.0,
            generator=random.Random(1),
        )
        with self.assertRaises(LogUnavailableError):
            await relay._read_from_peers("config", 0)


class ExpiredTest(unittest.IsolatedAsyncioTestCase):
    """Test reading what one host appended and the log dropped at once."""

    def setUp(self) -> None:
        self.fleet = RelayFleet(names=("a", "b", "c"))

    async def test_record_appended_for_a_peer_is_read(self) -> None:
        """Append a change through a peer, then a checkpoint, to a log that keeps one.

        After an outage hosts find the log again one by one, and the first appends for
        the others. The change is gone as the checkpoint is taken. Nobody kept it: all
        hosts logged `state_expired offset=4 earliest=5`, none was caught up, so none
        gave the others a state, and an operator got no verdict for 30 s and more.
        """
        await self.fleet.read_all(0)
        self.fleet.cut_off("b")
        await self.fleet.relays["b"].append("config", [b"change"])
        await self.fleet.relays["a"].append("config", [b"checkpoint"])
        self.fleet.cut.clear()
        for name in self.fleet.relays:
            records = await self.fleet.read(name, 0)
            self.assertEqual(records[0], b"change", name)

    async def test_record_that_only_a_probe_has_read_is_folded(self) -> None:
        """Guard against a host that seeks elsewhere what it holds itself."""
        await self.fleet.relays["a"].append("config", [b"base"])
        await self.fleet.read_all(0)
        self.fleet.cut_off("a")
        await self.fleet.read("a", 1)
        await self.fleet.relays["b"].append("config", [b"first"])
        self.fleet.cut.clear()
        await self.fleet.relays["a"].start()
        self.addAsyncCleanup(self.fleet.relays["a"].stop)
        await wait_until(lambda: self.fleet.boards["a"].log_in_reach, "the probe")
        await self.fleet.relays["c"].append("config", [b"second"])
        self.fleet.silence("b", "c")
        self.assertEqual((await self.fleet.read("a", 1))[0], b"first")

    async def test_budgets_wait_for_hosts_declared_lost(self) -> None:
        """Guard against tokens spent twice upon an operator's word."""
        board = self.fleet.boards["a"]
        self.fleet.silence("b", "c")
        board.declared_lost = dict.fromkeys(("b", "c"), float("inf"))
        passed = []
        for stream in ("config", "ledger-0"):
            board.streams[stream] = StreamStatus(next_offset=1)
            passed.append(await self.fleet.relays["a"].is_lost(stream, 1))
        self.assertEqual(passed, [True, False])

    async def test_record_is_read_from_the_one_host_that_has_it(self) -> None:
        """Append a change at one host, then another at a second one.

        The log drops the first. A third host asks for it: peers that reach the log and
        have nothing newer said so, and their answer was taken for the end of the log
        before the host that holds the change was asked.
        """
        await self.fleet.relays["a"].append("config", [b"base"])
        for name in self.fleet.relays:
            self.assertEqual(await self.fleet.read(name, 0), [b"base"])
        await self.fleet.relays["a"].append("config", [b"first"])
        await self.fleet.relays["b"].append("config", [b"second"])
        for name in ("c", "b", "a"):
            records = await self.fleet.read(name, 1)
            self.assertEqual(records[0], b"first", name)


class LosingLinks:
    """Lose every peer as soon as the first one is called."""

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board

    def get_link(self, url: str) -> "LosingLinks":
        """Return the link to any peer."""
        return self

    async def call(self, message: object, *, timeout_s: float) -> object:
        """Lose all peers and answer nothing."""
        self._board.listed.clear()
        raise PeerUnavailableError("silent")
