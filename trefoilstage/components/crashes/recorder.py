"""Share crashes with all hosts, through the store and from host to host.

The store keeps them over restarts of all hosts. Peers hear at once, which still works
while the store is out of reach; a host that alone can't write to it asks a peer to.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence

from mode import Service

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.views.store import Store, StoreUnavailableError, Topic
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event, shorten
from trefoilstage.util.hashing import rank_names

TELL_TIMEOUT_S = 0.5
RETRY_S = 0.5
# Stands in a record, whose key says all; without a value it would drop the key.
PRESENT = b"1"

ListHosts = Callable[[], tuple[str, ...]]


class CrashRecorder(Service):
    """Write crashes to the store and tell peers of them."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        links: PeerLinks,
        list_live_hosts: ListHosts,
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._links = links
        self._list_live_hosts = list_live_hosts
        self._unwritten: dict[Crash, bool] = {}  # whether it is to stay
        self._writing = False

    def record(self, crashes: Sequence[Crash]) -> None:
        """Make crashes known to all hosts."""
        self._write_soon(crashes, keep=True)
        self._tell_all(CrashReport(host=self._board.host, crashes=tuple(crashes)))

    def clear(self, fingerprint: str, crashes: Sequence[Crash]) -> None:
        """Make known that a request is sound, whatever ended under it."""
        self._write_soon(crashes, keep=False)
        self._tell_all(CrashReport(host=self._board.host, sound=(fingerprint,)))

    def write(self, crashes: Iterable[Crash]) -> None:
        """Write crashes for a peer that can't reach the store."""
        self._write_soon(crashes, keep=True)

    def erase(self, crashes: Iterable[Crash]) -> None:
        """Take crashes that no longer count out of the store."""
        self._write_soon(crashes, keep=False)

    def _write_soon(self, crashes: Iterable[Crash], *, keep: bool) -> None:
        for crash in crashes:
            self._unwritten.pop(crash, None)
            self._unwritten[crash] = keep
        while len(self._unwritten) > MAX_CRASHES:
            left_out = next(iter(self._unwritten))
            del self._unwritten[left_out]
            log_event(Event.CRASH_LEFT_OUT, key=left_out.key)
        if self._unwritten and not self._writing:
            self._writing = True
            self.add_future(self._write_all())

    async def _write_all(self) -> None:
        try:
            while self._unwritten:
                crash, keep = next(iter(self._unwritten.items()))
                if not await self._write(crash, keep=keep):
                    await asyncio.sleep(RETRY_S)
        finally:
            self._writing = False

    async def _write(self, crash: Crash, *, keep: bool) -> bool:
        """Write one record; tell whether the store took it."""
        try:
            await self._store.put(Topic.CRASHES, crash.key, PRESENT if keep else None)
        except StoreUnavailableError as error:
            log_event(Event.STORE_WRITE_FAILED, topic=Topic.CRASHES, error=str(error))
            await self._ask_peer()
            self._put_behind(crash)
            return False
        if self._unwritten.get(crash) is keep:
            del self._unwritten[crash]
        return True

    def _put_behind(self, crash: Crash) -> None:
        # A record that the store refuses for good must not hold up the others.
        keep = self._unwritten.pop(crash, None)
        if keep is not None:
            self._unwritten[crash] = keep

    async def _ask_peer(self) -> None:
        """Ask a peer that reaches the store to write what this host can't."""
        writer = self._pick_writer()
        crashes = tuple(crash for crash, keep in self._unwritten.items() if keep)
        if writer is None or not crashes:
            return
        report = CrashReport(host=self._board.host, crashes=crashes, relay=True)
        await self._tell(writer, report)

    def _pick_writer(self) -> PeerState | None:
        able = tuple(
            host
            for host in self._list_live_hosts()
            if host in self._board.peers and self._board.reaches_store(host)
        )
        ranked = rank_names(self._board.host, able)
        return self._board.peers[ranked[0]] if ranked else None

    def _tell_all(self, report: CrashReport) -> None:
        if self._board.is_large():
            # Each reads the store; told by each host of hundreds, one target's end
            # would cost all of them a message for each.
            return
        for peer in self._board.peers.values():
            if peer.serving and not peer.failed:
                self.add_future(self._tell(peer, report))

    async def _tell(self, peer: PeerState, report: CrashReport) -> None:
        link = self._links.get_link(peer.peer_url)
        try:
            await link.tell(report, timeout_s=TELL_TIMEOUT_S)
        except PeerUnavailableError as error:
            log_event(
                Event.CRASH_REPORT_UNSENT, peer=peer.host, error=shorten(str(error))
            )
