"""Know the other hosts, hear from them, and share what each has read."""

import asyncio
import random
from collections.abc import Callable, Mapping

from mode import Service
from pydantic import BaseModel, ValidationError

from trefoilstage.components.escrow.messages import SealHome, SealReply
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
# Three beats: one lost datagram's retransmission takes up to two.
SILENT_S = 1.5
# In a large fleet most is heard through others. With two calls a beat from each of 66
# hosts, none was heard longer than 1.5 s ago in 20 s of beats (played without faults).
SILENT_LARGE_S = 3.0
BEAT_TIMEOUT_S = 0.9
ANNOUNCE_RETRY_S = 0.5
# Of more peers than this only some are called each beat, so that a host's cost does not
# grow with the square of the fleet. Called in turn, each of 66 would be heard every 8 s
# only, and homes of accounts would move all the time; so the heartbeats of a large
# fleet pass on when each other host was heard.
MAX_CALLED_PEERS = 12
PEERS_PER_BEAT = 2
MS_PER_S = 1000


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
        return self._board.list_live_hosts(self._timer.now(), self._get_silent_s())

    def _get_silent_s(self) -> float:
        return SILENT_LARGE_S if self._is_large() else SILENT_S

    def _is_large(self) -> bool:
        return len(self._board.peers) > MAX_CALLED_PEERS

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
        for peer in self.pick_called():
            self.add_future(self._beat_peer(peer))

    def pick_called(self) -> list[PeerState]:
        """Return the peers to call in this beat: all, or a few of a large fleet."""
        peers = list(self._board.peers.values())
        if not self._is_large():
            return peers
        return self._generator.sample(peers, PEERS_PER_BEAT)

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
            heard_ms=self._list_heard(),
            not_serving=self._list_names(lambda peer: not peer.serving),
            without_store=self._list_names(lambda peer: not peer.store_in_reach),
            next_offsets={
                topic: follower.view.next_offset
                for topic, follower in self._followers.items()
            },
        )

    def _list_heard(self) -> dict[str, int]:
        """Return how many ms ago other hosts were heard, for peers not called."""
        if not self._is_large():
            return {}
        now = self._timer.now()
        return {
            peer.host: int((now - peer.last_heard) * MS_PER_S)
            for peer in self._board.peers.values()
            if now - peer.last_heard < SILENT_LARGE_S
        }

    def _list_names(self, is_meant: Callable[[PeerState], bool]) -> tuple[str, ...]:
        if not self._is_large():
            return ()
        return tuple(p.host for p in self._board.peers.values() if is_meant(p))

    def _take_heard(self, beat: HostBeat) -> None:
        """Take in what a peer passes on, where this host has heard nothing newer."""
        now = self._timer.now()
        for host, age_ms in beat.heard_ms.items():
            peer = self._board.peers.get(host)
            at = now - age_ms / MS_PER_S
            if peer is None or at <= peer.last_heard:
                # The store tells of a host that is new.
                continue
            peer.last_heard = at
            peer.serving = host not in beat.not_serving
            peer.store_in_reach = host not in beat.without_store

    async def _take_beat(self, beat: HostBeat) -> None:
        if beat.host == self._board.host:
            return
        self._take_heard(beat)
        peer = self._meet(
            beat.host, beat.incarnation, beat.peer_url, beat.data_center, True
        )
        now = self._timer.now()
        if now - peer.last_heard > self._get_silent_s():
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
