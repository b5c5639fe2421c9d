"""Bill the requests of draws and settle the open holds of lost holders.

A hold is doubtful if its draw was sealed before the request's spend was known. It
counts as fully spent until another run of its key is billed or the targets report it.
"""

from trefoilstage.ledger.records import BilledRequest, OpenRequest, Seal, Settle
from trefoilstage.ledger.state import (
    DoubtfulHold,
    DoubtfulHoldKey,
    DrawState,
    LedgerState,
)
from trefoilstage.util.mappings import drop_oldest

MAX_BILLED_KEYS = 200_000


def settle_draw(state: LedgerState, draw: DrawState, record: Settle | Seal) -> None:
    """Raise an open draw's spend and bill the requests that are not billed yet."""
    cumulative_spend = record.before
    for request in record.requests:
        cumulative_spend += request.tokens
        # The same settlement may arrive twice, late, or from the witness too.
        # Billing one run twice would credit tokens that were spent; the
        # cumulative spend shows which requests were billed before.
        if cumulative_spend > draw.spent:
            bill_request(state, draw.account, request)
    draw.spent = max(draw.spent, min(record.spent, draw.amount))


def bill_request(state: LedgerState, account_name: str, request: BilledRequest) -> None:
    """Bill a key for the most expensive of its runs, and credit the other runs."""
    billed_key = f"{account_name}/{request.key}"
    billed_before = state.billed.get(billed_key, 0)
    state.accounts[account_name].credit += min(billed_before, request.tokens)
    state.billed[billed_key] = max(billed_before, request.tokens)
    drop_oldest(state.billed, MAX_BILLED_KEYS)
    for hold_key in state.doubtful.get(billed_key, ()):
        reduce_doubt(state, hold_key, request.tokens)


def reduce_doubt(
    state: LedgerState, hold_key: DoubtfulHoldKey, billed_tokens: int
) -> None:
    """Release the part of a doubtful hold that is billed to another run of its key."""
    draw = state.draws[hold_key.draw]
    hold = draw.doubtful[hold_key.number]
    released = hold.doubt - min(hold.doubt, max(0, hold.tokens - billed_tokens))
    hold.doubt -= released
    draw.doubt -= released
    state.accounts[draw.account].held -= released


def add_doubtful_hold(state: LedgerState, draw_name: str, request: OpenRequest) -> None:
    """Count a hold of a sealed draw as spent, less what its key was billed."""
    draw = state.draws[draw_name]
    billed_key = f"{draw.account}/{request.key}"
    doubt = max(0, request.tokens - state.billed.get(billed_key, 0))
    draw.doubtful[request.number] = DoubtfulHold(
        key=request.key,
        tokens=request.tokens,
        doubt=doubt,
        request=request.request,
        targets=request.targets,
    )
    draw.doubt += doubt
    hold_key = DoubtfulHoldKey(draw=draw_name, number=request.number)
    state.doubtful.setdefault(billed_key, []).append(hold_key)


def remove_doubtful_hold(
    state: LedgerState, draw_name: str, number: int
) -> DoubtfulHold | None:
    """Remove a doubtful hold and its doubt; return the hold, or None if unknown."""
    draw = state.draws[draw_name]
    hold = draw.doubtful.pop(number, None)
    if hold is None:
        return None
    draw.doubt -= hold.doubt
    state.accounts[draw.account].held -= hold.doubt
    billed_key = f"{draw.account}/{hold.key}"
    hold_keys = state.doubtful[billed_key]
    hold_keys.remove(DoubtfulHoldKey(draw=draw_name, number=number))
    if not hold_keys:
        del state.doubtful[billed_key]
    return hold


def resolve_holds(
    state: LedgerState, draw_name: str, requests: tuple[BilledRequest, ...]
) -> None:
    """Bill holds of a sealed draw, except those that are no longer doubtful."""
    draw = state.draws[draw_name]
    for request in requests:
        hold = remove_doubtful_hold(state, draw_name, request.number)
        if hold is None:
            continue
        tokens = min(request.tokens, hold.tokens)
        draw.spent += tokens
        state.accounts[draw.account].held += tokens
        if tokens > 0:
            billed = BilledRequest(key=hold.key, tokens=tokens)
            bill_request(state, draw.account, billed)
    if not draw.doubtful:
        close_draw(state, draw_name)


def close_draw(state: LedgerState, draw_name: str) -> None:
    """Remove a finished draw from the state and keep only its spend."""
    draw = state.draws[draw_name]
    for number in list(draw.doubtful):
        remove_doubtful_hold(state, draw_name, number)
    del state.draws[draw_name]
    account = state.accounts[draw.account]
    account.held -= draw.charge
    account.closed_spend += draw.spent
