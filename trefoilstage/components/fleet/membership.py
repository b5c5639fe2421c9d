"""Know the other hosts, hear from them, and share what each has read."""

import asyncio
import random
from collections.abc import Callable, Mapping

from mode import Service
from pydantic import ValidationError

from trefoilstage.components.escrow.messages import SealHome, SealReply
from trefoilstage.components.fleet.known_hosts import HostRecord, KnownHosts
from trefoilstage.components.fleet.messages import (
    HostBeat,
    ReadView,
    ViewReply,
)
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.follower import ViewFollower
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Store, StoreUnavailableError, Topic
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService

BEAT_S = 0.5
BEAT_TIMEOUT_S = 0.9
ANNOUNCE_RETRY_S = 0.5
# Of a large fleet only some hosts are called each beat. Called in turn, each of 66
# would be heard every 8 s only, and homes of accounts would move all the time; so
# the heartbeats of a large fleet pass on when each other host was heard.
PEERS_PER_BEAT = 2
# A host that left a call unanswered gets none until it was heard directly. Called by
# lot only, the home of a workspace would stay out of use for half a minute.
FAILED_PER_BEAT = 4
# When a large fleet starts, each host reads of hundreds of others within seconds. With
# beats at each record, the start of all hosts costs the square of their number.
RECORDS_PAUSE_S = 0.25


