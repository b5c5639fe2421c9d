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
from dataclasses import dataclass

from mode import Service

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.request_state import StreamSource
from trefoilstage.components.forwarding.start_prover import StartProver
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
REPORT_DELAY_S = 0.2
REPORT_TIMEOUT_S = 0.5
# A home that has no proof asks the target.
PROOF_TIMEOUT_S = 0.5
# Without that, it replies in 1 to 2 ms. On a full link, each call takes longer.
FIND_TIMEOUT_S = PROOF_TIMEOUT_S + 0.25
FIND_TIMEOUT_ROUND_TRIPS = 2.0
MAX_FIND_TIMEOUT_S = 1.0
CHECK_INTERVAL_S = 0.5
# Streams that begin meanwhile share a question to their target.
PROOF_INTERVAL_S = 0.1
# A target that shows no sign of life for longer has ended.
MAX_PROOF_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServedStream:
    """Describe a stream that began; `source` is None if its version is certain."""

    version: StreamVersion
    source: StreamSource | None

    def differs_from(self, other: "ServedStream") -> bool:
        """Return whether two reports under one id can't be of the same stream."""
        if self.version != other.version:
            return True
        if self.source is None or other.source is None:
            return False
        return self.source.target.incarnation != other.source.target.incarnation


@dataclass(frozen=True, kw_only=True, slots=True)
class UnprovenStream:
    """Describe a stream whose target may have restarted before it began."""

    stream: ServedStream
    recorded_at: float


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
        prover: StartProver,
    ) -> None:
        super().__init__()
        self._board = board
        self._prover = prover
        self._membership = membership
        self._links = links
        self._timer = timer
        self._table = StreamTable()
        self._active: dict[str, ServedStream] = {}  # that this host serves
        self._unreported: dict[str, ServedStream] = {}
        self._unproven: dict[str, UnprovenStream] = {}
        self._is_proof_scheduled = False
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
        self,
        workspace: str,
        request_ids: Iterable[str],
        version: StreamVersion,
        source: StreamSource | None = None,
    ) -> None:
        """Record a stream that this host serves, under each request that brought it.

        If the version is that of a `source` which may have restarted, the stream counts
        as unknown until a sign of life proves which start answered.
        """
        keys = [hash_idempotency_key(workspace, item) for item in request_ids if item]
        stream = ServedStream(version=version, source=source)
        self._active.update(dict.fromkeys(keys, stream))
        self._unreported.update(dict.fromkeys(keys, stream))
        self._schedule_report()
        self._add(keys, stream)

    def _add(self, keys: Iterable[str], stream: ServedStream) -> None:
        now = self._timer.now()
        keys = [key for key in keys if not self._is_ambiguous(key, stream)]
        if self._is_proven(stream):
            for key in keys:
                self._unproven.pop(key, None)
            self._table.add(keys, stream.version, now)
            return
        unproven = UnprovenStream(stream=stream, recorded_at=now)
        self._unproven.update(dict.fromkeys(keys, unproven))
        if not self._is_proof_scheduled:
            self._is_proof_scheduled = True
            self.add_future(self._prove_streams())

    def _is_ambiguous(self, key: str, stream: ServedStream) -> bool:
        """Return whether another stream was reported; then neither is believed."""
        other = self._unproven.get(key)
        if other is None or not other.stream.differs_from(stream):
            return False
        del self._unproven[key]
        self._table.add_ambiguous(key, self._timer.now())
        return True

    def _is_proven(self, stream: ServedStream) -> bool:
        source = stream.source
        return source is None or self._prover.is_proven(
            source.target, source.connected_at
        )

    async def _prove_streams(self) -> None:
        """Add streams to the table once the start of their target is proven."""
        while self._unproven:
            now = self._timer.now()
            late: dict[str, StreamSource] = {}
            for key, item in list(self._unproven.items()):
                age_s = now - item.recorded_at
                source = item.stream.source
                if self._is_proven(item.stream):
                    self._add_proven(key, item)
                elif age_s > MAX_PROOF_S:
                    del self._unproven[key]
                    if key in self._table.streams:
                        self._table.add_ambiguous(key, now)
                elif source and key in self._active:
                    late[source.target.incarnation] = source
            for source in late.values():
                self.add_future(self._prover.prove(source.target, source.connected_at))
            await asyncio.sleep(PROOF_INTERVAL_S)
        self._is_proof_scheduled = False

    def _add_proven(self, key: str, item: UnprovenStream) -> None:
        """Add a stream to the table, and tell its homes that it is proven."""
        del self._unproven[key]
        self._table.add([key], item.stream.version, self._timer.now())
        if key in self._active:
            self._unreported[key] = item.stream
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
        known = await self._get_when_proven(key)
        if known is not None or key in self._table.streams:
            return known
        known = await self._ask_homes(key)
        if known is None:
            return None
        self._add([key], ServedStream(version=known, source=None))
        return self._table.get(key)

    async def _ask_homes(self, key: str) -> StreamVersion | None:
        homes = [home for home in self._rank_homes(key) if home != self._board.host]
        tasks = [
            asyncio.create_task(self._ask(home, FindStream(stream=key)))
            for home in homes[:N_ASKED]
        ]
        try:
            for next_done in asyncio.as_completed(tasks):
                known = await next_done
                if known is not None:
                    return known
        finally:
            for task in tasks:
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
        return StreamFound(version=await self._get_when_proven(message.stream))

    async def _get_when_proven(self, key: str) -> StreamVersion | None:
        item = self._unproven.get(key)
        source = item.stream.source if item else None
        if source is not None:
            await self._prover.prove(source.target, source.connected_at)
            # Meanwhile, the stream may have been reported again.
            item = self._unproven.get(key)
            if item is not None and self._is_proven(item.stream):
                self._add_proven(key, item)
        return None if key in self._unproven else self._table.get(key)

    async def _receive_streams(self, message: StreamsBegan) -> None:
        source = None
        if message.unproven:
            target = self._board.targets.find_incarnation(message.unproven)
            if target is None:
                return
            # The connection to the target was opened before this message was sent.
            source = StreamSource(target=target, connected_at=self._timer.now())
        self._add(message.streams, ServedStream(version=message.version, source=source))

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
        for key, stream in self._active.items():
            known = self._select_homes(key, before)
            if set(self._select_homes(key, live)).difference(known):
                self._unreported[key] = stream
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
        groups: dict[tuple[str, StreamVersion, str], list[str]] = defaultdict(list)
        for key, stream in unreported.items():
            unproven = ""
            if stream.source is not None and not self._is_proven(stream):
                unproven = stream.source.target.incarnation
            for home in self._select_homes(key, live):
                groups[home, stream.version, unproven].append(key)
        for (home, version, unproven), keys in groups.items():
            message = StreamsBegan(
                version=version, streams=tuple(keys), unproven=unproven
            )
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
