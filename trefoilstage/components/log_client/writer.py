"""Queue this host's records of one stream and append them in order.

Each record gets a sequence number of this host's incarnation. A verdict is the fold's
acceptance or rejection of a record; it is known once the record has been read back.
"""

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

MAX_GROUP_RECORDS = 200
MAX_GROUP_BYTES = 1_000_000
# How long an append may wait for its response after its records have been read back and
# folded. The response usually arrives with them, and aborting the call would close the
# connection to the log.
MAX_RESPONSE_WAIT_AFTER_FOLD_S = 0.2

Encode = Callable[[str, int, Any], bytes]


class RecordSink(Protocol):
    """Append records, directly at the log or through a peer host."""

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group of records and return the offset of the first one."""


@dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """Track one submitted record until its verdict."""

    record: Any
    future: asyncio.Future[Verdict]
    sequence: int | None = None
    # The offset of its newest copy, None until the log has replied.
    offset: int | None = None

    @property
    def may_be_in_log(self) -> bool:
        """Return whether the record may have reached the log."""
        return self.sequence is not None


class StreamWriter:
    """Assign sequences to records, append them in groups and resolve their tickets."""

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
        self._resend_queue: deque[Ticket] = deque()
        self._pending: dict[int, Ticket] = {}
        self._wake = asyncio.Event()
        self._verdict_received = asyncio.Event()
        # The timeout of the append in flight, None without one.
        self._append_timeout: asyncio.Timeout | None = None
        self._group_in_flight: list[Ticket] = []
        self.n_appends = 0
        self.bytes_appended = 0

    def submit(self, record: Any) -> Ticket:
        """Queue a record and return a ticket that resolves with the fold's verdict."""
        ticket = make_ticket(record)
        self._queue.append(ticket)
        self._wake.set()
        return ticket

    def submit_first(self, records: list[Any]) -> list[Ticket]:
        """Queue records ahead of those already queued."""
        tickets = [make_ticket(record) for record in records]
        self._queue.extendleft(reversed(tickets))
        self._wake.set()
        return tickets

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a record from the queue; return False if it may have been sent."""
        if ticket.may_be_in_log or ticket not in self._queue:
            return False
        self._queue.remove(ticket)
        ticket.future.cancel()
        return True

    def list_unresolved(self) -> list[asyncio.Future[Verdict]]:
        """Return the futures of all records without a verdict."""
        tickets = [*self._queue, *self._pending.values()]
        return [ticket.future for ticket in tickets]

    def apply_verdict(self, envelope: Any, verdict: Verdict) -> None:
        """Resolve the ticket of a folded record if this host submitted it.

        A record rejected as out of order stays pending, because it is sent again.
        """
        if envelope.incarnation != self._incarnation:
            return
        if isinstance(verdict, Rejected) and verdict.reason is Reason.OUT_OF_ORDER:
            return
        ticket = self._pending.pop(envelope.sequence, None)
        if ticket is not None:
            resolve_ticket(ticket, verdict)
            self._on_verdict()

    def resend_lost(self, next_offset: int, last_sequence: int) -> None:
        """Resend all pending records if the fold is past the first without a verdict.

        Raise SequenceForgottenError if the fold no longer knows this incarnation.
        """
        first = next(iter(self._pending.values()), None)
        if first is None or first.offset is None or first.offset >= next_offset:
            return
        if first.sequence and last_sequence < 0:
            raise SequenceForgottenError(
                f"stream {self._name} does not know incarnation {self._incarnation}"
            )
        log_event(
            Event.RECORDS_SENT_AGAIN,
            stream=self._name,
            offset=first.offset,
            records=len(self._pending),
        )
        self._resend_queue = deque(self._pending.values())
        for ticket in self._resend_queue:
            ticket.offset = None
        self._wake.set()

    def resolve_restored(
        self, last_sequence: int, get_verdict: Callable[[Any], Verdict]
    ) -> None:
        """Resolve the tickets of records that a restored state includes."""
        for sequence in [item for item in self._pending if item <= last_sequence]:
            ticket = self._pending.pop(sequence)
            resolve_ticket(ticket, get_verdict(ticket.record))
            self._on_verdict()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._resend_queue or self._queue:
                await self._send(*self._dequeue_group())

    def _dequeue_group(self) -> tuple[list[Ticket], list[bytes]]:
        group: list[Ticket] = []
        data: list[bytes] = []
        n_bytes = 0
        while len(group) < MAX_GROUP_RECORDS and (
            queue := self._resend_queue or self._queue
        ):
            ticket = queue[0]
            if ticket.may_be_in_log and ticket.sequence not in self._pending:
                queue.popleft()
                continue
            encoded = self._encode_ticket(ticket)
            if group and n_bytes + len(encoded) > MAX_GROUP_BYTES:
                break
            queue.popleft()
            # The log would reject a record that is too large on every attempt, and no
            # host could fold a malformed one; the records queued behind it would never
            # be sent.
            record_error = self._find_record_error(encoded)
            if record_error:
                resolve_ticket(
                    ticket, Rejected(reason=Reason.INVALID, detail=record_error)
                )
                continue
            n_bytes += len(encoded)
            self._assign_sequence(ticket)
            group.append(ticket)
            data.append(encoded)
        return group, data

    def _find_record_error(self, encoded: bytes) -> str:
        """Return why a record must not be sent, or an empty string."""
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

    def _assign_sequence(self, ticket: Ticket) -> None:
        if ticket.may_be_in_log:
            return
        ticket.sequence = self._next_sequence
        self._pending[self._next_sequence] = ticket
        self._next_sequence += 1

    async def _send(self, group: list[Ticket], data: list[bytes]) -> None:
        # An append without a response may have taken effect. Resending the group is
        # safe because the fold rejects sequences that it has seen. The next group
        # must wait: the fold rejects a sequence that comes before its predecessors.
        while self._has_pending(group):
            try:
                first = await self._append(group, data)
            except LogUnavailableError:
                await self._wait_for_verdict()
                continue
            except TimeoutError:
                continue
            self._backoff.reset()
            set_offsets(group, first)
            self.n_appends += 1
            self.bytes_appended += sum(map(len, data))
            return

    async def _append(self, group: list[Ticket], data: list[bytes]) -> int:
        """Append a group; raise TimeoutError if folded long before the response."""
        self._group_in_flight = group
        try:
            async with asyncio.timeout(None) as self._append_timeout:
                return await self._sink.append(self._name, data)
        finally:
            self._append_timeout = None

    def _on_verdict(self) -> None:
        self._verdict_received.set()
        if self._append_timeout is None or self._has_pending(self._group_in_flight):
            return
        now = asyncio.get_running_loop().time()
        self._append_timeout.reschedule(now + MAX_RESPONSE_WAIT_AFTER_FOLD_S)
        self._append_timeout = None

    def _has_pending(self, group: list[Ticket]) -> bool:
        return any(ticket.sequence in self._pending for ticket in group)

    async def _wait_for_verdict(self) -> None:
        # The group may be read back, and thus get its verdicts, within the delay.
        self._verdict_received.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._backoff.next_delay()):
                await self._verdict_received.wait()


def make_ticket(record: Any) -> Ticket:
    """Return a new ticket without a verdict."""
    future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
    return Ticket(record=record, future=future)


def set_offsets(group: list[Ticket], first: int) -> None:
    """Set the offsets of a group's tickets if the log returned the first one."""
    if first == NO_OFFSET:
        return
    for offset, ticket in enumerate(group, start=first):
        ticket.offset = offset


def resolve_ticket(ticket: Ticket, verdict: Verdict) -> None:
    """Set a ticket's verdict unless its submitter has cancelled it."""
    if not ticket.future.done():
        ticket.future.set_result(verdict)