class FleetMembership(Service):
    """Announce this host, watch the others and relay what the store said."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        followers: Mapping[Topic, ViewFollower],
        address: str,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._links = links
        self._server = server
        self._timer = timer
        self._followers = followers
        self._address = address
        self._generator = generator
        self._announced_at = -1
        self._hosts = KnownHosts(board=board)
        self._beat_is_due = False
        self._calls: set[str] = set()  # peers that are asked how they stand
        server.register(HostBeat, self._answer_beat)
        server.register(ReadView, self._answer_view)

    @property
    def peer_url(self) -> str:
        """Return where peers reach this host."""
        return f"ws://{self._address}:{self._server.port}"

    async def on_start(self) -> None:
        """Announce this host and start to beat."""
        self._unsubscribe = self._timer.subscribe(
            name="beats", interval_s=BEAT_S, callback=self._beat
        )
        self.add_future(self._announce())

    async def on_stop(self) -> None:
        """Stop beating."""
        self._unsubscribe()

    def take_records(self, records: list[KeyedRecord]) -> None:
        """Take in hosts' records of the store."""
        for record in records:
            if record.key == self._board.host:
                continue
            if record.value is None:
                self._hosts.forget(record.key)
                continue
            try:
                wire = HostRecord.model_validate_json(record.value)
            except ValidationError:
                log_event(Event.RECORD_MALFORMED, topic=Topic.HOSTS, key=record.key)
                continue
            self._hosts.take_record(record.key, wire, record.offset)
        if not self._board.is_large():
            self.beat_soon()
        elif not self._beat_is_due:
            self._beat_is_due = True
            self.add_future(self._beat_later())

    async def _beat_later(self) -> None:
        await asyncio.sleep(RECORDS_PAUSE_S)
        self._beat_is_due = False
        await self._beat()

    def list_live(self) -> tuple[str, ...]:
        """Return the hosts that answer and serve, this one among them."""
        return self._hosts.list_live(self._timer.now())

    def count_hosts(self) -> int:
        """Return how many hosts share the fleet's limits."""
        return len(self._board.peers) + 1

    def has_met_all(self) -> bool:
        """Tell whether every host that the store names was heard."""
        return self._hosts.has_met_all()

    def beat_soon(self) -> None:
        """Tell the peers at once how this host stands."""
        self.add_future(self._beat())

    def set_seal_handler(self, seal: Callable[[SealHome], SealReply]) -> None:
        """Answer peers that ask what an ended home granted to this host."""

        async def answer(message: SealHome) -> SealReply:
            return seal(message)

        self._server.register(SealHome, answer)

    async def ask_seal(self, host: str, message: SealHome) -> SealReply | None:
        """Ask a host about an ended home; return None if it does not answer."""
        peer = self._board.peers.get(host)
        if peer is None:
            return None
        try:
            link = self._links.get_link(peer.peer_url)
            reply = await link.call(message, timeout_s=BEAT_TIMEOUT_S)
        except PeerUnavailableError:
            return None
        return reply if isinstance(reply, SealReply) else None

    def confirm(self, host: str) -> None:
        """Ask a host of a large fleet which incarnation it runs, outside the beats.

        Called by lot, a host that started again would stay unconfirmed for half a
        minute, and what its predecessor had drawn be missing for as long.
        """
        peer = self._board.peers.get(host)
        if peer is None or host in self._calls or not self._board.is_large():
            return
        self._calls.add(host)
        self.add_future(self._confirm_peer(peer))

    async def _confirm_peer(self, peer: PeerState) -> None:
        try:
            await self._beat_peer(peer)
        finally:
            self._calls.discard(peer.host)

    async def withdraw(self) -> None:
        """Take this host's record out of the store."""
        try:
            await self._store.put(Topic.HOSTS, self._board.host, None)
        except StoreUnavailableError as error:
            # A successor overwrites the record, and a host that is silent gets
            # no work, so a stale record costs a heartbeat only.
            log_event(Event.STORE_WRITE_FAILED, topic=Topic.HOSTS, error=str(error))

    async def _announce(self) -> None:
        record = HostRecord(
            incarnation=self._board.incarnation,
            peer_url=self.peer_url,
            data_center=self._board.data_center,
        )
        while True:
            try:
                offset = await self._store.put(
                    Topic.HOSTS, self._board.host, record.model_dump_json().encode()
                )
                self._announced_at = -1 if offset is None else offset
                return
            except StoreUnavailableError:
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def _beat(self) -> None:
        for peer in self.pick_called():
            self.add_future(self._beat_peer(peer))

    def pick_called(self) -> list[PeerState]:
        """Return the peers to call in this beat: all, or a few of a large fleet."""
        peers = list(self._board.peers.values())
        if not self._board.is_large():
            return peers
        called = self._generator.sample(peers, PEERS_PER_BEAT)
        # Others have heard of them since; of a host that has ended nobody does.
        now = self._timer.now()
        failed = [
            peer
            for peer in peers
            if peer.failed
            and now - peer.last_heard <= self._hosts.silent_s
            and peer not in called
        ]
        n_failed = min(FAILED_PER_BEAT, len(failed))
        return called + self._generator.sample(failed, n_failed)

    async def _beat_peer(self, peer: PeerState) -> None:
        link = self._links.get_link(peer.peer_url)
        started = self._timer.now()
        try:
            reply = await link.call(self._make_beat(), timeout_s=BEAT_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, HostBeat):
            await self._take_beat(reply)
            self._hosts.note_confirmed(reply, started)

    async def _answer_beat(self, beat: HostBeat) -> HostBeat:
        self.add_future(self._take_beat(beat))
        return self._make_beat(beat)

    def _make_beat(self, answered: HostBeat | None = None) -> HostBeat:
        """Return what this host tells a peer, in an answer by the caller's table."""
        beat = HostBeat(
            host=self._board.host,
            incarnation=self._board.incarnation,
            peer_url=self.peer_url,
            data_center=self._board.data_center,
            serving=self._board.phase is Phase.SERVING,
            store_in_reach=not self._board.store.out_of_reach,
            link_full=self._board.is_link_full(self._timer.now()),
            untouched=self._board.untouched,
            announced_at=self._announced_at,
            next_offsets={
                topic: follower.view.next_offset
                for topic, follower in self._followers.items()
            },
        )
        return self._hosts.add_heard(beat, answered, self._timer.now())

    async def _take_beat(self, beat: HostBeat) -> None:
        if beat.host == self._board.host:
            return
        peer = self._hosts.take_beat(beat, self._timer.now())
        if peer is None:
            return
        for topic, offset in beat.next_offsets.items():
            await self._catch_up(peer, topic, offset)

    async def _catch_up(self, peer: PeerState, topic: Topic, offset: int) -> None:
        # Targets and hosts change all the time; a peer is asked for them only when
        # the store is silent. A configuration is always worth asking for.
        follower = self._followers[topic]
        wanted = topic is Topic.CONFIGURATION or self._board.store.out_of_reach
        if not wanted or offset <= follower.view.next_offset:
            return
        link = self._links.get_link(peer.peer_url)
        request = ReadView(topic=topic, since=follower.view.next_offset)
        try:
            reply = await link.call(request, timeout_s=BEAT_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, ViewReply):
            log_event(Event.VIEW_RELAYED, topic=topic, peer=peer.host, offset=offset)
            follower.merge(reply.records)

    async def _answer_view(self, message: ReadView) -> ViewReply:
        view = self._followers[message.topic].view
        return ViewReply(records=view.list_since(message.since))
