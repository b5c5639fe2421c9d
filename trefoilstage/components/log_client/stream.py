"""Follow one stream of the log and append to it."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from mode import Service

from trefoilstage.blackboard import StreamStatus
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.exceptions import (
    LogUnavailableError,
    MalformedMessageError,
    RecordsExpiredError,
)
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Rejected, Verdict

MAX_GROUP = 200
RETRY_S = 0.1

Listener = Callable[[int, Any, Verdict], None]


class RecordSource(Protocol):
    """Read and append records, at the log or through a peer."""

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group and return its first offset."""

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset on."""


class StreamFold(Protocol):
    """Fold one kind of stream; hides its codec, state and checkpoint form."""

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""

    def decode(self, data: bytes) -> Any:
        """Return the envelope in a record's bytes."""

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""

    def fold(self, offset: int, envelope: Any) -> Verdict:
        """Apply an envelope at its offset."""

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""

    def restore(self, envelope: Any) -> bool:
        """Take the state from a checkpoint envelope; tell whether it was one."""

    def make_checkpoint(self) -> Any:
        """Return a checkpoint record of the present state."""

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""


@dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """Follow one submitted record to its verdict."""

    record: Any
    future: asyncio.Future[Verdict]
    sequence: int | None = None

    @property
    def attempted(self) -> bool:
        """Tell whether the record may have reached the log."""
        return self.sequence is not None


class StreamService(Service):  # type: ignore[misc]
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
        checkpoint_every: int,
    ) -> None:
        super().__init__()
        self.name = name
        self.fold = fold
        self.status = status
        self._incarnation = incarnation
        self._source = source
        self._poll_s = poll_s
        self._checkpoint_every = checkpoint_every
        self._next_sequence = 0
        self._queue: deque[Ticket] = deque()
        self._pending: dict[int, Ticket] = {}
        self._wake = asyncio.Event()
        self._listeners: list[Listener] = []
        self._last_checkpoint = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.n_appends = 0
        self.bytes_appended = 0

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener with each folded record until unsubscribed."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def submit(self, record: Any) -> Ticket:
        """Queue a record; its ticket resolves with the fold's verdict."""
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        ticket = Ticket(record=record, future=future)
        self._queue.append(ticket)
        self._wake.set()
        return ticket

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back a record that was never sent; tell whether that was so."""
        if ticket.attempted:
            return False
        self._queue.remove(ticket)
        ticket.future.cancel()
        return True

    async def on_start(self) -> None:
        """Start following and appending."""
        self._tasks = [
            asyncio.create_task(self._follow(), name=f"follow {self.name}"),
            asyncio.create_task(self._append(), name=f"append {self.name}"),
        ]

    async def on_stop(self) -> None:
        """Stop following and appending."""
        for task in self._tasks:
            task.cancel()

    async def wait_for_empty_queue(self) -> None:
        """Wait until every record submitted so far was folded."""
        futures = [ticket.future for ticket in self._queue]
        futures += [ticket.future for ticket in self._pending.values()]
        if futures:
            await asyncio.wait(futures)

    async def _follow(self) -> None:
        position: int | None = None
        while True:
            offset = self.fold.next_offset if position is None else position
            try:
                page = await self._source.read(self.name, offset, wait_s=self._poll_s)
            except RecordsExpiredError as error:
                # The records this host still needs are gone. Reading on from
                # the earliest kept one leads to a checkpoint inside retention.
                position = error.earliest
                self.status.caught_up = False
                continue
            except LogUnavailableError as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self._note_reachable(True)
            if position is None:
                self._fold_page(page)
            else:
                position = self._seek_checkpoint(page, position)

    def _note_reachable(self, reachable: bool, detail: str = "") -> None:
        if reachable != self.status.reachable:
            event = Event.LOG_BACK if reachable else Event.LOG_LOST
            log_event(event, stream=self.name, detail=detail)
        self.status.reachable = reachable
        if reachable:
            self.status.last_read = asyncio.get_running_loop().time()

    def _seek_checkpoint(self, page: LogPage, position: int) -> int | None:
        for record in page.records:
            position = record.offset + 1
            envelope = self._decode(record)
            if envelope is not None and self.fold.restore(envelope):
                log_event(
                    Event.STATE_RESTORED, stream=self.name, offset=self.fold.next_offset
                )
                self._resolve_skipped()
                return None
        return position

    def _resolve_skipped(self) -> None:
        last = self.fold.get_last_sequence(self._incarnation)
        for sequence in [number for number in self._pending if number <= last]:
            ticket = self._pending.pop(sequence)
            if not ticket.future.done():
                ticket.future.set_result(Rejected(reason=Reason.NOT_READY))

    def _fold_page(self, page: LogPage) -> None:
        for record in page.records:
            if record.offset < self.fold.next_offset:
                continue
            envelope = self._decode(record)
            if envelope is None:
                self.fold.skip(record.offset)
                continue
            verdict = self.fold.fold(record.offset, envelope)
            self._resolve(envelope, verdict)
            for listener in self._listeners:
                listener(record.offset, envelope, verdict)
        self.status.next_offset = self.fold.next_offset
        self.status.caught_up = self.fold.next_offset >= page.next_offset
        self._checkpoint_when_due()

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

    def _resolve(self, envelope: Any, verdict: Verdict) -> None:
        if envelope.incarnation != self._incarnation:
            return
        ticket = self._pending.pop(envelope.sequence, None)
        if ticket is not None and not ticket.future.done():
            ticket.future.set_result(verdict)

    def _checkpoint_when_due(self) -> None:
        due = self._last_checkpoint + self._checkpoint_every
        if not self.status.caught_up or self.fold.next_offset < due:
            return
        self._last_checkpoint = self.fold.next_offset
        self.submit(self.fold.make_checkpoint())
        log_event(
            Event.CHECKPOINT_WRITTEN, stream=self.name, offset=self.fold.next_offset
        )

    async def _append(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._append_group()

    async def _append_group(self) -> None:
        group: list[Ticket] = []
        data: list[bytes] = []
        while self._queue and len(group) < MAX_GROUP:
            ticket = self._queue.popleft()
            ticket.sequence = self._next_sequence
            self._next_sequence += 1
            self._pending[ticket.sequence] = ticket
            group.append(ticket)
            data.append(
                self.fold.encode(self._incarnation, ticket.sequence, ticket.record)
            )
        # An append without an answer may have landed. Sending the same group
        # again is safe because the fold drops sequences it has seen; sending
        # the next group first would make this one look like a repeat.
        while not all(ticket.future.done() for ticket in group):
            try:
                await self._source.append(self.name, data)
            except LogUnavailableError as error:
                self._note_reachable(False, str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self.n_appends += 1
            self.bytes_appended += sum(map(len, data))
            return
