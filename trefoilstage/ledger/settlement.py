"""Bill the requests of draws, and settle what lost holders left in doubt."""

from trefoilstage.ledger.records import BilledRequest, OpenRequest, Seal, Settle
from trefoilstage.ledger.state import (
    DoubtfulHold,
    DoubtfulRun,
    DrawState,
    LedgerState,
)
from trefoilstage.util.mappings import drop_oldest

MAX_BILLED_KEYS = 200_000


def settle_draw(state: LedgerState, draw: DrawState, record: Settle | Seal) -> None:
    """Raise an open draw's spend and bill the requests not yet counted."""
    position = record.before
    for request in record.requests:
        position += request.tokens
        # A settlement may come twice, late, or from the witness as well. A
        # second billing of one run would credit tokens that were spent; the
        # running total tells which entries were counted before.
        if position > draw.spent:
            bill_request(state, draw.account, request)
    draw.spent = max(draw.spent, min(record.spent, draw.amount))


def bill_request(state: LedgerState, name: str, request: BilledRequest) -> None:
    """Bill a key once: the dearest of its runs, and credit the others."""
    billed = f"{name}/{request.key}"
    before = state.billed.get(billed, 0)
    state.accounts[name].credit += min(before, request.tokens)
    state.billed[billed] = max(before, request.tokens)
    drop_oldest(state.billed, MAX_BILLED_KEYS)
    for run in state.doubtful.get(billed, ()):
        lower_doubt(state, run, request.tokens)


def lower_doubt(state: LedgerState, run: DoubtfulRun, billed: int) -> None:
    """Release the part of a doubtful run that another run of its key has paid."""
    draw = state.draws[run.draw]
    hold = draw.doubtful[run.number]
    released = hold.doubt - min(hold.doubt, max(0, hold.tokens - billed))
    hold.doubt -= released
    draw.doubt -= released
    state.accounts[draw.account].held -= released


def add_doubt(state: LedgerState, name: str, request: OpenRequest) -> None:
    """Count a hold of a sealed draw as spent, less what its key has paid."""
    draw = state.draws[name]
    billed = f"{draw.account}/{request.key}"
    doubt = max(0, request.tokens - state.billed.get(billed, 0))
    draw.doubtful[request.number] = DoubtfulHold(
        key=request.key,
        tokens=request.tokens,
        doubt=doubt,
        request=request.request,
        targets=request.targets,
    )
    draw.doubt += doubt
    run = DoubtfulRun(draw=name, number=request.number)
    state.doubtful.setdefault(billed, []).append(run)


def drop_doubt(state: LedgerState, name: str, number: int) -> DoubtfulHold | None:
    """Take a hold out of doubt and return it."""
    draw = state.draws[name]
    hold = draw.doubtful.pop(number, None)
    if hold is None:
        return None
    draw.doubt -= hold.doubt
    state.accounts[draw.account].held -= hold.doubt
    billed = f"{draw.account}/{hold.key}"
    runs = state.doubtful[billed]
    runs.remove(DoubtfulRun(draw=name, number=number))
    if not runs:
        del state.doubtful[billed]
    return hold


def resolve_holds(
    state: LedgerState, name: str, requests: tuple[BilledRequest, ...]
) -> None:
    """Bill holds of a sealed draw; those not in doubt were counted before."""
    draw = state.draws[name]
    for request in requests:
        hold = drop_doubt(state, name, request.number)
        if hold is None:
            continue
        tokens = min(request.tokens, hold.tokens)
        draw.spent += tokens
        state.accounts[draw.account].held += tokens
        if tokens > 0:
            billed = BilledRequest(key=hold.key, tokens=tokens)
            bill_request(state, draw.account, billed)
    if not draw.doubtful:
        close_draw(state, name)


def close_draw(state: LedgerState, name: str) -> None:
    """Take a finished draw out of the state, keeping only its spend."""
    draw = state.draws[name]
    for number in list(draw.doubtful):
        drop_doubt(state, name, number)
    del state.draws[name]
    account = state.accounts[draw.account]
    account.held -= draw.charge
    account.closed_spend += draw.spent
