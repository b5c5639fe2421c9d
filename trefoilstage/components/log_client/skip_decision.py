"""Decide whether a host may skip a record that the log dropped unread; without I/O."""

from collections.abc import Mapping
from dataclasses import dataclass

# A holder uses a draw only after its witness has acknowledged it, so both have folded
# its record. If one of them was replaced, the other still reports the later offset.
MAX_REPLACED_HOSTS = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerPosition:
    """Describe a host's next offset to fold and whether it has the record there."""

    incarnation: str
    next_offset: int
    has_record: bool = False


def defers_to_peer(
    position: PeerPosition | None, name: str, *, host: str, offset: int
) -> bool:
    """Return whether a host must leave the decision on a skip to the named peer."""
    if position is None:
        return False
    if position.has_record or position.next_offset > offset:
        return True
    return position.next_offset == offset and name < host


def do_positions_allow_skip(
    *,
    host: str,
    offset: int,
    positions: Mapping[str, PeerPosition | None],
    incarnations: Mapping[str, str],
) -> bool:
    """Return whether a host may skip the record at an offset.

    A host that has folded the record may have acted on it, for example used a draw. If
    the others skipped it, the draw's tokens would count as free and be spent again.
    Therefore every host must have replied that it is not past the offset and does not
    have the record; the position of a host without a reply is None. A host cannot know
    what its previous incarnation had folded, so at most one of the listed hosts, whose
    incarnations are in `incarnations`, may have been replaced.

    Of several hosts at the same offset only the first by name skips the record, and the
    others copy its state. If each skipped it alone, their states could diverge when the
    log drops more records in the meantime.
    """
    # A host that has folded nothing would continue from an empty state, without any
    # spend that the stream has recorded.
    if offset == 0:
        return False
    n_replaced = 0
    for name, position in positions.items():
        if position is None:
            return False
        if defers_to_peer(position, name, host=host, offset=offset):
            return False
        n_replaced += incarnations.get(name, position.incarnation) != (
            position.incarnation
        )
    return n_replaced <= MAX_REPLACED_HOSTS
