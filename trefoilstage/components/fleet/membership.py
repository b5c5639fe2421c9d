"""Know the other hosts, hear from them, and share what each has read."""

import asyncio
from collections.abc import Callable, Mapping

from mode import Service
from pydantic import BaseModel, ValidationError

from trefoilstage.components.escrow.messages import SealHome, SealReply
from trefoilstage.components.fleet.messages import HostBeat, ReadView, ViewReply
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
# Three beats: one lost datagram's retransmission takes up to two.
SILENT_S = 1.5
BEAT_TIMEOUT_S = 0.9
ANNOUNCE_RETRY_S = 0.5
# Eight peers are called each beat; of more, the interval grows in proportion,
# so that a host's cost does not grow with the fleet.
PEERS_PER_BEAT = 8


class HostRecord(BaseModel):
    """Check a host's record in the store."""

    incarnation: str
    peer_url: str
    data_center: str


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
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._links = links
        self._server = server
        self._timer = timer
        self._followers = followers
        self._address = address
        self._next_peer = 0
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
                self._board.peers.pop(record.key, None)
                continue
            try:
                wire = HostRecord.model_validate_json(record.value)
            except ValidationError:
                log_event(Event.RECORD_MALFORMED, topic=Topic.HOSTS, key=record.key)
                continue
            self._meet(
                record.key, wire.incarnation, wire.peer_url, wire.data_center, False
            )
        self.beat_soon()

    def list_live(self) -> list[str]:
        """Return the hosts that answer and serve, this one among them."""
        return self._board.list_live_hosts(self._timer.now(), SILENT_S)

    def count_hosts(self) -> int:
        """Return how many hosts share the fleet's limits."""
        return len(self._board.peers) + 1

    def has_met_all(self) -> bool:
        """Tell whether every host that the store names was heard."""
        return all(
            peer.last_heard > float("-inf") for peer in self._board.peers.values()
        )

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

    async def withdraw(self) -> None:
        """Take this host's record out of the store."""
        try:
            await self._store.put(Topic.HOSTS, self._board.host, None)
        except StoreUnavailableError as error:
            # A successor overwrites the record, and a host that is silent gets
            # no work, so a stale record costs a heartbeat only.
            log_event(Event.STORE_WRITE_FAILED, topic=Topic.HOSTS, error=str(error))

    def _meet(
        self, host: str, incarnation: str, peer_url: str, data_center: str, beat: bool
    ) -> PeerState:
        known = self._board.peers.get(host)
        if known is not None:
            # A record in the store may be older than what the host said itself.
            was_heard = known.last_heard > float("-inf")
            if known.incarnation == incarnation or (was_heard and not beat):
                return known
        state = PeerState(
            host=host,
            incarnation=incarnation,
            peer_url=peer_url,
            data_center=data_center,
        )
        self._board.peers[host] = state
        log_event(Event.PEER_MET, peer=host, peer_incarnation=incarnation)
        return state

    async def _announce(self) -> None:
        record = HostRecord(
            incarnation=self._board.incarnation,
            peer_url=self.peer_url,
            data_center=self._board.data_center,
        )
        while True:
            try:
                await self._store.put(
                    Topic.HOSTS, self._board.host, record.model_dump_json().encode()
                )
                return
            except StoreUnavailableError:
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def _beat(self) -> None:
        peers = sorted(self._board.peers.values(), key=lambda peer: peer.host)
        if len(peers) > PEERS_PER_BEAT:
            start = self._next_peer % len(peers)
            self._next_peer += PEERS_PER_BEAT
            peers = (peers + peers)[start : start + PEERS_PER_BEAT]
        for peer in peers:
            self.add_future(self._beat_peer(peer))

    async def _beat_peer(self, peer: PeerState) -> None:
        link = self._links.get_link(peer.peer_url)
        started = self._timer.now()
        try:
            reply = await link.call(self._make_beat(), timeout_s=BEAT_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, HostBeat):
            await self._take_beat(reply)
            self._confirm(reply, started)

    def _confirm(self, reply: HostBeat, started: float) -> None:
        known = self._board.peers.get(reply.host)
        if known is not None and known.incarnation == reply.incarnation:
            known.confirmed_at = max(known.confirmed_at, started)

    async def _answer_beat(self, beat: HostBeat) -> HostBeat:
        self.add_future(self._take_beat(beat))
        return self._make_beat()

    def _make_beat(self) -> HostBeat:
        return HostBeat(
            host=self._board.host,
            incarnation=self._board.incarnation,
            peer_url=self.peer_url,
            data_center=self._board.data_center,
            serving=self._board.phase is Phase.SERVING,
            store_in_reach=not self._board.store.out_of_reach,
            untouched=self._board.untouched,
            next_offsets={
                topic: follower.view.next_offset
                for topic, follower in self._followers.items()
            },
        )

    async def _take_beat(self, beat: HostBeat) -> None:
        if beat.host == self._board.host:
            return
        peer = self._meet(
            beat.host, beat.incarnation, beat.peer_url, beat.data_center, True
        )
        now = self._timer.now()
        if now - peer.last_heard > SILENT_S:
            log_event(Event.PEER_BACK, peer=beat.host)
        peer.last_heard = now
        peer.failed = False
        peer.serving = beat.serving
        peer.store_in_reach = beat.store_in_reach
        peer.untouched = beat.untouched
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
