"""Find out, at any host, which version of a target began a stream.

The host that serves a stream reports its version to a few homes: the hosts that rank
first for the stream by rendezvous hash. In a small fleet, all hosts are homes. Another
host that is asked to continue the stream asks the homes. Without their reply the
version is unknown and the stream can't be continued: a guess could join what two
versions wrote.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from mode import Service

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.stream_versions.messages import (
    FindStream,
    StreamFound,
    StreamsBegan,
)
from trefoilstage.components.stream_versions.table import StreamTable
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import (
    hash_idempotency_key,
    hash_to_bucket,
    rank_by_rendezvous_cached,
)

N_COPIES = 3  # in a large fleet, besides the one at the host that serves the stream
# After hosts joined, former homes rank behind them.
N_ASKED = N_COPIES + 2
# Streams of a bucket have the same homes, so that few rankings are computed.
N_BUCKETS = 128
REPORT_DELAY_S = 0.1
REPORT_TIMEOUT_S = 0.5
# A home replies in 1 to 2 ms. On a full link, each call takes longer.
FIND_TIMEOUT_S = 0.25
FIND_TIMEOUT_ROUND_TRIPS = 2.0
MAX_FIND_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.5


class StreamVersions(Service):
    """Record the versions of this host's streams, and find those of others."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
    ) -> None:
        super().__init__()
        self._board = board
        self._membership = membership
        self._links = links
        self._timer = timer
        self._table = StreamTable()
        self._active: dict[str, StreamVersion] = {}  # streams that this host serves
        self._unreported: dict[str, StreamVersion] = {}
        self._is_report_scheduled = False
        self._live: tuple[str, ...] = ()  # when homes were last checked
        server.register(StreamsBegan, self._receive_streams)
        server.register(FindStream, self._answer_find)

    async def on_start(self) -> None:
        """Start to watch for changes of the homes."""
        self._unsubscribe = self._timer.subscribe(
            name="stream homes",
            interval_s=CHECK_INTERVAL_S,
            callback=self._check_homes,
        )

    async def on_stop(self) -> None:
        """Stop watching."""
        self._unsubscribe()

    @property
    def n_known(self) -> int:
        """Return how many streams are known here."""
        return len(self._table.streams)

    def count_by_version(self) -> dict[str, int]:
        """Return how many known streams each version began."""
        return self._table.count_by_version()

    def record(
        self, workspace: str, request_ids: Iterable[str], version: StreamVersion
    ) -> None:
        """Record a stream that this host serves, under each request that brought it."""
        keys = [hash_idempotency_key(workspace, item) for item in request_ids if item]
        self._table.add(keys, version, self._timer.now())
        for key in keys:
            self._active[key] = self._unreported[key] = version
        self._schedule_report()

    def end(self, workspace: str, request_ids: Iterable[str]) -> None:
        """Record that this host no longer serves a stream."""
        for item in filter(None, request_ids):
            self._active.pop(hash_idempotency_key(workspace, item), None)

    async def find(self, workspace: str, request_id: str) -> StreamVersion | None:
        """Return the version that began a stream, None if it is not known."""
        if not request_id:
            return None
        key = hash_idempotency_key(workspace, request_id)
        known = self._table.get(key)
        if known is not None or key in self._table.streams:
            return known
        known = await self._ask_homes(key)
        if known is not None:
            self._table.add([key], known, self._timer.now())
        return known

    async def _ask_homes(self, key: str) -> StreamVersion | None:
        homes = [home for home in self._rank_homes(key) if home != self._board.host]
        pending = {
            asyncio.create_task(self._ask(home, FindStream(stream=key)))
            for home in homes[:N_ASKED]
        }
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                found = [task.result() for task in done]
                known = next((item for item in found if item is not None), None)
                if known is not None:
                    return known
        finally:
            for task in pending:
                task.cancel()
        return None

    async def _ask(self, home: str, message: FindStream) -> StreamVersion | None:
        peer = self._board.peers.get(home)
        if peer is None:
            return None
        trip_s = self._board.round_trips.estimate_call_s(self._timer.now())
        wanted_s = max(FIND_TIMEOUT_S, FIND_TIMEOUT_ROUND_TRIPS * trip_s)
        try:
            reply = await self._links.get_link(peer.peer_url).call(
                message, timeout_s=min(MAX_FIND_TIMEOUT_S, wanted_s)
            )
        except PeerUnavailableError:
            # The refusal of the stream is logged, if no other home knows it.
            return None
        return reply.version if isinstance(reply, StreamFound) else None

    async def _answer_find(self, message: FindStream) -> StreamFound:
        return StreamFound(version=self._table.get(message.stream))

    async def _receive_streams(self, message: StreamsBegan) -> None:
        self._table.add(message.streams, message.version, self._timer.now())

    def _rank_homes(self, key: str) -> tuple[str, ...]:
        return self._rank_bucket(key, self._membership.list_live_hosts())

    def _rank_bucket(self, key: str, live: tuple[str, ...]) -> tuple[str, ...]:
        bucket = hash_to_bucket(key, N_BUCKETS)
        return rank_by_rendezvous_cached(f"streams/{bucket}", live)

    def _select_homes(self, key: str, live: tuple[str, ...]) -> list[str]:
        n_copies = N_COPIES if self._board.is_too_large_to_broadcast() else len(live)
        ranked = self._rank_bucket(key, live)
        return [home for home in ranked if home != self._board.host][:n_copies]

    async def _check_homes(self) -> None:
        """Report the streams under way to homes that they did not have before."""
        live = self._membership.list_live_hosts()
        if live is self._live or live == self._live:
            return
        before, self._live = self._live, live
        for key, version in self._active.items():
            known = self._select_homes(key, before)
            if set(self._select_homes(key, live)).difference(known):
                self._unreported[key] = version
        self._schedule_report()

    def _schedule_report(self) -> None:
        if self._unreported and not self._is_report_scheduled:
            self._is_report_scheduled = True
            self.add_future(self._report_soon())

    async def _report_soon(self) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        self._is_report_scheduled = False
        unreported, self._unreported = self._unreported, {}
        live = self._membership.list_live_hosts()
        groups: dict[tuple[str, StreamVersion], list[str]] = defaultdict(list)
        for key, version in unreported.items():
            for home in self._select_homes(key, live):
                groups[home, version].append(key)
        for (home, version), keys in groups.items():
            message = StreamsBegan(version=version, streams=tuple(keys))
            self.add_future(self._report(home, message))

    async def _report(self, home: str, message: StreamsBegan) -> None:
        peer = self._board.peers.get(home)
        if peer is None:
            return
        try:
            link = self._links.get_link(peer.peer_url)
            await link.send(message, timeout_s=REPORT_TIMEOUT_S)
        except PeerUnavailableError:
            # The other homes know the streams, and once this one counts as lost, the
            # next in rank gets those under way.
            return
