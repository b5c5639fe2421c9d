"""Apply the records of a ledger stream to one state, which is equal on every host.

The fold is this application of records in offset order. A draw is the share of an
account's tokens or watts that one host, its holder, has reserved. A second host, its
witness, acknowledges the holder's spend and seals the draw if the holder is lost.
"""

from functools import singledispatch

from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.verdict import ACCEPTED, Accepted, Reason, Rejected, Verdict
from trefoilstage.ledger.records import (
    Abandon,
    Checkpoint,
    Draw,
    Intent,
    LedgerEnvelope,
    Outcome,
    Release,
    Resolve,
    Return,
    Seal,
    SetLimit,
    Settle,
    TopUp,
    Upgrade,
)
from trefoilstage.ledger.settlement import (
    add_doubtful_hold,
    close_draw,
    resolve_holds,
    settle_draw,
)
from trefoilstage.ledger.state import (
    AccountState,
    DrawState,
    DrawStatus,
    IntentState,
    LedgerState,
)
from trefoilstage.util.mappings import drop_oldest

MAX_INTENTS = 50_000
MAX_OPERATIONS = 1_000
MAX_SEQUENCES = 20_000


def fold_ledger_envelope(
    state: LedgerState, offset: int, envelope: LedgerEnvelope
) -> Verdict:
    """Apply the record at an offset and return whether it was accepted."""
    if offset < state.next_offset:
        return Rejected(reason=Reason.DUPLICATE)
    state.next_offset = offset + 1
    rejected = advance_sequence(
        state.sequences, envelope.incarnation, envelope.sequence
    )
    if rejected is not None:
        return rejected
    return apply_record(envelope.record, state, envelope.incarnation, offset)


def advance_sequence(
    sequences: dict[str, int], incarnation: str, sequence: int
) -> Rejected | None:
    """Store a writer's newest sequence; reject a repeat or a gap in its sequences."""
    last = sequences.get(incarnation, -1)
    # A writer repeats an append whose reply was lost, and the log may then
    # contain the record twice. Without this check a draw would be granted twice.
    if sequence <= last:
        return Rejected(reason=Reason.DUPLICATE)
    # The log may have dropped the first records of a group before any host read
    # them. If the rest were accepted, the writer's repeat of the whole group would
    # have its first records rejected as duplicates.
    if sequence > last + 1:
        return Rejected(reason=Reason.OUT_OF_ORDER)
    # Re-inserting keeps the mapping in order of last use; drop_oldest relies on it.
    sequences.pop(incarnation, None)
    sequences[incarnation] = sequence
    drop_oldest(sequences, MAX_SEQUENCES)
    return None


def skip_offset(state: LedgerState, offset: int) -> None:
    """Advance past an offset without a valid record."""
    state.next_offset = max(state.next_offset, offset + 1)


@singledispatch
def apply_record(
    record: object, state: LedgerState, writer: str, offset: int
) -> Verdict:
    """Apply a record of one kind; reject a kind without a handler."""
    return Rejected(reason=Reason.NOT_APPLICABLE)


@apply_record.register
def _(record: SetLimit, state: LedgerState, writer: str, offset: int) -> Verdict:
    account = state.accounts.setdefault(record.account, AccountState())
    if record.revision <= account.revision:
        return Rejected(reason=Reason.STALE_REVISION)
    account.limit = record.limit
    account.revision = record.revision
    return ACCEPTED


@apply_record.register
def _(record: TopUp, state: LedgerState, writer: str, offset: int) -> Verdict:
    account = state.accounts.get(record.account)
    if account is None:
        return Rejected(reason=Reason.UNKNOWN_ACCOUNT)
    if record.operation in account.operations:
        return Accepted(amount=account.operations[record.operation])
    account.topped_up += record.amount
    account.operations[record.operation] = record.amount
    drop_oldest(account.operations, MAX_OPERATIONS)
    return Accepted(amount=record.amount)


@apply_record.register
def _(record: Draw, state: LedgerState, writer: str, offset: int) -> Verdict:
    account = state.accounts.get(record.account)
    if account is None:
        return Rejected(reason=Reason.UNKNOWN_ACCOUNT)
    draw = state.draws.get(record.draw)
    if draw is not None and draw.holder != writer:
        return Rejected(reason=Reason.NOT_HOLDER)
    if draw is not None and draw.status is not DrawStatus.OPEN:
        return Rejected(reason=Reason.DRAW_SEALED)
    # A holder that was paused may ask to extend a draw that was sealed and closed
    # in the meantime; reopening it would let the lost holder spend again.
    if draw is None and not record.opens:
        return Rejected(reason=Reason.DRAW_CLOSED)
    granted = min(record.amount, account.free)
    if granted <= 0 or granted < record.minimum:
        return Rejected(reason=Reason.BUDGET_EXHAUSTED, detail=str(account.free))
    if draw is None:
        draw = DrawState(
            account=record.account,
            holder=writer,
            witness=record.witness,
            opened=offset,
        )
        state.draws[record.draw] = draw
    draw.amount += granted
    account.held += granted
    return Accepted(amount=granted)


@apply_record.register
def _(record: Return, state: LedgerState, writer: str, offset: int) -> Verdict:
    draw = find_open_draw(state, record.draw, writer)
    if isinstance(draw, Rejected):
        return draw
    returned = min(record.amount, draw.amount - draw.spent)
    draw.amount -= returned
    state.accounts[draw.account].held -= returned
    return Accepted(amount=returned)


