"""Read from the log, or through peers while the log is out of reach.

A record that the log dropped before every host had read it is fetched from a peer. If
no host has it, the hosts agree to skip it: each one fences its offset, that is, it
promises never to fold the record at that offset.
"""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import replace

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.checkpoints import PackedState
from trefoilstage.components.log_client.client import LogClient, LogPage, LogRecord
from trefoilstage.components.log_client.reachability import LogReachability
from trefoilstage.components.log_client.record_cache import RecordCache
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import (
    AppendRecords,
    AppendReply,
    PeerMessage,
    ReadRecords,
    RecordsReply,
)
from trefoilstage.components.peers.positions import do_peers_allow_skip
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.state_transfer import fetch_state
from trefoilstage.exceptions import (
    LogUnavailableError,
    NotReadyError,
    RecordsExpiredError,
)
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.util.backoff import Backoff

RELAY_POLL_INTERVAL_S = 0.1
PROBE_INITIAL_DELAY_S = 0.2
PROBE_MAX_DELAY_S = 2.0


class RelayedLog(Service):
    """Use the log while it is in reach, otherwise the peers.

    A record is the same whichever host relays it. A peer replies to a read from its
    cache or from the log, never through a third host, so calls can't loop.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        blackboard: Blackboard,
        links: PeerLinks,
        server: PeerServer,
        timeout_s: float,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._client = client
        self._blackboard = blackboard
        self._peers = LogPeers(blackboard=blackboard, links=links)
        self._reach = LogReachability(base_timeout_s=timeout_s)
        self._backoff = Backoff(
            initial_s=PROBE_INITIAL_DELAY_S,
            maximum_s=PROBE_MAX_DELAY_S,
            generator=generator,
        )
        self._kept = RecordCache()
        # Set while the log is out of reach.
        self._lost = asyncio.Event()
        # The stream that a probe of the log reads.
        self._probed = ""
        server.register(ReadRecords, self._answer_read)
        server.register(AppendRecords, self._answer_append)

    async def on_start(self) -> None:
        """Start the task that probes the log while it is out of reach."""
        self.add_future(self._probe_log())

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group of records, directly or through a peer.

        Return its first offset. Raise LogUnavailableError if neither succeeds.
        """
        if self._reach.is_up:
            try:
                return await self._append_direct(stream, records)
            except LogUnavailableError:
                self._record_failure(stream)
        message = AppendRecords(stream=stream, records=tuple(records))
        async for reply in self._peers.call_each(message, self._peers.list_preferred()):
            if isinstance(reply, AppendReply):
                self._kept.add_appended(stream, reply.first, records)
                return reply.first
        raise LogUnavailableError("neither the log nor a peer appended the records")

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset on, waiting up to `wait_s` for the first one.

        Raise RecordsExpiredError if the log dropped the first one and no peer has it,
        or if its offset is fenced, and LogUnavailableError if no host replies.
        """
        page = await self._read(stream, offset, wait_s)
        # The offset may have been fenced while the read was in progress.
        if self._kept.is_fenced(stream, offset):
            earliest = self._kept.get_first_unfenced_offset(stream)
            raise RecordsExpiredError(earliest=earliest)
        return page

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        if self._reach.is_up:
            try:
                return await self._read_direct(stream, offset, wait_s)
            except LogUnavailableError:
                self._record_failure(stream)
            except RecordsExpiredError as error:
                return await self._read_dropped_records(stream, offset, error)
        page = await self._read_from_peers(stream, offset)
        self._kept.add_read(stream, page)
        if not page.records:
            await asyncio.sleep(RELAY_POLL_INTERVAL_S)
        return page

    async def _read_dropped_records(
        self, stream: str, offset: int, error: RecordsExpiredError
    ) -> LogPage:
        """Return records that the log dropped, from a host that has them."""
        page = await self.find_dropped_records(stream, offset)
        if page is None:
            raise error
        return page

    async def find_dropped_records(self, stream: str, offset: int) -> LogPage | None:
        """Return records that the log dropped, from a host that appended or read them.

        Return None if no such host was found in this search.
        """
        page = self._kept.find_records(stream, offset)
        if page is None:
            page = await self._search_peers(stream, offset)
        if page is None or self._kept.is_fenced(stream, offset):
            return None
        self._kept.add_read(stream, page)
        return page

    async def _search_peers(self, stream: str, offset: int) -> LogPage | None:
        # Only one or two hosts have such a record. So a reply without records does not
        # end the search, and in a large fleet each search calls different peers.
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.call_each(
            message, self._peers.pick_next_peers()
        ):
            if isinstance(reply, RecordsReply) and reply.records:
                return make_page(reply)
        return None

    async def may_skip_record(self, stream: str, offset: int) -> bool:
        """Return whether this host may skip the record at an offset.

        Every host has to reply that it lacks the record, and then fence its offset.
        """
        if not self._reach.is_up:
            return False
        if not await do_peers_allow_skip(self._peers, stream, offset):
            return False
        if not self._fence(stream, offset):
            return False
        return await do_peers_allow_skip(self._peers, stream, offset, fence=True)

    def _fence(self, stream: str, offset: int) -> bool:
        """Fence an offset and return whether it is fenced.

        It is not if this host has the record, has folded it, or doesn't follow the
        stream.
        """
        status = self._blackboard.streams.get(stream)
        if status is None or status.next_offset > offset:
            return False
        return self._kept.fence(stream, offset)

    async def is_folded_by_peer(self, stream: str, offset: int) -> bool:
        """Return whether a live peer has folded all records before an offset.

        Return True if there is no live peer.
        """
        names = self._peers.list_preferred()
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.call_each(message, names):
            if isinstance(reply, RecordsReply) and (reply.folded or 0) >= offset:
                return True
        return not names

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Return a stream's state from a peer, None if no peer returns it."""
        return await fetch_state(self._peers, stream)

    async def _append_direct(self, stream: str, records: list[bytes]) -> int:
        started = asyncio.get_running_loop().time()
        first = await self._client.append(
            stream, records, timeout_s=self._reach.timeout_s
        )
        self._record_response(asyncio.get_running_loop().time() - started)
        self._kept.add_appended(stream, first, records)
        return first

    async def _read_direct(self, stream: str, offset: int, wait_s: float) -> LogPage:
        started = asyncio.get_running_loop().time()
        page = await self._client.read(
            stream, offset, wait_s=wait_s, timeout_s=self._reach.timeout_s
        )
        duration_s = asyncio.get_running_loop().time() - started
        self._record_response(max(0.0, duration_s - wait_s))
        self._kept.add_read(stream, page)
        return page

    def _record_response(self, duration_s: float) -> None:
        if self._reach.record_response(duration_s):
            log_event(Event.LOG_IN_REACH, host=self._blackboard.host)
        self._blackboard.log_in_reach = True

    def _record_failure(self, stream: str) -> None:
        if self._reach.record_failure():
            log_event(Event.LOG_OUT_OF_REACH, host=self._blackboard.host)
        self._blackboard.log_in_reach = False
        self._probed = stream
        self._lost.set()

    async def _probe_log(self) -> None:
        # A separate task probes the log, so that no read waits for the log while it is
        # out of reach. The timeout grows, so that a slow log is reached again
        # eventually.
        while True:
            await self._lost.wait()
            await asyncio.sleep(self._backoff.next_delay())
            offset = self._kept.get_next_offset(self._probed)
            try:
                await self._read_direct(self._probed, offset, 0.0)
            except RecordsExpiredError:
                self._record_response(0.0)
            except LogUnavailableError:
                self._reach.double_timeout()
                continue
            self._backoff.reset()
            self._lost.clear()

    async def _read_from_peers(self, stream: str, offset: int) -> LogPage:
        stale_reply: RecordsReply | None = None
        expired_reply: RecordsReply | None = None
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.call_each(message, self._peers.list_preferred()):
            if not isinstance(reply, RecordsReply):
                continue
            if reply.expired:
                expired_reply = reply
            elif reply.records or reply.fresh:
                return make_page(reply)
            elif stale_reply is None or reply.next_offset > stale_reply.next_offset:
                stale_reply = reply
        if expired_reply is not None:
            raise RecordsExpiredError(earliest=expired_reply.earliest)
        if stale_reply is None:
            raise LogUnavailableError("neither the log nor a peer returned records")
        return make_page(stale_reply)

    async def _answer_read(self, message: ReadRecords) -> PeerMessage:
        if message.fence:
            reply = self._answer_fence(message)
        else:
            reply = await self._find_records(message)
        status = self._blackboard.streams.get(message.stream)
        return replace(
            reply,
            folded=status.next_offset if status else None,
            incarnation=self._blackboard.incarnation,
        )

    def _answer_fence(self, message: ReadRecords) -> RecordsReply:
        if self._fence(message.stream, message.offset):
            return RecordsReply(fenced=True)
        page = self._kept.find_records(message.stream, message.offset)
        return make_reply(page, fresh=True) if page else RecordsReply()

    async def _find_records(self, message: ReadRecords) -> RecordsReply:
        page = self._kept.find_records(message.stream, message.offset)
        page = page or self._kept.find_read_records(message.stream, message.offset)
        if page is not None:
            return make_reply(page, fresh=self._reach.is_up)
        if not self._reach.is_up:
            return self._answer_without_log(message)
        try:
            page = await self._client.read(
                message.stream,
                message.offset,
                wait_s=0.0,
                timeout_s=self._reach.timeout_s,
            )
        except RecordsExpiredError as error:
            return RecordsReply(expired=True, earliest=error.earliest)
        return make_reply(page, fresh=True)

    def _answer_without_log(self, message: ReadRecords) -> RecordsReply:
        tail = self._kept.get_tail(message.stream)
        if tail is None:
            raise NotReadyError("the log is out of reach")
        if message.offset < tail.earliest:
            return RecordsReply(expired=True, earliest=tail.earliest, fresh=False)
        return RecordsReply(next_offset=tail.next_offset, fresh=False)

    async def _answer_append(self, message: AppendRecords) -> PeerMessage:
        if not self._reach.is_up:
            raise NotReadyError("the log is out of reach")
        first = await self._client.append(
            message.stream, list(message.records), timeout_s=self._reach.timeout_s
        )
        # The calling host may end before it receives the reply and caches the records.
        self._kept.add_appended(message.stream, first, message.records)
        return AppendReply(first=first)


def make_page(reply: RecordsReply) -> LogPage:
    """Return the page in a peer's reply."""
    return LogPage(
        records=tuple(list_records(reply)),
        end_offset=reply.next_offset,
        is_stale=not reply.fresh and not reply.records,
    )


def list_records(reply: RecordsReply) -> Iterator[LogRecord]:
    """Yield the records in a peer's reply."""
    for offset, data in zip(reply.offsets, reply.records, strict=False):
        yield LogRecord(offset=offset, data=data)


def make_reply(page: LogPage, *, fresh: bool) -> RecordsReply:
    """Return the reply that contains a page."""
    return RecordsReply(
        offsets=tuple(record.offset for record in page.records),
        records=tuple(record.data for record in page.records),
        next_offset=page.end_offset,
        fresh=fresh,
    )
