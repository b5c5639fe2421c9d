"""Say why a home refuses to hold tokens."""

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason


def find_reason(account: EscrowAccount, tokens: int, *, is_confirmed: bool) -> Reason:
    """Return why tokens are not held.

    `is_confirmed` says whether the account's balance is known to be current.
    """
    if not is_confirmed or account.can_cover(tokens):
        return Reason.BUDGET_UNCONFIRMED
    if account.is_nearly_spent(tokens) or account.is_gone_for_good(tokens):
        return Reason.BUDGET_EXHAUSTED
    return Reason.BUDGET_DRAWN


def log_refusal(
    account: EscrowAccount,
    request: str,
    tokens: int,
    reason: Reason,
    available: int,
    is_confirmed: bool,
) -> None:
    """Log a refused hold with the state of the account."""
    log_event(
        Event.HOLD_REFUSED,
        request=request,
        workspace=account.workspace,
        reason=reason,
        tokens=tokens,
        available=available,
        locked=account.locked,
        held=account.held,
        held_by_live=account.count_held_for_live(tokens),
        free=account.free,
        unreported_by_others=account.unreported_by_others,
        obtainable=account.obtainable,
        account_read=account.is_read,
        drawn_by_all=account.record.drawn,
        spent_by_all=account.record.spent,
        prepaid=account.prepaid,
        confirmed=is_confirmed,
    )
