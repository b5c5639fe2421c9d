"""Test sends through peers over real connections."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import Any, cast
from unittest import mock

from bench.emulator.limits import ANSWER_HEAD
from tests.components.boards import make_board
from tests.components.forwarding.common import REQUEST, make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends import sender as peer_sender
from trefoilstage.components.peer_sends import server
from trefoilstage.components.peer_sends.messages import MAX_BODY_BYTES
from trefoilstage.components.peer_sends.path import PathSender
from trefoilstage.components.peer_sends.sender import PeerSender
from trefoilstage.components.peer_sends.server import PeerSendServer
from trefoilstage.components.peers import streams
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.streams import PeerStreams
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

LOOPBACK = "127.0.0.1"
TARGET = make_target("i-1", started_ms=5)
OPTIONS = ForwardOptions(workspace="school", deadline_s=5.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class ScriptedAnswer(OpenAnswer):
    """Yield parts of a body, then wait or break off if told to."""

    parts: tuple[bytes, ...]
    breaks: bool = False
    hangs: bool = False
    closed: asyncio.Event

    async def read(self) -> AsyncIterator[bytes]:
        for part in self.parts:
            yield part
        if self.hangs:
            await asyncio.Event().wait()
        if self.breaks:
            raise AnswerBrokenError("reset")

    def close(self) -> None:
        self.closed.set()


@dataclass(kw_only=True)
class Peer:
    """Serve sends of another host, with an answer that the test sets."""

    name: str
    outcome: Any = None
    reaches_targets: bool = True
    delay_s: float = 0.0  # until the target answers
    usable: TargetEntry | None = TARGET
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    board: FleetBoard = field(default_factory=lambda: make_board("peer", ["peer"]))
    requests: list[CallerRequest] = field(default_factory=list)

    async def start(self) -> None:
        """Listen for sends."""
        self.board.targets.apply_entry(TARGET)
        self.server = PeerServer(address=LOOPBACK, port=0, codec=FLEET_CODEC)
        self.sends = PeerSendServer(
            board=self.board,
            chooser=cast(Any, self),
            monitor=cast(Any, self),
            sender=cast(Any, self),
            server=self.server,
            timer=TimerService(),
        )
        await self.server.on_start()

    @property
    def url(self) -> str:
        return f"ws://{LOOPBACK}:{self.server.port}"

    def is_confirmed(self, service: str) -> bool:
        return self.reaches_targets

    def find_usable(self, incarnation: str) -> TargetEntry | None:
        return self.usable

    def record_outcome(self, *_: object) -> None: ...

    def record_answer(self, *_: object) -> None: ...

    async def send(self, request: CallerRequest, *_: object) -> SendOutcome:
        self.requests.append(request)
        await asyncio.sleep(self.delay_s)
        if self.outcome is None:
            await asyncio.Event().wait()
        return cast(SendOutcome, self.outcome)


class PeerSendsTest(unittest.IsolatedAsyncioTestCase):
    """Send a request of host-0 through its peers."""

    async def asyncSetUp(self) -> None:
        self.peers = [Peer(name="host-1"), Peer(name="host-2")]
        names = ["host-0", *(peer.name for peer in self.peers)]
        self.board = make_board("host-0", names)
        for peer in self.peers:
            await peer.start()
            self.addAsyncCleanup(peer.server.on_stop)
            self.board.peers[peer.name].peer_url = peer.url
        peer_streams = PeerStreams(outbound_address=LOOPBACK, codec=FLEET_CODEC)
        self.addAsyncCleanup(peer_streams.on_stop)
        self.sender = PeerSender(
            board=self.board,
            membership=mock.Mock(list_live_hosts=lambda: tuple(names)),
            streams=peer_streams,
            timer=TimerService(),
            generator=random.Random(1),
        )

    def make_answer(self, peer: Peer, *parts: bytes, **more: bool) -> ScriptedAnswer:
        return ScriptedAnswer(
            head=ANSWER_HEAD,
            headers=[("X", "1"), ("X", "2")],
            parts=parts,
            closed=peer.closed,
            **more,
        )

    def keep_only(self, peer: Peer) -> None:
        """Let all other peers say that they reach no target."""
        for other in self.peers:
            lost = () if other is peer else (TARGET.service,)
            self.board.peers[other.name].lost_services = lost

    async def send(self, body: bytes = b"{}") -> SendOutcome:
        return await self.sender.send(
            replace(REQUEST, key="secret"), body, TARGET, OPTIONS
        )

    async def send_and_open(self) -> OpenAnswer:
        outcome = await self.send()
        assert isinstance(outcome, OpenAnswer)
        return outcome

    async def test_answer_arrives_whole_and_without_the_key_at_the_peer(self) -> None:
        """Guard against lost parts, lost headers and keys that travel."""
        for peer in self.peers:
            peer.outcome = self.make_answer(peer, b"one", b"two")
        for _ in range(3):
            answer = await self.send_and_open()
            self.assertEqual(answer.head, ANSWER_HEAD)
            self.assertEqual(answer.headers, [("X", "1"), ("X", "2")])
            self.assertEqual([part async for part in answer.read()], [b"one", b"two"])
            answer.close()
        keys = {item.key for peer in self.peers for item in peer.requests}
        self.assertEqual(keys, {""})

    async def test_peer_says_whether_it_knows_which_start_answered(self) -> None:
        """Guard against a restarted target that answers through a peer unnoticed."""
        self.keep_only(self.peers[0])
        self.peers[0].board.targets.proofs.record_start(TARGET, 1.0)
        for connected_at in (1.0, 2.0):
            answer = self.make_answer(self.peers[0], b"one")
            self.peers[0].outcome = replace(answer, connected_at=connected_at)
            opened = await self.send_and_open()
            is_proven = opened.connected_at == float("-inf")
            self.assertEqual(is_proven, connected_at == 1.0)
            opened.close()

    async def test_broken_answer_is_broken_for_the_caller(self) -> None:
        """Guard against an answer that ends early and looks complete."""
        self.keep_only(self.peers[0])
        self.peers[0].outcome = self.make_answer(self.peers[0], b"one", breaks=True)
        answer = await self.send_and_open()
        with self.assertRaises(AnswerBrokenError):
            [part async for part in answer.read()]

    async def test_peer_that_is_cut_too_is_passed_over(self) -> None:
        """Guard against requests refused while another peer reaches the targets."""
        self.peers[0].reaches_targets = False
        self.peers[1].outcome = self.make_answer(self.peers[1], b"one")
        for _ in range(4):
            self.assertIsInstance(await self.send(), OpenAnswer)
        self.assertEqual(self.peers[0].requests, [])

    async def test_request_is_refused_at_once_if_no_peer_reaches_targets(self) -> None:
        """Guard against requests that wait until their deadline."""
        for peer in self.peers:
            peer.reaches_targets = False
        outcome = await self.send()
        self.assertTrue(isinstance(outcome, NotRun) and outcome.path_lost)

    async def test_peer_sends_nothing_to_a_target_that_it_does_not_use(self) -> None:
        """Guard against requests to targets that asked that peer for rest or left."""
        for peer in self.peers:
            peer.usable = None
        outcome = await self.send()
        self.assertTrue(isinstance(outcome, NotRun) and not outcome.path_lost)
        self.assertEqual([peer.requests for peer in self.peers], [[], []])

    async def test_request_may_have_run_at_a_peer_that_is_lost(self) -> None:
        """Guard against a second run of a request that may run once."""
        self.keep_only(self.peers[0])
        sending = asyncio.create_task(self.send())
        while not self.peers[0].requests:
            await asyncio.sleep(0.01)
        await self.peers[0].server.on_stop()
        self.assertIsInstance(await sending, InvalidAnswer)
        self.assertEqual(self.peers[1].requests, [])

    async def test_silent_peer_is_taken_for_lost(self) -> None:
        """Guard against answers that hang at a peer whose connection went silent."""
        self.keep_only(self.peers[0])
        self.peers[0].outcome = self.make_answer(self.peers[0], b"one", hangs=True)
        with mock.patch.object(peer_sender, "SILENCE_TIMEOUT_S", 0.1):
            answer = await self.send_and_open()
            with self.assertRaises(AnswerBrokenError):
                [part async for part in answer.read()]

    async def test_peer_of_a_slow_target_is_not_taken_for_lost(self) -> None:
        """Guard against prompts that end as their target reads them for long."""
        peer = self.peers[0]
        self.keep_only(peer)
        peer.outcome = self.make_answer(peer, b"one")
        peer.delay_s = 0.4
        with (
            mock.patch.object(peer_sender, "SILENCE_TIMEOUT_S", 0.2),
            mock.patch.object(server, "PENDING_INTERVAL_S", 0.05),
        ):
            answer = await self.send_and_open()
            self.assertEqual([part async for part in answer.read()], [b"one"])

    async def test_peer_that_stops_waits_for_what_it_sends(self) -> None:
        """Guard against requests cut off by the planned stop of a peer."""
        peer = self.peers[0]
        self.keep_only(peer)
        peer.outcome = self.make_answer(peer, b"one")
        peer.delay_s = 0.2
        sending = asyncio.create_task(self.send())
        while not peer.requests:
            await asyncio.sleep(0.01)
        self.assertEqual(peer.sends.n_active, 1)
        await peer.sends.drain(5.0)
        await peer.server.on_stop()
        self.assertIsInstance(await sending, OpenAnswer)

    async def test_peer_that_stops_takes_no_request_that_may_outlast_it(self) -> None:
        """Guard against requests that a stopping peer accepts and then cuts off."""
        asked_first, other = self.peers
        self.board.peers[asked_first.name].lost_services = ()
        now = asyncio.get_running_loop().time()
        asked_first.board.shutdown = ShutdownSchedule(started_at=now, grace_s=8.0)
        other.outcome = self.make_answer(other, b"one")
        options = replace(OPTIONS, deadline_s=15.0)
        async with asyncio.timeout(2.0):
            outcome = await self.sender.send(REQUEST, b"{}", TARGET, options)
        self.assertIsInstance(outcome, OpenAnswer)
        self.assertEqual([len(peer.requests) for peer in self.peers], [0, 1])

    async def test_stopping_peer_takes_a_request_that_ends_before_it(self) -> None:
        """Guard against refusals of short requests while all other peers are cut."""
        peer = self.peers[0]
        self.keep_only(peer)
        now = asyncio.get_running_loop().time()
        peer.board.shutdown = ShutdownSchedule(started_at=now, grace_s=8.0)
        peer.outcome = self.make_answer(peer, b"one")
        options = replace(OPTIONS, deadline_s=1.0)
        outcome = await self.sender.send(REQUEST, b"{}", TARGET, options)
        self.assertIsInstance(outcome, OpenAnswer)

    async def test_closed_answer_is_cancelled_at_the_target(self) -> None:
        """Guard against targets that work on for callers who have left."""
        self.keep_only(self.peers[0])
        self.peers[0].outcome = self.make_answer(self.peers[0], b"one", hangs=True)
        answer = await self.send_and_open()
        answer.close()
        async with asyncio.timeout(2.0):
            await self.peers[0].closed.wait()

    async def test_request_is_refused_soon_if_all_peers_are_silent(self) -> None:
        """Guard against a host cut from everything that tries one peer after another.

        A request that was not sent is not told as possibly run.
        """
        open_stream = mock.AsyncMock(side_effect=PeerUnavailableError("silent"))
        with (
            mock.patch.object(self.sender._streams, "open", open_stream),
            mock.patch.object(peer_sender, "MAX_ASK_S", 0.0),
        ):
            outcome = await self.send()
        self.assertTrue(isinstance(outcome, NotRun) and outcome.path_lost)
        open_stream.assert_not_awaited()

    async def test_header_that_is_no_text_fails_only_its_request(self) -> None:
        """Guard against an error of the encoder that reaches the caller's handler."""
        request = replace(REQUEST, headers=(("X", "\udc80"),))
        outcome = await self.sender.send(request, b"", TARGET, OPTIONS)
        self.assertTrue(isinstance(outcome, NotRun) and not outcome.unreachable)

    async def test_idle_connections_are_closed(self) -> None:
        """Guard against descriptors used up by connections to hundreds of peers."""
        self.peers[0].outcome = self.make_answer(self.peers[0], b"one")
        self.keep_only(self.peers[0])
        with mock.patch.object(streams, "MAX_IDLE_S", 0.05):
            answer = await self.send_and_open()
            self.assertEqual([part async for part in answer.read()], [b"one"])
            idle = self.sender._streams._idle[self.peers[0].url]
            self.assertEqual(len(idle), 1)
            await asyncio.sleep(0.1)
            self.assertEqual(idle, [])

    async def test_body_above_the_limit_of_messages_is_refused(self) -> None:
        """Guard against a body that ends the connection to the peer."""
        outcome = await self.send(b"x" * (MAX_BODY_BYTES + 1))
        self.assertTrue(isinstance(outcome, NotRun) and outcome.path_lost)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Test which path a request takes."""

    async def send(
        self, *, direct: SendOutcome, is_confirmed: bool, becomes_confirmed: bool
    ) -> tuple[SendOutcome, int]:
        """Return the outcome, and how many sends went through peers."""
        through_peers = mock.AsyncMock()
        through_peers.send.return_value = InvalidAnswer(reason="through a peer")
        path = PathSender(
            monitor=mock.Mock(
                is_confirmed=lambda service: is_confirmed,
                is_lost=lambda service: not is_confirmed,
                wait_until_confirmed=mock.AsyncMock(return_value=becomes_confirmed),
            ),
            direct=mock.Mock(send=mock.AsyncMock(return_value=direct)),
            through_peers=through_peers,
        )
        outcome = await path.send(REQUEST, b"", TARGET, OPTIONS)
        return outcome, through_peers.send.await_count

    async def test_target_that_is_down_is_not_tried_through_a_peer(self) -> None:
        """Guard against callers who wait twice for a target that is down."""
        refused = NotRun(reason="refused", unreachable=True)
        outcome, n_through_peers = await self.send(
            direct=refused, is_confirmed=True, becomes_confirmed=True
        )
        self.assertEqual((outcome, n_through_peers), (refused, 0))

    async def test_first_request_after_a_cut_goes_through_a_peer(self) -> None:
        """Guard against the loss of the requests by which a host notices a cut."""
        refused = NotRun(reason="refused", unreachable=True)
        _, n_through_peers = await self.send(
            direct=refused, is_confirmed=True, becomes_confirmed=False
        )
        self.assertEqual(n_through_peers, 1)

    async def test_request_that_may_have_run_is_not_sent_again(self) -> None:
        """Guard against a second run over the other path."""
        broken = InvalidAnswer(reason="reset")
        outcome, n_through_peers = await self.send(
            direct=broken, is_confirmed=True, becomes_confirmed=False
        )
        self.assertEqual((outcome, n_through_peers), (broken, 0))


if __name__ == "__main__":
    unittest.main()
