"""Follow one stream of the log and fold it."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from mode import Service

from trefoilstage.blackboard import StreamStatus
from trefoilstage.components.log_client.checkpoints import (
    CheckpointAssembly,
    CheckpointSchedule,
    CheckpointWatch,
    DumpedState,
    PackedState,
    compress_state,
    split_checkpoint,
)
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.components.log_client.interfaces import RecordSource, StreamFold
from trefoilstage.components.log_client.writer import StreamWriter
from trefoilstage.components.log_client.writer import Ticket as Ticket
from trefoilstage.exceptions import (
    LogUnavailableError,
    MalformedMessageError,
    RecordsExpiredError,
    UnsupportedVersionError,
)
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Reason, Rejected, Verdict
from trefoilstage.ledger.records import Checkpoint
from trefoilstage.util.backoff import Backoff

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
RECORDS_PER_STEP = 50
# Most appends under way have been answered by then, so that few records are sent again.
LOST_AFTER_S = 1.0
SHARED_POLL_S = 0.05

Listener = Callable[[int, Any, Verdict], None]
RankWriter = Callable[[str], int]


class StreamService(Service):
    """Keep one stream's fold current and append this host's records in order."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        source: RecordSource,
        fold: StreamFold,
        status: StreamStatus,
        poll_s: float,
        schedule: CheckpointSchedule,
        rank_writer: RankWriter,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self.name = name
        self.fold = fold
        self.status = status
        self._incarnation = incarnation
        self._source = source
        self._poll_s = poll_s
        self._schedule = schedule
        self._rank_writer = rank_writer
        self._backoff = make_backoff(generator)
        self._writer = StreamWriter(
            name=name,
            incarnation=incarnation,
            sink=source,
            encode=fold.encode,
            decode=fold.decode,
            backoff=make_backoff(generator),
        )
        self._listeners: list[Listener] = []
        self._seek: int | None = None
        # From when on the next record counts as lost; None while records come.
        self._lost_at: float | None = None
        self._assembly = CheckpointAssembly()
        self._watch = CheckpointWatch()

    @property
    def n_appends(self) -> int:
        """Return how many groups were appended."""
        return self._writer.n_appends

    @property
    def bytes_appended(self) -> int:
        """Return how many bytes were appended."""
        return self._writer.bytes_appended

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener with each folded record until unsubscribed.

        Records inside a restored state are not told of; look at the state.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def submit(self, record: Any) -> Ticket:
        """Queue a record; its ticket resolves with the fold's verdict."""
        return self._writer.submit(record)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back a record that was never sent; tell whether that was so."""
        return self._writer.withdraw(ticket)

    async def wait_for_verdict(self, ticket: Ticket) -> Verdict:
        """Return a verdict that outlives this host.

        A record that only this host has folded may be passed over once the log has
        dropped it and this host is gone.
        """
        verdict = await asyncio.shield(ticket.future)
        if isinstance(verdict, Rejected):
            return verdict
        offset = self.fold.next_offset
        while not await self._source.is_shared(self.name, offset):
            await asyncio.sleep(SHARED_POLL_S)
        return verdict

    async def on_start(self) -> None:
        """Start following and appending."""
        self._schedule.seen_at = asyncio.get_running_loop().time()
        # A task that ends with an error ends the host: one that stopped
        # silently would leave it serving from a state that stands still.
        self.add_future(self._follow())
        self.add_future(self._writer.run())

    async def wait_for_empty_queue(self) -> None:
        """Wait until every record submitted so far was folded."""
        futures = self._writer.list_open()
        if futures:
            await asyncio.wait(futures)

    async def _follow(self) -> None:
        while not self.status.halted:
            offset = self.fold.next_offset if self._seek is None else self._seek
            asked_at = asyncio.get_running_loop().time()
            try:
                page = await self._source.read(self.name, offset, wait_s=self._poll_s)
            except RecordsExpiredError as error:
                self._start_seek(error.earliest)
                continue
            except LogUnavailableError as error:
                self._note_unreachable(str(error))
                await asyncio.sleep(self._backoff.next_delay())
                continue
            if page.stale:
                self._note_unreachable("peers have lost the log too")
            else:
                self._note_reachable(asked_at)
            if self._seek is None:
                await self._fold_page(page)
            else:
                await self._seek_checkpoint(page, self._seek)

    def _note_unreachable(self, detail: str) -> None:
        if self.status.reachable:
            log_event(Event.LOG_LOST, stream=self.name, detail=detail)
        self.status.reachable = False

    def _note_reachable(self, asked_at: float) -> None:
        self._backoff.reset()
        if not self.status.reachable:
            log_event(Event.LOG_BACK, stream=self.name)
        self.status.reachable = True
        # An answer is no newer than its question. One that lay unread while
        # this process was stopped would else count as fresh on waking.
        self.status.last_read = asked_at

    def _start_seek(self, earliest: int) -> None:
        # The records this host still needs are gone. Reading on from the
        # earliest kept one leads to a checkpoint inside retention.
        if self._seek is None:
            log_event(
                Event.STATE_EXPIRED,
                stream=self.name,
                offset=self.fold.next_offset,
                earliest=earliest,
            )
        if self._lost_at is None:
            self._lost_at = asyncio.get_running_loop().time() + LOST_AFTER_S
        self._seek = earliest
        self.status.caught_up = False

    async def _seek_checkpoint(self, page: LogPage, position: int) -> None:
        for record in page.records:
            position = record.offset + 1
            packed = self._assemble(record)
            if packed is not None and self._restore(packed):
                return
        self._seek = position
        if position < page.next_offset:
            return
        if not await self._recover():
            await asyncio.sleep(self._backoff.next_delay())

    async def _recover(self) -> bool:
        """Get on where the log has no checkpoint; tell whether that was possible."""
        packed = await self._source.fetch_state(self.name)
        if packed is not None and self._restore(packed):
            return True
        page = await self._source.search(self.name, self.fold.next_offset)
        if page is not None:
            self._seek = None
            await self._fold_page(page)
            return True
        return await self._pass_over_lost()

    async def _pass_over_lost(self) -> bool:
        # An append whose answer was lost, and which the log dropped before anybody read
        # it, is known to nobody by its offset. Every host stood before it for good.
        # Its sender sends it again, so that nothing but the offset is lost.
        offset = self.fold.next_offset
        now = asyncio.get_running_loop().time()
        if self._lost_at is None or now < self._lost_at:
            return False
        if not await self._source.is_lost(self.name, offset):
            self._lost_at = now + LOST_AFTER_S
            return False
        log_event(Event.RECORD_LOST, stream=self.name, offset=offset)
        self.fold.skip(offset)
        self.status.next_offset = self.fold.next_offset
        self._note_position()
        self._seek = None
        return True

    def _note_position(self) -> None:
        last = self.fold.get_last_sequence(self._incarnation)
        self._writer.note_position(self.fold.next_offset, last)

    def _assemble(self, record: LogRecord) -> PackedState | None:
        envelope = self._decode(record)
        if envelope is None or not isinstance(envelope.record, Checkpoint):
            return None
        return self._assembly.add(envelope.incarnation, envelope.record)

    def _restore(self, packed: PackedState) -> bool:
        try:
            restored = self.fold.restore(packed)
        except MalformedMessageError as error:
            log_event(
                Event.RECORD_MALFORMED,
                stream=self.name,
                offset=packed.offset,
                error=str(error),
            )
            return False
        if not restored:
            return False
        self._seek = None
        self._lost_at = None
        self.status.next_offset = self.fold.next_offset
        self._schedule.note_checkpoint(
            self.fold.next_offset, asyncio.get_running_loop().time()
        )
        self._writer.take_restored(
            self.fold.get_last_sequence(self._incarnation),
            lambda record: self.fold.judge_restored(self._incarnation, record),
        )
        self._note_position()
        log_event(Event.STATE_RESTORED, stream=self.name, offset=packed.offset)
        return True

    async def _fold_page(self, page: LogPage) -> None:
        for number, record in enumerate(page.records, start=1):
            if record.offset < self.fold.next_offset:
                continue
            # A state folded over a missing record parts from all others'.
            if record.offset > self.fold.next_offset:
                log_event(Event.LOG_GAP, stream=self.name, offset=record.offset)
                await asyncio.sleep(self._backoff.next_delay())
                return
            if not self._fold_record(record):
                return
            self._lost_at = None
            if number % RECORDS_PER_STEP == 0:
                self.status.next_offset = self.fold.next_offset
                await asyncio.sleep(0)
        self.status.next_offset = self.fold.next_offset
        self.status.caught_up = self.fold.next_offset >= page.next_offset
        self._note_position()
        self._checkpoint_when_due()

    def _fold_record(self, record: LogRecord) -> bool:
        envelope = self._decode(record)
        if envelope is None:
            self.fold.skip(record.offset)
            return True
        try:
            verdict = self._apply(record.offset, envelope)
        except UnsupportedVersionError as error:
            self.status.halted = True
            self.status.caught_up = False
            log_event(Event.STREAM_HALTED, stream=self.name, error=str(error))
            return False
        self._note_checkpoint(envelope)
        self._writer.take_verdict(envelope, verdict)
        for listener in self._listeners:
            listener(record.offset, envelope, verdict)
        return True

    def _apply(self, offset: int, envelope: Any) -> Verdict:
        try:
            return self.fold.fold(offset, envelope)
        except (UnsupportedVersionError, MemoryError, RecursionError):
            raise
        # A record that the fold fails on fails on every host alike. Without
        # this, one such record would end every host at each start.
        except Exception as error:
            log_event(
                Event.RECORD_FAILED,
                stream=self.name,
                offset=offset,
                error=describe_error(error),
            )
            self.fold.skip(offset)
            return Rejected(reason=Reason.INVALID, detail="the fold failed")

    def _decode(self, record: LogRecord) -> Any | None:
        try:
            return self.fold.decode(record.data)
        except MalformedMessageError as error:
            log_event(
                Event.RECORD_MALFORMED,
                stream=self.name,
                offset=record.offset,
                error=str(error),
            )
            return None

    def _note_checkpoint(self, envelope: Any) -> None:
        record = envelope.record
        if not isinstance(record, Checkpoint):
            return
        if self._watch.add(envelope.incarnation, record):
            now = asyncio.get_running_loop().time()
            self._schedule.note_checkpoint(record.offset, now)

    def _checkpoint_when_due(self) -> None:
        offset = self.fold.next_offset
        now = asyncio.get_running_loop().time()
        if not self.status.caught_up or not self._schedule.is_wanted(offset, now):
            return
        rank = self._rank_writer(f"{self.name}@{self._schedule.offset}")
        if not self._schedule.is_turn(rank, now):
            return
        self._schedule.writing = True
        self.add_future(self._write_checkpoint(self.fold.dump()))

    async def _write_checkpoint(self, dumped: DumpedState) -> None:
        packed = await compress_state(dumped)
        # Ahead of the queue: after a long outage the records that wait are
        # of no use to a host that can't find the state before them.
        tickets = self._writer.submit_first(split_checkpoint(packed))
        tickets[-1].future.add_done_callback(self._end_checkpoint)
        log_event(Event.CHECKPOINT_WRITTEN, stream=self.name, offset=packed.offset)

    def _end_checkpoint(self, _: object) -> None:
        self._schedule.writing = False


def make_backoff(generator: random.Random) -> Backoff:
    """Return the backoff for calls of the log."""
    return Backoff(initial_s=RETRY_FIRST_S, maximum_s=RETRY_MAX_S, generator=generator)
