"""Queue this host's records of one stream and append them in order."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from trefoilstage.const import MAX_RECORD_BYTES, NO_OFFSET
from trefoilstage.exceptions import (
    LogUnavailableError,
    MalformedMessageError,
    SequenceForgottenError,
)
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Rejected, Verdict
from trefoilstage.util.backoff import Backoff

MAX_GROUP = 200
MAX_GROUP_BYTES = 1_000_000
# An answer mostly comes at the same moment as the record. Giving it up costs the
# connection to the log.
ANSWER_AFTER_FOLD_S = 0.2

Encode = Callable[[str, int, Any], bytes]


class RecordSink(Protocol):
    """Append records, at the log or through a peer."""

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group and return its first offset."""


@dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """Follow one submitted record to its verdict."""

    record: Any
    future: asyncio.Future[Verdict]
    sequence: int | None = None
    # Where its newest copy lies, None before the log has answered.
    offset: int | None = None

    @property
    def attempted(self) -> bool:
        """Tell whether the record may have reached the log."""
        return self.sequence is not None


class StreamWriter:
    """Number records, send them in groups and resolve their tickets."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        sink: RecordSink,
        encode: Encode,
        decode: Callable[[bytes], Any],
        backoff: Backoff,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._sink = sink
        self._encode = encode
        self._decode = decode
        self._backoff = backoff
        self._next_sequence = 0
        self._queue: deque[Ticket] = deque()
        self._again: deque[Ticket] = deque()
        self._pending: dict[int, Ticket] = {}
        self._wake = asyncio.Event()
        self._progress = asyncio.Event()
        # The wait for the answer to an append, while there is one.
        self._waiting: asyncio.Timeout | None = None
        self._sending: list[Ticket] = []
        self.n_appends = 0
        self.bytes_appended = 0

    def submit(self, record: Any) -> Ticket:
        """Queue a record; its ticket resolves with the fold's verdict."""
        ticket = make_ticket(record)
        self._queue.append(ticket)
        self._wake.set()
        return ticket

    def submit_first(self, records: list[Any]) -> list[Ticket]:
        """Queue records ahead of those that wait."""
        tickets = [make_ticket(record) for record in records]
        self._queue.extendleft(reversed(tickets))
        self._wake.set()
        return tickets

    def withdraw(self, ticket: Ticket) -> bool:
        """Take back a record that was never sent; tell whether that was so."""
        if ticket.attempted or ticket not in self._queue:
            return False
        self._queue.remove(ticket)
        ticket.future.cancel()
        return True

    def list_open(self) -> list[asyncio.Future[Verdict]]:
        """Return the futures of every record without a verdict."""
        tickets = [*self._queue, *self._pending.values()]
        return [ticket.future for ticket in tickets]

    def take_verdict(self, envelope: Any, verdict: Verdict) -> None:
        """Resolve the ticket of a folded record, if it is this host's."""
        if envelope.incarnation != self._incarnation:
            return
        if isinstance(verdict, Rejected) and verdict.reason is Reason.OUT_OF_ORDER:
            return
        ticket = self._pending.pop(envelope.sequence, None)
        if ticket is not None:
            resolve(ticket, verdict)
            self._note_progress()

    def note_position(self, next_offset: int, last: int) -> None:
        """Send again what lies before the offset and got no verdict there."""
        first = next(iter(self._pending.values()), None)
        if first is None or first.offset is None or first.offset >= next_offset:
            return
        if first.sequence and last < 0:
            raise SequenceForgottenError(
                f"stream {self._name} no longer knows incarnation {self._incarnation}"
            )
        log_event(
            Event.RECORDS_SENT_AGAIN,
            stream=self._name,
            offset=first.offset,
            records=len(self._pending),
        )
        self._again = deque(self._pending.values())
        for ticket in self._again:
            ticket.offset = None
        self._wake.set()

    def take_restored(self, last: int, judge: Callable[[Any], Verdict]) -> None:
        """Resolve the tickets whose records lie inside a restored state."""
        for sequence in [number for number in self._pending if number <= last]:
            ticket = self._pending.pop(sequence)
            resolve(ticket, judge(ticket.record))
            self._note_progress()

    async def run(self) -> None:
        """Append what is queued, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._again or self._queue:
                await self._send(*self._take_group())

    def _take_group(self) -> tuple[list[Ticket], list[bytes]]:
        group: list[Ticket] = []
        data: list[bytes] = []
        n_bytes = 0
        while len(group) < MAX_GROUP and (queue := self._again or self._queue):
            ticket = queue[0]
            if ticket.attempted and ticket.sequence not in self._pending:
                queue.popleft()
                continue
            encoded = self._encode_ticket(ticket)
            if group and n_bytes + len(encoded) > MAX_GROUP_BYTES:
                break
            queue.popleft()
            # The log refuses such a record each time it is sent, or no host can fold
            # it, and everything queued behind it would wait for ever.
            fault = self._find_fault(encoded)
            if fault:
                resolve(ticket, Rejected(reason=Reason.INVALID, detail=fault))
                continue
            n_bytes += len(encoded)
            self._number(ticket)
            group.append(ticket)
            data.append(encoded)
        return group, data

    def _find_fault(self, encoded: bytes) -> str:
        """Return why a record must not be sent, empty if it may."""
        if len(encoded) > MAX_RECORD_BYTES:
            return f"{len(encoded)} bytes, limit {MAX_RECORD_BYTES}"
        try:
            self._decode(encoded)
        except MalformedMessageError as error:
            return str(error)
        return ""

    def _encode_ticket(self, ticket: Ticket) -> bytes:
        sequence = ticket.sequence
        if sequence is None:
            sequence = self._next_sequence
        return self._encode(self._incarnation, sequence, ticket.record)

    def _number(self, ticket: Ticket) -> None:
        if ticket.attempted:
            return
        ticket.sequence = self._next_sequence
        self._pending[self._next_sequence] = ticket
        self._next_sequence += 1

    async def _send(self, group: list[Ticket], data: list[bytes]) -> None:
        # An append without an answer may have landed. Sending the same group
        # again is safe because the fold drops sequences it has seen; sending
        # the next group first would make this one look like a repeat.
        while self._has_open(group):
            try:
                first = await self._append(group, data)
            except LogUnavailableError:
                await self._wait_for_verdict()
                continue
            except TimeoutError:
                continue
            self._backoff.reset()
            note_offsets(group, first)
            self.n_appends += 1
            self.bytes_appended += sum(map(len, data))
            return

    async def _append(self, group: list[Ticket], data: list[bytes]) -> int:
        """Append a group; raise TimeoutError when only the answer is still to come."""
        self._sending = group
        try:
            async with asyncio.timeout(None) as self._waiting:
                return await self._sink.append(self._name, data)
        finally:
            self._waiting = None

    def _note_progress(self) -> None:
        self._progress.set()
        if self._waiting is None or self._has_open(self._sending):
            return
        now = asyncio.get_running_loop().time()
        self._waiting.reschedule(now + ANSWER_AFTER_FOLD_S)
        self._waiting = None

    def _has_open(self, group: list[Ticket]) -> bool:
        return any(ticket.sequence in self._pending for ticket in group)

    async def _wait_for_verdict(self) -> None:
        # The follower may show within the delay that the group has landed.
        self._progress.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._backoff.next_delay()):
                await self._progress.wait()


def make_ticket(record: Any) -> Ticket:
    """Return a ticket without a verdict."""
    future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
    return Ticket(record=record, future=future)


def note_offsets(group: list[Ticket], first: int) -> None:
    """Note where the log has put a group, if it has told."""
    if first == NO_OFFSET:
        return
    for offset, ticket in enumerate(group, start=first):
        ticket.offset = offset


def resolve(ticket: Ticket, verdict: Verdict) -> None:
    """Give a ticket its verdict unless its submitter has cancelled it."""
    if not ticket.future.done():
        ticket.future.set_result(verdict)
