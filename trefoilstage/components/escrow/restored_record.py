"""Make good what an account's record lost when the store came back older; pure.

The copy may lack draws that were granted from since. Each home knows its own draws, and
hosts remember what they last read of the others.
"""

from dataclasses import replace

from trefoilstage.components.escrow.record import AccountRecord, Holder


def join_records(stored: AccountRecord, known: AccountRecord) -> AccountRecord:
    """Return a restored record with all that is known to be drawn besides.

    What either counts as drawn stays drawn: too much is corrected when its holder
    writes again or is retired, too little would be drawn twice.
    """
    holders = dict(stored.holders)
    for incarnation, holder in known.holders.items():
        found = holders.get(incarnation)
        if found is None or found.drawn < holder.drawn:
            holders[incarnation] = holder
    return replace(
        stored,
        holders=holders,
        retired_drawn=max(stored.retired_drawn, known.retired_drawn),
        retired_spent=max(stored.retired_spent, known.retired_spent),
    )


def is_own_current(stored: Holder | None, own: Holder, returned: set[int]) -> bool:
    """Return whether a record holds at least what this incarnation drew last.

    `returned` are the draws that writes without a reply may have left.
    """
    return stored is not None and (
        stored.drawn >= own.drawn or stored.drawn in returned
    )


def is_own_stated(stored: Holder | None, own: Holder | None) -> bool:
    """Return whether a record holds what this incarnation stated last beside its draws.

    A write may replace the roster, or unlock tokens, without a draw. Grants to hosts
    that only the lost roster lists, or of the unlocked tokens, would not be counted
    when this incarnation is retired.
    """
    if own is None:
        return True
    return stored is not None and stored == keep_stated(stored, own)


def keep_stated(stored: Holder, own: Holder) -> Holder:
    """Return a stored holder with what its incarnation stated last beside its draws."""
    return replace(
        stored,
        locked=min(stored.locked, own.locked),
        roster=own.roster,
        used_by_former=own.used_by_former,
    )
