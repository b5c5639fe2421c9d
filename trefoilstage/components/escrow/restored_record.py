"""Make good what an account's record lost when the store came back older; pure.

The copy may lack draws that were granted from since. Each home knows its own draws, and
hosts remember what they last read of the others.
"""

from dataclasses import replace

from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.rosters import UNKNOWN_ROSTER


def join_records(stored: AccountRecord, known: AccountRecord) -> AccountRecord:
    """Return a restored record with all that is known to be drawn besides."""
    holders = dict(stored.holders)
    for incarnation, holder in known.holders.items():
        found = holders.get(incarnation)
        holders[incarnation] = join_holders(found, holder) if found else holder
    return replace(
        stored,
        holders=holders,
        retired_drawn=max(stored.retired_drawn, known.retired_drawn),
        retired_spent=max(stored.retired_spent, known.retired_spent),
    )


def join_holders(stored: Holder, known: Holder) -> Holder:
    """Return the newer state of an incarnation, with the higher draws of both.

    What either counts as drawn stays drawn: too much is corrected when its holder
    writes again or is retired, too little would be drawn twice. The rest is that of one
    state: a home that has ended can't write it again, and by an older roster, grants to
    hosts that only the newer one lists would not be counted.
    """
    drawn = max(stored.drawn, known.drawn)
    stored_order, known_order = get_order(stored, known), get_order(known, stored)
    if stored_order != known_order:
        newer = known if known_order > stored_order else stored
        return replace(newer, drawn=drawn)
    # Either may be the newer one: no host can account for what the home granted.
    roster = stored.roster if stored.roster == known.roster else UNKNOWN_ROSTER
    locked = min(stored.locked, known.locked)
    return replace(stored, drawn=drawn, roster=roster, locked=locked)


def get_order(holder: Holder, other: Holder) -> tuple[int, ...]:
    """Return what is higher of the newer one of two states of an incarnation.

    Without revisions, totals that never fall tell the order, unless they are equal.
    """
    if holder.revision and other.revision:
        return (holder.revision,)
    return (holder.used_by_former, holder.spent)


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