@apply_record.register
def _(record: Settle, state: LedgerState, writer: str, offset: int) -> Verdict:
    draw = state.draws.get(record.draw)
    if draw is None:
        return Rejected(reason=Reason.UNKNOWN_DRAW)
    if draw.holder != writer:
        return Rejected(reason=Reason.NOT_HOLDER)
    if draw.status is DrawStatus.SEALED:
        resolve_holds(state, record.draw, record.requests)
    else:
        settle_draw(state, draw, record)
    if record.final and record.draw in state.draws:
        close_draw(state, record.draw)
    return ACCEPTED


@apply_record.register
def _(record: Seal, state: LedgerState, writer: str, offset: int) -> Verdict:
    draw = state.draws.get(record.draw)
    if draw is None:
        return Rejected(reason=Reason.UNKNOWN_DRAW)
    if draw.witness != writer:
        return Rejected(reason=Reason.NOT_WITNESS)
    if draw.status is not DrawStatus.OPEN:
        return Rejected(reason=Reason.DRAW_SEALED)
    previous_charge = draw.charge
    settle_draw(state, draw, record)
    draw.status = DrawStatus.SEALED
    draw.sealed = offset
    draw.targets = record.targets
    for request in record.opened:
        add_doubtful_hold(state, record.draw, request)
    state.accounts[draw.account].held += draw.charge - previous_charge
    released = previous_charge - draw.charge
    if not draw.doubtful:
        close_draw(state, record.draw)
    return Accepted(amount=released)


@apply_record.register
def _(record: Resolve, state: LedgerState, writer: str, offset: int) -> Verdict:
    draw = state.draws.get(record.draw)
    if draw is None:
        return Rejected(reason=Reason.UNKNOWN_DRAW)
    if draw.status is not DrawStatus.SEALED:
        return Rejected(reason=Reason.NOT_APPLICABLE)
    # Any host may write this record: the amounts come from the targets, which
    # report the same to every host, and the sealed holder can no longer send
    # requests.
    resolve_holds(state, record.draw, record.requests)
    return ACCEPTED


@apply_record.register
def _(record: Release, state: LedgerState, writer: str, offset: int) -> Verdict:
    draw = state.draws.get(record.draw)
    if draw is None:
        return Rejected(reason=Reason.UNKNOWN_DRAW)
    if not draw.account.startswith(SITE_ACCOUNT_PREFIX):
        return Rejected(reason=Reason.NOT_APPLICABLE)
    # Any host may ask the targets to refuse the holder, because the witness may be
    # lost too. The refusal up to a fencing number does not cover a draw that was
    # opened after that number: the draw's holder may still run requests.
    if record.fencing < draw.opened:
        return Rejected(reason=Reason.STALE_REVISION)
    close_draw(state, record.draw)
    return ACCEPTED


@apply_record.register
def _(record: Intent, state: LedgerState, writer: str, offset: int) -> Verdict:
    intent = state.intents.get(record.key)
    if intent is None:
        state.intents[record.key] = IntentState(
            workspace=record.workspace,
            service=record.service,
            body_digest=record.body_digest,
            owner=writer,
            offset=offset,
        )
        while len(state.intents) > MAX_INTENTS:
            del state.intents[next(iter(state.intents))]
        return ACCEPTED
    if intent.body_digest != record.body_digest:
        return Rejected(reason=Reason.KEY_REUSED)
    return Rejected(reason=Reason.DUPLICATE)


@apply_record.register
def _(record: Outcome, state: LedgerState, writer: str, offset: int) -> Verdict:
    intent = state.intents.get(record.key)
    if intent is None or intent.owner != writer:
        return Rejected(reason=Reason.NOT_HOLDER)
    if intent.status is not None:
        return Rejected(reason=Reason.DUPLICATE)
    intent.status = record.status
    intent.body = record.body
    intent.content_type = record.content_type
    intent.known = record.known
    intent.whole = record.whole
    return ACCEPTED


@apply_record.register
def _(record: Abandon, state: LedgerState, writer: str, offset: int) -> Verdict:
    intent = state.intents.get(record.key)
    if intent is None or intent.owner != writer:
        return Rejected(reason=Reason.NOT_HOLDER)
    if intent.status is not None:
        return Rejected(reason=Reason.NOT_APPLICABLE)
    del state.intents[record.key]
    return ACCEPTED


@apply_record.register
def _(record: Checkpoint, state: LedgerState, writer: str, offset: int) -> Verdict:
    return ACCEPTED


@apply_record.register
def _(record: Upgrade, state: LedgerState, writer: str, offset: int) -> Verdict:
    if record.version != state.fold_version + 1:
        return Rejected(reason=Reason.STALE_REVISION)
    state.fold_version = record.version
    return ACCEPTED


def find_open_draw(
    state: LedgerState, draw_name: str, writer: str
) -> DrawState | Rejected:
    """Return an open draw of this writer, or why the writer must not change it."""
    draw = state.draws.get(draw_name)
    if draw is None:
        return Rejected(reason=Reason.UNKNOWN_DRAW)
    if draw.holder != writer:
        return Rejected(reason=Reason.NOT_HOLDER)
    if draw.status is not DrawStatus.OPEN:
        return Rejected(reason=Reason.DRAW_SEALED)
    return draw
