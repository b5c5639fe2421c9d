"""Track which incarnation each peer runs and when it was last heard from; no I/O.

An incarnation is one run of a host's process. A host learns of a peer from the peer's
record in the store, from its heartbeats and, in a large fleet, from those of others.
Of two incarnations of a host, the one whose record has the higher offset is newer.
"""

from collections.abc import Iterable
from dataclasses import replace

from pydantic import BaseModel

from trefoilstage.components.fleet.gossip import (
    HostTable,
    HostTableHistory,
    encode_peer_state,
    merge_states,
)
from trefoilstage.components.fleet.messages import HostHeartbeat
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event

# Three heartbeat intervals: retransmission of one lost datagram takes up to two.
LOST_AFTER_S = 1.5
# In a large fleet most information about a peer arrives through other peers. With two
# calls per heartbeat round from each of 66 hosts, it was never older than 1.5 s in 20 s
# of emulated rounds without faults.
LOST_AFTER_LARGE_FLEET_S = 3.0


def get_lost_after_s(board: FleetBoard) -> float:
    """Return after how many seconds without a heartbeat a host counts as lost."""
    is_large = board.is_too_large_to_broadcast()
    return LOST_AFTER_LARGE_FLEET_S if is_large else LOST_AFTER_S


class HostRecord(BaseModel):
    """Validate a host's record in the store."""

    incarnation: str
    peer_url: str
    data_center: str


class KnownHosts:
    """Write to the board what this host knows about its peers."""

    def __init__(self, *, board: FleetBoard) -> None:
        self._board = board
        self._tables = HostTableHistory()
        self._tables_are_stale = True

    @property
    def lost_after_s(self) -> float:
        """Return after how many seconds without a heartbeat a host counts as lost."""
        return get_lost_after_s(self._board)

    def list_live_hosts(self, now: float) -> tuple[str, ...]:
        """Return the sorted names of the live hosts; omit this host while it drains."""
        return self._board.list_live_hosts(now, self.lost_after_s)

    def has_heard_all_hosts(self) -> bool:
        """Return whether every host that the store lists has been heard from."""
        return all(peer.was_heard for peer in self._board.peers.values())

    def remove_host(self, host: str) -> None:
        """Remove a host whose record was deleted from the store."""
        if self._board.peers.pop(host, None) is not None:
            self._mark_hosts_changed()

    def apply_record(self, host: str, record: HostRecord, offset: int) -> None:
        """Apply a host's record from the store.

        The record may be older or newer than the host's last heartbeat: in a large
        fleet, peers usually learn of a restart from the record first.
        """
        known = self._board.peers.get(host)
        if known is None:
            self._add_peer(host, record, offset)
        elif known.incarnation == record.incarnation:
            known.announced_at = max(known.announced_at, offset)
        elif not known.was_heard or 0 <= known.announced_at < offset:
            self._add_peer(host, record, offset)

    def apply_heartbeat(self, heartbeat: HostHeartbeat, now: float) -> PeerState | None:
        """Apply a heartbeat; return its sender, None if that incarnation has ended."""
        self._merge_peer_states(heartbeat, now)
        peer = self._find_or_add_sender(heartbeat)
        if peer is not None:
            self._update_sender(peer, heartbeat, now)
        return peer

    def add_peer_states(
        self, heartbeat: HostHeartbeat, request: HostHeartbeat | None, now: float
    ) -> HostHeartbeat:
        """Return a heartbeat with the states of other hosts, if the fleet is large.

        A reply uses the table of the request, or names if this host doesn't have it.
        """
        if not self._board.is_too_large_to_broadcast():
            return heartbeat
        peers = self._board.peers
        table: HostTable | None = self._get_tables().current
        if request is not None:
            table = self._get_tables().find(request.table)
        if table is None:
            named = {host: encode_peer_state(peer, now) for host, peer in peers.items()}
            return replace(heartbeat, named_states=named)
        states = bytes(
            [encode_peer_state(peers.get(host), now) for host in table.names]
        )
        return replace(heartbeat, table=table.digest, states=states)

    def record_confirmation(self, reply: HostHeartbeat, asked_at: float) -> None:
        """Store when the call was made that an incarnation has replied to."""
        known = self._board.peers.get(reply.host)
        if known is not None and known.incarnation == reply.incarnation:
            known.confirmed_at = max(known.confirmed_at, asked_at)

    def _find_or_add_sender(self, heartbeat: HostHeartbeat) -> PeerState | None:
        """Return the sender of a heartbeat, None if that incarnation has ended.

        The call of an ended incarnation may arrive after its successor's record.
        """
        known = self._board.peers.get(heartbeat.host)
        if known is not None and known.incarnation == heartbeat.incarnation:
            known.announced_at = max(known.announced_at, heartbeat.announced_at)
            return known
        if known is not None and 0 <= heartbeat.announced_at < known.announced_at:
            return None
        return self._add_peer(heartbeat.host, heartbeat, heartbeat.announced_at)

    def _add_peer(
        self, host: str, found: HostRecord | HostHeartbeat, offset: int
    ) -> PeerState:
        peer = PeerState(
            host=host,
            incarnation=found.incarnation,
            peer_url=found.peer_url,
            data_center=found.data_center,
            announced_at=offset,
        )
        self._board.peers[host] = peer
        self._mark_hosts_changed()
        log_event(Event.PEER_MET, peer=host, peer_incarnation=found.incarnation)
        return peer

    def _update_sender(
        self, peer: PeerState, heartbeat: HostHeartbeat, now: float
    ) -> None:
        was_live = peer.is_live(now, self.lost_after_s)
        if now - peer.last_heard > self.lost_after_s:
            log_event(Event.PEER_BACK, peer=heartbeat.host)
        peer.last_heard = now
        peer.failed = False
        peer.serving = heartbeat.serving
        peer.store_in_reach = heartbeat.store_in_reach
        peer.link_full = heartbeat.link_full
        peer.lost_services = heartbeat.lost_services
        peer.untouched = heartbeat.untouched
        if peer.is_live(now, self.lost_after_s) != was_live:
            self._board.invalidate_live_hosts()

    def _merge_peer_states(self, heartbeat: HostHeartbeat, now: float) -> None:
        """Apply the states in a peer's heartbeat that are newer than the known ones.

        Hosts that are not known here are skipped; their records follow from the store.
        """
        if merge_states(self._list_peer_states(heartbeat), now, self.lost_after_s):
            self._board.invalidate_live_hosts()

    def _list_peer_states(
        self, heartbeat: HostHeartbeat
    ) -> Iterable[tuple[PeerState | None, int]]:
        """Return the hosts and states in a heartbeat, none for a table unknown here.

        In its replies to later calls the peer sends the states by name.
        """
        find = self._board.peers.get
        table = self._get_tables().find(heartbeat.table)
        if table is None or len(table.names) != len(heartbeat.states):
            return zip(
                map(find, heartbeat.named_states),
                heartbeat.named_states.values(),
                strict=True,
            )
        return zip(map(find, table.names), heartbeat.states, strict=True)

    def _mark_hosts_changed(self) -> None:
        self._board.invalidate_live_hosts()
        self._tables_are_stale = True

    def _get_tables(self) -> HostTableHistory:
        if self._tables_are_stale:
            self._tables.set_hosts((*self._board.peers, self._board.host))
            self._tables_are_stale = False
        return self._tables
