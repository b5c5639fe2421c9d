"""Read one stream of the log, fold its records and append this host's records.

A stream is a sequence of records by offset. To fold a record is to apply it to the
stream's state.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from mode import Service

from trefoilstage.blackboard import StreamStatus
from trefoilstage.components.log_client.checkpoints import (
    CheckpointAssembly,
    CheckpointSchedule,
    CheckpointTracker,
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
RECORDS_BETWEEN_YIELDS = 50
# Within this time the log responds to most appends in flight, so few are sent again.
LOST_AFTER_S = 1.0
PEER_FOLD_POLL_S = 0.05

RecordListener = Callable[[int, Any, Verdict], None]
RankWriter = Callable[[str], int]


class StreamService(Service):
    """Keep one stream's fold up to date and append this host's records in order."""

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
        self._listeners: list[RecordListener] = []
        # The next offset to read in search of a checkpoint; None while folding.
        self._seek: int | None = None
        # The time from which the next record counts as lost; None while records arrive.
        self._lost_at: float | None = None
        self._assembly = CheckpointAssembly()
        self._watch = CheckpointTracker()

    @property
    def n_appends(self) -> int:
        """Return the number of groups appended."""
        return self._writer.n_appends

    @property
    def bytes_appended(self) -> int:
        """Return the number of bytes appended."""
        return self._writer.bytes_appended

    def subscribe(self, listener: RecordListener) -> Callable[[], None]:
        """Call a listener for each folded record; return a function to unsubscribe.

        It is not called for records that a restored state includes.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def submit(self, record: Any) -> Ticket:
        """Queue a record and return a ticket that resolves with the fold's verdict."""
        return self._writer.submit(record)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a record from the queue; return False if it may have been sent."""
        return self._writer.withdraw(ticket)

    async def wait_for_verdict(self, ticket: Ticket) -> Verdict:
        """Return the verdict once it can no longer be lost with this host.

        Peers may skip a record that only this host has folded if the log drops the
        record and this host is lost.
        """
        verdict = await asyncio.shield(ticket.future)
        if isinstance(verdict, Rejected):
            return verdict
        offset = self.fold.next_offset
        while not await self._source.is_folded_by_peer(self.name, offset):
            await asyncio.sleep(PEER_FOLD_POLL_S)
        return verdict

    async def on_start(self) -> None:
        """Start the tasks that read and append."""
        self._schedule.last_seen_at = asyncio.get_running_loop().time()
        # An error in either task crashes the host. If a task ended silently, the
        # host would keep serving from a state that is no longer updated.
        self.add_future(self._follow())
        self.add_future(self._writer.run())

    async def wait_for_empty_queue(self) -> None:
        """Wait until every record submitted so far has its verdict."""
        futures = self._writer.list_unresolved()
        if futures:
            await asyncio.wait(futures)

    async def _follow(self) -> None:
        while not self.status.halted:
            offset = self.fold.next_offset if self._seek is None else self._seek
            requested_at = asyncio.get_running_loop().time()
            try:
                page = await self._source.read(self.name, offset, wait_s=self._poll_s)
            except RecordsExpiredError as error:
                self._start_seek(error.earliest)
                continue
            except LogUnavailableError as error:
                self._set_unreachable(str(error))
                await asyncio.sleep(self._backoff.next_delay())
                continue
            if page.is_stale:
                self._set_unreachable("no reachable peer has access to the log")
            else:
                self._set_reachable(requested_at)
            if self._seek is None:
                await self._fold_page(page)
            else:
                await self._seek_checkpoint(page, self._seek)

    def _set_unreachable(self, detail: str) -> None:
        if self.status.reachable:
            log_event(Event.LOG_LOST, stream=self.name, detail=detail)
        self.status.reachable = False

    def _set_reachable(self, requested_at: float) -> None:
        self._backoff.reset()
        if not self.status.reachable:
            log_event(Event.LOG_BACK, stream=self.name)
        self.status.reachable = True
        # The response is at most as recent as its request. If this process was
        # suspended, a response that waited meanwhile must not count as recent.
        self.status.last_read = requested_at

    def _start_seek(self, earliest: int) -> None:
        # The log has dropped records that this host still needs. The search for a
        # checkpoint starts at the earliest record that the log still has.
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
        if position < page.end_offset:
            return
        if not await self._recover_without_checkpoint():
            await asyncio.sleep(self._backoff.next_delay())

    async def _recover_without_checkpoint(self) -> bool:
        """Continue without a checkpoint in the log; return whether it was possible."""
        packed = await self._source.fetch_state(self.name)
        if packed is not None and self._restore(packed):
            return True
        page = await self._source.find_dropped_records(self.name, self.fold.next_offset)
        if page is not None:
            self._seek = None
            await self._fold_page(page)
            return True
        return await self._skip_lost_record()

    async def _skip_lost_record(self) -> bool:
        # If the response to an append was lost and the log dropped the record before
        # any host read it, no host knows the record at that offset, and all hosts would
        # wait there permanently. The sender resends the record, so only the offset is
        # lost.
        offset = self.fold.next_offset
        now = asyncio.get_running_loop().time()
        if self._lost_at is None or now < self._lost_at:
            return False
        if not await self._source.may_skip_record(self.name, offset):
            self._lost_at = now + LOST_AFTER_S
            return False
        log_event(Event.RECORD_LOST, stream=self.name, offset=offset)
        self.fold.skip(offset)
        self.status.next_offset = self.fold.next_offset
        self._resend_lost()
        self._seek = None
        return True

    def _resend_lost(self) -> None:
        last_sequence = self.fold.get_last_sequence(self._incarnation)
        self._writer.resend_lost(self.fold.next_offset, last_sequence)

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
        self._schedule.record_checkpoint(
            self.fold.next_offset, asyncio.get_running_loop().time()
        )
        self._writer.resolve_restored(
            self.fold.get_last_sequence(self._incarnation),
            lambda record: self.fold.get_restored_verdict(self._incarnation, record),
        )
        self._resend_lost()
        log_event(Event.STATE_RESTORED, stream=self.name, offset=packed.offset)
        return True

    async def _fold_page(self, page: LogPage) -> None:
        for number, record in enumerate(page.records, start=1):
            if record.offset < self.fold.next_offset:
                continue
            # Folding past a missing record would make this host's state diverge.
            if record.offset > self.fold.next_offset:
                log_event(Event.LOG_GAP, stream=self.name, offset=record.offset)
                await asyncio.sleep(self._backoff.next_delay())
                return
            if not self._fold_record(record):
                return
            self._lost_at = None
            if number % RECORDS_BETWEEN_YIELDS == 0:
                self.status.next_offset = self.fold.next_offset
                await asyncio.sleep(0)
        self.status.next_offset = self.fold.next_offset
        self.status.caught_up = self.fold.next_offset >= page.end_offset
        self._resend_lost()
        self._write_checkpoint_if_due()

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
        self._track_checkpoint(envelope)
        self._writer.apply_verdict(envelope, verdict)
        for listener in self._listeners:
            listener(record.offset, envelope, verdict)
        return True

    def _apply(self, offset: int, envelope: Any) -> Verdict:
        try:
            return self.fold.fold(offset, envelope)
        except (UnsupportedVersionError, MemoryError, RecursionError):
            raise
        # A record on which the fold fails does so on every host. Without this
        # handler, one such record would crash every host at each start.
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

    def _track_checkpoint(self, envelope: Any) -> None:
        record = envelope.record
        if not isinstance(record, Checkpoint):
            return
        if self._watch.add(envelope.incarnation, record):
            now = asyncio.get_running_loop().time()
            self._schedule.record_checkpoint(record.offset, now)

    def _write_checkpoint_if_due(self) -> None:
        offset = self.fold.next_offset
        now = asyncio.get_running_loop().time()
        if not self.status.caught_up or not self._schedule.is_due(offset, now):
            return
        rank = self._rank_writer(f"{self.name}@{self._schedule.last_offset}")
        if not self._schedule.is_own_turn(rank, now):
            return
        self._schedule.is_writing = True
        self.add_future(self._write_checkpoint(self.fold.dump()))

    async def _write_checkpoint(self, dumped: DumpedState) -> None:
        packed = await compress_state(dumped)
        # The checkpoint goes ahead of the queue: after a long outage, a host that
        # cannot find the state before the queued records cannot fold them.
        tickets = self._writer.submit_first(split_checkpoint(packed))
        tickets[-1].future.add_done_callback(self._on_checkpoint_end)
        log_event(Event.CHECKPOINT_WRITTEN, stream=self.name, offset=packed.offset)

    def _on_checkpoint_end(self, _: object) -> None:
        self._schedule.is_writing = False


def make_backoff(generator: random.Random) -> Backoff:
    """Return the backoff between calls to the log."""
    return Backoff(initial_s=RETRY_FIRST_S, maximum_s=RETRY_MAX_S, generator=generator)
