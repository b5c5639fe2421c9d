"""Exchange heartbeats with the other hosts of a fleet, and records of the store."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from mode import Service
from pydantic import ValidationError

from trefoilstage.components.escrow.messages import (
    AccountsReply,
    AskAccounts,
    SealHome,
    SealReply,
)
from trefoilstage.components.fleet.known_hosts import HostRecord, KnownHosts
from trefoilstage.components.fleet.messages import (
    HostHeartbeat,
    ReadView,
    ViewReply,
)
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.messages import LimitReport
from trefoilstage.components.views.follower import ViewFollower
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Store, StoreUnavailableError, Topic
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService

HEARTBEAT_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.9
ANNOUNCE_RETRY_INTERVAL_S = 0.5
# In a large fleet each host calls only a few peers per heartbeat round. If it called
# them in turn, it would get a message from each of 66 hosts only every 8 s, and the
# homes of accounts would move all the time. So the heartbeats of a large fleet also
# carry the age of each other host's last message.
N_PEERS_PER_ROUND = 2
# A host that did not reply to a call gets only heartbeats until it sends a message
# itself. If those reached it by random choice only, the home of a workspace would stay
# out of use for half a minute.
N_FAILED_PER_ROUND = 4
# When a large fleet starts, each host reads the records of hundreds of others within
# seconds. A heartbeat round for each record would cost the square of the fleet's size.
RECORDS_HEARTBEAT_DELAY_S = 0.25
# Shortest time between two extra rounds of heartbeats, which tell peers of limits.
SPREAD_INTERVAL_S = 0.1
# If more limits changed lately, each heartbeat carries a random choice of them.
MAX_LIMITS_PER_HEARTBEAT = 16


class FleetMembership(Service):
    """Announce this host, watch its peers and relay records of the store to them."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        followers: Mapping[Topic, ViewFollower],
        limits: KnownLimits,
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
        self._limits = limits
        self._address = address
        self._generator = generator
        self._announced_at = -1
        self._known_hosts = KnownHosts(board=board)
        self._heartbeats_are_scheduled = False
        self._limits_spread_at = float("-inf")
        self._confirming: set[str] = set()  # hosts whose incarnation is being asked for
        server.register(HostHeartbeat, self._answer_heartbeat)
        server.register(ReadView, self._answer_view)

    @property
    def peer_url(self) -> str:
        """Return the address at which peers reach this host."""
        return f"ws://{self._address}:{self._server.port}"

    async def on_start(self) -> None:
        """Announce this host and start sending heartbeats."""
        self._unsubscribe = self._timer.subscribe(
            name="beats",
            interval_s=HEARTBEAT_INTERVAL_S,
            callback=self._send_heartbeats,
        )
        self._unsubscribe_limits = self._limits.subscribe(self._spread_limits)
        self.add_future(self._announce())

    async def on_stop(self) -> None:
        """Stop sending heartbeats."""
        self._unsubscribe()
        self._unsubscribe_limits()

    def apply_records(self, records: list[KeyedRecord]) -> None:
        """Apply hosts' records from the store."""
        for record in records:
            if record.key == self._board.host:
                continue
            if record.value is None:
                self._known_hosts.remove_host(record.key)
                continue
            try:
                host_record = HostRecord.model_validate_json(record.value)
            except ValidationError:
                log_event(Event.RECORD_MALFORMED, topic=Topic.HOSTS, key=record.key)
                continue
            self._known_hosts.apply_record(record.key, host_record, record.offset)
        if not self._board.is_too_large_to_broadcast():
            self.send_heartbeats_now()
        elif not self._heartbeats_are_scheduled:
            self._heartbeats_are_scheduled = True
            self.add_future(self._send_heartbeats_later())

    async def _send_heartbeats_later(self) -> None:
        await asyncio.sleep(RECORDS_HEARTBEAT_DELAY_S)
        self._heartbeats_are_scheduled = False
        await self._send_heartbeats()

    def list_live_hosts(self) -> tuple[str, ...]:
        """Return the sorted names of the live hosts; omit this host while it drains."""
        return self._known_hosts.list_live_hosts(self._timer.now())

    def count_hosts(self) -> int:
        """Return the number of hosts in the fleet, which share its limits."""
        return len(self._board.peers) + 1

    def has_heard_all_hosts(self) -> bool:
        """Return whether every host that the store lists has been heard from."""
        return self._known_hosts.has_heard_all_hosts()

    def send_heartbeats_now(self) -> None:
        """Send a round of heartbeats immediately, outside the usual interval."""
        self.add_future(self._send_heartbeats())

    def _spread_limits(self) -> None:
        """Tell some peers at once that a target's limit began or ended.

        Each that did not know tells others in turn. In a large fleet the usual rounds
        would take 2 s, in which hosts go on sending to a target that refuses.
        """
        now = self._timer.now()
        if now - self._limits_spread_at >= SPREAD_INTERVAL_S:
            self._limits_spread_at = now
            self.send_heartbeats_now()

    def set_seal_handler(self, seal: Callable[[SealHome], SealReply]) -> None:
        """Register the handler for peers that ask what an ended home granted here."""

        async def answer(message: SealHome) -> SealReply:
            return seal(message)

        self._server.register(SealHome, answer)

    async def ask_seal(self, host: str, message: SealHome) -> SealReply | None:
        """Ask a host what an ended home granted to it; return None without a reply."""
        reply = await self._ask(host, message)
        return reply if isinstance(reply, SealReply) else None

    async def ask_accounts(
        self, host: str, message: AskAccounts
    ) -> AccountsReply | None:
        """Ask a host what it knows of accounts; return None without a reply."""
        reply = await self._ask(host, message)
        return reply if isinstance(reply, AccountsReply) else None

    async def _ask(self, host: str, message: SealHome | AskAccounts) -> Any:
        peer = self._board.peers.get(host)
        if peer is None:
            return None
        try:
            link = self._links.get_link(peer.peer_url)
            return await link.call(message, timeout_s=CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return None

    def confirm_incarnation(self, host: str) -> None:
        """Ask a host of a large fleet immediately which incarnation it runs.

        If heartbeats reached it by random choice only, a restarted host would stay
        unconfirmed for half a minute, and the tokens that its previous incarnation had
        drawn would be missing from the budget for as long.
        """
        peer = self._board.peers.get(host)
        if (
            peer is None
            or host in self._confirming
            or not self._board.is_too_large_to_broadcast()
        ):
            return
        self._confirming.add(host)
        self.add_future(self._confirm_peer(peer))

    async def _confirm_peer(self, peer: PeerState) -> None:
        try:
            await self._send_heartbeat(peer)
        finally:
            self._confirming.discard(peer.host)

    async def withdraw(self) -> None:
        """Delete this host's record from the store."""
        try:
            await self._store.put(Topic.HOSTS, self._board.host, None)
        except StoreUnavailableError as error:
            # The next incarnation overwrites the record, and a host that does not
            # respond gets no work, so a stale record costs only heartbeats.
            log_event(Event.STORE_WRITE_FAILED, topic=Topic.HOSTS, error=str(error))

    def announce_again(self) -> None:
        """Write this host's record again, which a restored store may lack."""
        if self._board.phase is not Phase.DRAINING:
            self.add_future(self._announce())

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
                await asyncio.sleep(ANNOUNCE_RETRY_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        for peer in self.pick_peers_to_call():
            self.add_future(self._send_heartbeat(peer))

    def pick_peers_to_call(self) -> list[PeerState]:
        """Return the peers to call in this round: all, or a few of a large fleet."""
        peers = list(self._board.peers.values())
        if not self._board.is_too_large_to_broadcast():
            return peers
        called = self._generator.sample(peers, N_PEERS_PER_ROUND)
        # Other peers recently received messages of these hosts; ended hosts send none.
        now = self._timer.now()
        failed = [
            peer
            for peer in peers
            if peer.failed
            and now - peer.last_heard <= self._known_hosts.lost_after_s
            and peer not in called
        ]
        n_failed = min(N_FAILED_PER_ROUND, len(failed))
        return called + self._generator.sample(failed, n_failed)

    async def _send_heartbeat(self, peer: PeerState) -> None:
        link = self._links.get_link(peer.peer_url)
        asked_at = self._timer.now()
        try:
            reply = await link.call(self._make_heartbeat(), timeout_s=CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, HostHeartbeat):
            await self._apply_heartbeat(reply)
            self._known_hosts.record_confirmation(reply, asked_at)

    async def _answer_heartbeat(self, heartbeat: HostHeartbeat) -> HostHeartbeat:
        self.add_future(self._apply_heartbeat(heartbeat))
        return self._make_heartbeat(heartbeat)

    def _make_heartbeat(self, request: HostHeartbeat | None = None) -> HostHeartbeat:
        """Return this host's heartbeat; a reply uses the host table of the request."""
        heartbeat = HostHeartbeat(
            host=self._board.host,
            incarnation=self._board.incarnation,
            peer_url=self.peer_url,
            data_center=self._board.data_center,
            serving=self._board.phase is Phase.SERVING,
            store_in_reach=not self._board.store.out_of_reach,
            link_full=self._board.is_link_full(self._timer.now()),
            lost_services=self._board.list_lost_services(),
            untouched=self._board.untouched,
            announced_at=self._announced_at,
            next_offsets={
                topic: follower.view.next_offset
                for topic, follower in self._followers.items()
            },
            limits=self._select_limits(),
        )
        return self._known_hosts.add_peer_states(heartbeat, request, self._timer.now())

    def _select_limits(self) -> tuple[LimitReport, ...]:
        reports = self._limits.list_recent_reports()
        if len(reports) <= MAX_LIMITS_PER_HEARTBEAT:
            return reports
        return tuple(self._generator.sample(reports, MAX_LIMITS_PER_HEARTBEAT))

    async def _apply_heartbeat(self, heartbeat: HostHeartbeat) -> None:
        if heartbeat.host == self._board.host:
            return
        self._limits.receive_reports(heartbeat.limits)
        peer = self._known_hosts.apply_heartbeat(heartbeat, self._timer.now())
        if peer is None:
            return
        for topic, offset in heartbeat.next_offsets.items():
            await self._read_newer_records(peer, topic, offset)

    async def _read_newer_records(
        self, peer: PeerState, topic: Topic, offset: int
    ) -> None:
        # Targets and hosts change all the time, so peers are asked for them only while
        # the store is out of reach. Peers are always asked for a newer configuration.
        follower = self._followers[topic]
        is_wanted = topic is Topic.CONFIGURATION or self._board.store.out_of_reach
        if not is_wanted or offset <= follower.view.next_offset:
            return
        link = self._links.get_link(peer.peer_url)
        request = ReadView(topic=topic, since=follower.view.next_offset)
        try:
            reply = await link.call(request, timeout_s=CALL_TIMEOUT_S)
        except PeerUnavailableError:
            return
        if isinstance(reply, ViewReply):
            log_event(Event.VIEW_RELAYED, topic=topic, peer=peer.host, offset=offset)
            follower.merge(reply.records)

    async def _answer_view(self, message: ReadView) -> ViewReply:
        view = self._followers[message.topic].view
        return ViewReply(records=view.list_since(message.since))
