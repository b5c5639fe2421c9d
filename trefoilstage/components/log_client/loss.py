"""Decide whether a host goes on past a record that the log dropped unread; pure."""

from collections.abc import Mapping
from dataclasses import dataclass

# A draw is used by its holder with its witness's word, so that both have folded it.
# With one of them replaced, the other still answers that it stands further.
MAX_REPLACED = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerPosition:
    """Hold how far a host has folded a stream, and whether it has the next record."""

    incarnation: str
    folded: int
    has_record: bool = False


def leaves_it_to(
    position: PeerPosition | None, name: str, *, host: str, offset: int
) -> bool:
    """Tell whether a host leaves it to another one to pass over the record."""
    if position is None:
        return False
    if position.has_record or position.folded > offset:
        return True
    return position.folded == offset and name < host


def may_go_on(
    *,
    host: str,
    offset: int,
    positions: Mapping[str, PeerPosition | None],
    incarnations: Mapping[str, str],
) -> bool:
    """Tell whether a host may pass over the record at an offset.

    A host that has folded it may have acted upon it, as by a draw: passed over, its
    tokens would count as free and be spent again. So every host must have answered
    (None: it has not) that it stands no further, and has no record to give. What a
    former incarnation of it had folded it can't tell; of `incarnations`, those of the
    hosts on the list, only one may have been replaced.

    Of those that stand equally far only the first by name goes on, and the others take
    its state. Each for itself, they could part where the log drops more meanwhile.
    """
    # Without a state there is nothing to go on from; the spend of the whole stream
    # would be forgotten.
    if offset == 0:
        return False
    n_replaced = 0
    for name, position in positions.items():
        if position is None:
            return False
        if leaves_it_to(position, name, host=host, offset=offset):
            return False
        n_replaced += incarnations.get(name, position.incarnation) != (
            position.incarnation
        )
    return n_replaced <= MAX_REPLACED
