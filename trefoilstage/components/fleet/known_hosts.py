"""Know which incarnation each other host runs, and when it was heard; pure.

A host is known by its record in the store, by its own heartbeats, and, in a large
fleet, by what others pass on. The offset of its record tells which of its incarnations
is the later one.
"""

from collections.abc import Iterable
from dataclasses import replace

from pydantic import BaseModel

from trefoilstage.components.fleet.gossip import (
    HostTable,
    HostTables,
    encode_peer,
    take_states,
)
from trefoilstage.components.fleet.messages import HostBeat
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event

# Three beats: one lost datagram's retransmission takes up to two.
SILENT_S = 1.5
# In a large fleet most is heard through others. With two calls a beat from each of 66
# hosts, none was heard longer than 1.5 s ago in 20 s of beats (played without faults).
SILENT_LARGE_S = 3.0


class HostRecord(BaseModel):
    """Check a host's record in the store."""

    incarnation: str
    peer_url: str
    data_center: str


class KnownHosts:
    """Write on the board what is known of the other hosts."""

    def __init__(self, *, board: FleetBoard) -> None:
        self._board = board
        self._tables = HostTables()
        self._tables_are_stale = True

    @property
    def silent_s(self) -> float:
        """Return after how many seconds of silence a host counts as lost."""
        return SILENT_LARGE_S if self._board.is_large() else SILENT_S

    def list_live(self, now: float) -> tuple[str, ...]:
        """Return the hosts that answer and serve, this one among them."""
        return self._board.list_live_hosts(now, self.silent_s)

    def has_met_all(self) -> bool:
        """Tell whether every host that the store names was heard."""
        return all(peer.was_heard for peer in self._board.peers.values())

    def forget(self, host: str) -> None:
        """Take in that a host has left."""
        if self._board.peers.pop(host, None) is not None:
            self._note_hosts_changed()

    def take_record(self, host: str, record: HostRecord, offset: int) -> None:
        """Take in a host's record of the store.

        It may be older than what the host said itself, or newer: a host that starts
        again reaches the others of a large fleet by its record first.
        """
        known = self._board.peers.get(host)
        if known is None:
            self._add(host, record, offset)
        elif known.incarnation == record.incarnation:
            known.announced_at = max(known.announced_at, offset)
        elif not known.was_heard or 0 <= known.announced_at < offset:
            self._add(host, record, offset)

    def take_beat(self, beat: HostBeat, now: float) -> PeerState | None:
        """Take in a heartbeat; return its sender, None if that has ended since."""
        self._take_heard(beat, now)
        peer = self._meet_sender(beat)
        if peer is not None:
            self._hear(peer, beat, now)
        return peer

    def add_heard(
        self, beat: HostBeat, answered: HostBeat | None, now: float
    ) -> HostBeat:
        """Return a heartbeat with what a large fleet passes on of other hosts.

        An answer goes by the table of the call, or by name if this host never had it.
        """
        if not self._board.is_large():
            return beat
        peers = self._board.peers
        table: HostTable | None = self._get_tables().current
        if answered is not None:
            table = self._get_tables().find(answered.table)
        if table is None:
            named = {host: encode_peer(peer, now) for host, peer in peers.items()}
            return replace(beat, named_states=named)
        states = bytes([encode_peer(peers.get(host), now) for host in table.names])
        return replace(beat, table=table.digest, states=states)

    def note_confirmed(self, reply: HostBeat, asked_at: float) -> None:
        """Take note of when a call was made that an incarnation has answered."""
        known = self._board.peers.get(reply.host)
        if known is not None and known.incarnation == reply.incarnation:
            known.confirmed_at = max(known.confirmed_at, asked_at)

    def _meet_sender(self, beat: HostBeat) -> PeerState | None:
        """Return the sender of a heartbeat.

        The call of an incarnation that has ended may come after its successor's
        record.
        """
        known = self._board.peers.get(beat.host)
        if known is not None and known.incarnation == beat.incarnation:
            known.announced_at = max(known.announced_at, beat.announced_at)
            return known
        if known is not None and 0 <= beat.announced_at < known.announced_at:
            return None
        return self._add(beat.host, beat, beat.announced_at)

    def _add(self, host: str, found: HostRecord | HostBeat, offset: int) -> PeerState:
        state = PeerState(
            host=host,
            incarnation=found.incarnation,
            peer_url=found.peer_url,
            data_center=found.data_center,
            announced_at=offset,
        )
        self._board.peers[host] = state
        self._note_hosts_changed()
        log_event(Event.PEER_MET, peer=host, peer_incarnation=found.incarnation)
        return state

    def _hear(self, peer: PeerState, beat: HostBeat, now: float) -> None:
        was_live = peer.is_live(now, self.silent_s)
        if now - peer.last_heard > self.silent_s:
            log_event(Event.PEER_BACK, peer=beat.host)
        peer.last_heard = now
        peer.failed = False
        peer.serving = beat.serving
        peer.store_in_reach = beat.store_in_reach
        peer.link_full = beat.link_full
        peer.untouched = beat.untouched
        if peer.is_live(now, self.silent_s) != was_live:
            self._board.note_peer_changed()

    def _take_heard(self, beat: HostBeat, now: float) -> None:
        """Take in what a peer passes on, where this host has heard nothing newer.

        Of hosts that it doesn't know the store will tell.
        """
        if take_states(self._list_states(beat), now, self.silent_s):
            self._board.note_peer_changed()

    def _list_states(self, beat: HostBeat) -> Iterable[tuple[PeerState | None, int]]:
        """Return the hosts that a peer tells of; none if its table isn't known here.

        It is called again soon, and tells by name in its answers.
        """
        find = self._board.peers.get
        table = self._get_tables().find(beat.table)
        if table is None or len(table.names) != len(beat.states):
            return zip(
                map(find, beat.named_states), beat.named_states.values(), strict=True
            )
        return zip(map(find, table.names), beat.states, strict=True)

    def _note_hosts_changed(self) -> None:
        self._board.note_peer_changed()
        self._tables_are_stale = True

    def _get_tables(self) -> HostTables:
        if self._tables_are_stale:
            self._tables.set_hosts((*self._board.peers, self._board.host))
            self._tables_are_stale = False
        return self._tables
