"""Read from the log, or through peers while the log is out of reach."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import replace

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.checkpoints import PackedState
from trefoilstage.components.log_client.client import LogClient, LogPage, LogRecord
from trefoilstage.components.log_client.kept import KeptRecords
from trefoilstage.components.log_client.reach import LogReach
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import (
    AppendRecords,
    AppendReply,
    PeerMessage,
    ReadRecords,
    RecordsReply,
)
from trefoilstage.components.peers.positions import may_pass_over
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.state_transfer import fetch_state
from trefoilstage.exceptions import (
    LogUnavailableError,
    NotReadyError,
    RecordsExpiredError,
)
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.util.backoff import Backoff

RELAY_POLL_S = 0.1
PROBE_FIRST_S = 0.2
PROBE_MAX_S = 2.0


class RelayedLog(Service):
    """Use the log while it answers and peers while it does not.

    A record is the same from whoever relays it. A peer answers a read from
    its own memory or the log, never through a third host, so no call loops.
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
        self._reach = LogReach(timeout_base_s=timeout_s)
        self._backoff = Backoff(
            initial_s=PROBE_FIRST_S, maximum_s=PROBE_MAX_S, generator=generator
        )
        self._kept = KeptRecords()
        self._lost = asyncio.Event()
        self._probed = ""
        server.register(ReadRecords, self._answer_read)
        server.register(AppendRecords, self._answer_append)

    async def on_start(self) -> None:
        """Start probing whenever the log is out of reach."""
        self.add_future(self._probe())

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group and return its first offset."""
        if self._reach.up:
            try:
                return await self._append_direct(stream, records)
            except LogUnavailableError:
                self._note_failure(stream)
        message = AppendRecords(stream=stream, records=tuple(records))
        async for reply in self._peers.ask(message, self._peers.rank()):
            if isinstance(reply, AppendReply):
                self._kept.add_appended(stream, reply.first, records)
                return reply.first
        raise LogUnavailableError("neither the log nor a peer appends")

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset on."""
        page = await self._read(stream, offset, wait_s)
        # Also a record that was on its way when the offset was fenced.
        if self._kept.is_fenced(stream, offset):
            earliest = self._kept.find_first_beyond(stream)
            raise RecordsExpiredError(earliest=earliest)
        return page

    async def _read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        if self._reach.up:
            try:
                return await self._read_direct(stream, offset, wait_s)
            except LogUnavailableError:
                self._note_failure(stream)
            except RecordsExpiredError as error:
                return await self._read_expired(stream, offset, error)
        page = await self._read_from_peers(stream, offset)
        self._kept.add_read(stream, page)
        if not page.records:
            await asyncio.sleep(RELAY_POLL_S)
        return page

    async def _read_expired(
        self, stream: str, offset: int, error: RecordsExpiredError
    ) -> LogPage:
        """Return records that the log has dropped, from whoever appended them."""
        page = await self.search(stream, offset)
        if page is None:
            raise error
        return page

    async def search(self, stream: str, offset: int) -> LogPage | None:
        """Return records that the log dropped, from whoever appended or read them."""
        page = self._kept.find(stream, offset)
        if page is None:
            page = await self._search_peers(stream, offset)
        if page is None or self._kept.is_fenced(stream, offset):
            return None
        self._kept.add_read(stream, page)
        return page

    async def _search_peers(self, stream: str, offset: int) -> LogPage | None:
        # Only one or two hosts hold such a record. A peer that knows of nothing newer
        # must not end the search, and each try asks other peers of a large fleet.
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.ask(message, self._peers.pick_next()):
            if isinstance(reply, RecordsReply) and reply.records:
                return make_page(reply)
        return None

    async def is_lost(self, stream: str, offset: int) -> bool:
        """Tell whether this host is to go on without the record at an offset."""
        if not self._reach.up:
            return False
        if not await may_pass_over(self._peers, stream, offset):
            return False
        if not self._fence(stream, offset):
            return False
        return await may_pass_over(self._peers, stream, offset, fence=True)

    def _fence(self, stream: str, offset: int) -> bool:
        """Promise not to fold the record at an offset, unless it is known here."""
        status = self._blackboard.streams.get(stream)
        if status is None or status.next_offset > offset:
            return False
        return self._kept.fence(stream, offset)

    async def is_shared(self, stream: str, offset: int) -> bool:
        """Tell whether another host, if one lives, has folded up to an offset."""
        names = self._peers.rank()
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.ask(message, names):
            if isinstance(reply, RecordsReply) and (reply.folded or 0) >= offset:
                return True
        return not names

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Return a peer's state of a stream, or None when no peer gives it."""
        return await fetch_state(self._peers, stream)

    async def _append_direct(self, stream: str, records: list[bytes]) -> int:
        started = asyncio.get_running_loop().time()
        first = await self._client.append(
            stream, records, timeout_s=self._reach.timeout_s
        )
        self._note_answer(asyncio.get_running_loop().time() - started)
        self._kept.add_appended(stream, first, records)
        return first

    async def _read_direct(self, stream: str, offset: int, wait_s: float) -> LogPage:
        started = asyncio.get_running_loop().time()
        page = await self._client.read(
            stream, offset, wait_s=wait_s, timeout_s=self._reach.timeout_s
        )
        duration_s = asyncio.get_running_loop().time() - started
        self._note_answer(max(0.0, duration_s - wait_s))
        self._kept.add_read(stream, page)
        return page

    def _note_answer(self, duration_s: float) -> None:
        if self._reach.note_answer(duration_s):
            log_event(Event.LOG_IN_REACH, host=self._blackboard.host)
        self._blackboard.log_in_reach = True

    def _note_failure(self, stream: str) -> None:
        if self._reach.note_failure():
            log_event(Event.LOG_OUT_OF_REACH, host=self._blackboard.host)
        self._blackboard.log_in_reach = False
        self._probed = stream
        self._lost.set()

    async def _probe(self) -> None:
        # Beside the peers' answers, so that no read waits for a log that is
        # gone. The timeout grows: a slow log must be heard in the end.
        while True:
            await self._lost.wait()
            await asyncio.sleep(self._backoff.next_delay())
            offset = self._kept.get_next(self._probed)
            try:
                await self._read_direct(self._probed, offset, 0.0)
            except RecordsExpiredError:
                self._note_answer(0.0)
            except LogUnavailableError:
                self._reach.lengthen_timeout()
                continue
            self._backoff.reset()
            self._lost.clear()

    async def _read_from_peers(self, stream: str, offset: int) -> LogPage:
        stale: RecordsReply | None = None
        expired: RecordsReply | None = None
        message = ReadRecords(stream=stream, offset=offset)
        async for reply in self._peers.ask(message, self._peers.rank()):
            if not isinstance(reply, RecordsReply):
                continue
            if reply.expired:
                expired = reply
            elif reply.records or reply.fresh:
                return make_page(reply)
            elif stale is None or reply.next_offset > stale.next_offset:
                stale = reply
        if expired is not None:
            raise RecordsExpiredError(earliest=expired.earliest)
        if stale is None:
            raise LogUnavailableError("neither the log nor a peer answers")
        return make_page(stale)

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
        page = self._kept.find(message.stream, message.offset)
        return make_reply(page, fresh=True) if page else RecordsReply()

    async def _find_records(self, message: ReadRecords) -> RecordsReply:
        page = self._kept.find(message.stream, message.offset)
        page = page or self._kept.find_end(message.stream, message.offset)
        if page is not None:
            return make_reply(page, fresh=self._reach.up)
        if not self._reach.up:
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
        if not self._reach.up:
            raise NotReadyError("the log is out of reach")
        first = await self._client.append(
            message.stream, list(message.records), timeout_s=self._reach.timeout_s
        )
        # The host that asked may end before its answer arrives.
        self._kept.add_appended(message.stream, first, message.records)
        return AppendReply(first=first)


def make_page(reply: RecordsReply) -> LogPage:
    """Return the page in a peer's reply."""
    return LogPage(
        records=tuple(list_records(reply)),
        next_offset=reply.next_offset,
        stale=not reply.fresh and not reply.records,
    )


def list_records(reply: RecordsReply) -> Iterator[LogRecord]:
    """Yield the records in a peer's reply."""
    for offset, data in zip(reply.offsets, reply.records, strict=False):
        yield LogRecord(offset=offset, data=data)


def make_reply(page: LogPage, *, fresh: bool) -> RecordsReply:
    """Return the reply that carries a page."""
    return RecordsReply(
        offsets=tuple(record.offset for record in page.records),
        records=tuple(record.data for record in page.records),
        next_offset=page.next_offset,
        fresh=fresh,
    )
