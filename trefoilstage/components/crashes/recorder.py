"""Share crashes with all hosts, through the store and from host to host.

The store keeps crashes across restarts of all hosts. Direct reports reach peers
immediately, also while the store is unreachable. A host that can't reach the store asks
a peer that can to write its crashes.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from mode import Service

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, CrashRecord, SoundPart
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.views.store import Store, StoreUnavailableError, Topic
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event, truncate_text
from trefoilstage.util.hashing import rank_by_rendezvous_cached

REPORT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.5

HostLister = Callable[[], tuple[str, ...]]


class CrashRecorder(Service):
    """Write crashes to the store and report them to peers."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        links: PeerLinks,
        list_live_hosts: HostLister,
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._links = links
        self._list_live_hosts = list_live_hosts
        # True writes, False deletes.
        self._pending_writes: dict[CrashRecord, bool] = {}
        self._is_writing = False

    def record(self, crashes: Sequence[Crash]) -> None:
        """Share crashes with all hosts."""
        self._schedule_writes(crashes, keep=True)
        self._report_to_peers(
            CrashReport(host=self._board.host, crashes=tuple(crashes))
        )

    def clear(self, fingerprint: str, crashes: Sequence[Crash]) -> None:
        """Share that a request is harmless, and delete its crashes from the store."""
        self._schedule_writes(crashes, keep=False)
        self._report_to_peers(CrashReport(host=self._board.host, sound=(fingerprint,)))

    def clear_part(self, sound: SoundPart) -> None:
        """Share that a suspect part of prompts is harmless."""
        self._schedule_writes([sound], keep=True)
        report = CrashReport(host=self._board.host, sound_parts=(sound.part,))
        self._report_to_peers(report)

    def write(self, records: Iterable[CrashRecord]) -> None:
        """Write records to the store that all hosts know of."""
        self._schedule_writes(records, keep=True)

    def delete(self, records: Iterable[CrashRecord]) -> None:
        """Delete records that no longer count from the store."""
        self._schedule_writes(records, keep=False)

    def _schedule_writes(self, records: Iterable[CrashRecord], *, keep: bool) -> None:
        for record in records:
            self._pending_writes.pop(record, None)
            self._pending_writes[record] = keep
        while len(self._pending_writes) > MAX_CRASHES:
            dropped = next(iter(self._pending_writes))
            del self._pending_writes[dropped]
            log_event(Event.CRASH_LEFT_OUT, key=dropped.key)
        if self._pending_writes and not self._is_writing:
            self._is_writing = True
            self.add_future(self._write_all())

    async def _write_all(self) -> None:
        try:
            while self._pending_writes:
                record, keep = next(iter(self._pending_writes.items()))
                if not await self._write(record, keep=keep):
                    await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self._is_writing = False

    async def _write(self, record: CrashRecord, *, keep: bool) -> bool:
        """Write or delete one record; return whether the store accepted it."""
        try:
            await self._store.put(
                Topic.CRASHES, record.key, record.value if keep else None
            )
        except StoreUnavailableError as error:
            log_event(Event.STORE_WRITE_FAILED, topic=Topic.CRASHES, error=str(error))
            await self._ask_peer_to_write()
            self._move_to_end(record)
            return False
        if self._pending_writes.get(record) is keep:
            del self._pending_writes[record]
        return True

    def _move_to_end(self, record: CrashRecord) -> None:
        # A record that the store permanently refuses must not block the others.
        keep = self._pending_writes.pop(record, None)
        if keep is not None:
            self._pending_writes[record] = keep

    async def _ask_peer_to_write(self) -> None:
        """Ask a peer that reaches the store to write the pending crashes."""
        writer = self._select_writer()
        pending = [record for record, keep in self._pending_writes.items() if keep]
        if writer is None or not pending:
            return
        report = CrashReport(
            host=self._board.host,
            crashes=tuple(item for item in pending if isinstance(item, Crash)),
            sound_parts=tuple(
                item.part for item in pending if isinstance(item, SoundPart)
            ),
            relay=True,
        )
        await self._send_report(writer, report)

    def _select_writer(self) -> PeerState | None:
        candidates = tuple(
            host
            for host in self._list_live_hosts()
            if host in self._board.peers and self._board.is_store_reachable_from(host)
        )
        ranked = rank_by_rendezvous_cached(self._board.host, candidates)
        return self._board.peers[ranked[0]] if ranked else None

    def _report_to_peers(self, report: CrashReport) -> None:
        if self._board.is_too_large_to_broadcast():
            # Every host reads crashes from the store. If each of hundreds of hosts also
            # reported a target's crash, each would receive hundreds of messages.
            return
        for peer in self._board.peers.values():
            if peer.serving and not peer.failed:
                self.add_future(self._send_report(peer, report))

    async def _send_report(self, peer: PeerState, report: CrashReport) -> None:
        link = self._links.get_link(peer.peer_url)
        try:
            await link.send(report, timeout_s=REPORT_TIMEOUT_S)
        except PeerUnavailableError as error:
            log_event(
                Event.CRASH_REPORT_UNSENT,
                peer=peer.host,
                error=truncate_text(str(error)),
            )
