"""Choose which peers a host sends heartbeats to; pure functions only."""

from collections.abc import Iterable

from trefoilstage.const import MAX_FULL_MESH_PEERS
from trefoilstage.util.hashing import rank_by_rendezvous

N_WATCHED_BY_RANK = 8


def pick_watched(host: str, names: Iterable[str], partners: Iterable[str]) -> set[str]:
    """Return the peers to watch: all if there are few, else some and the partners.

    Heartbeats between all hosts would cost the square of the fleet's size. Each host
    is watched by about as many others as it watches, and by the hosts that account
    for its draws, because only their decisions depend on its status.
    """
    others = {name for name in names if name != host}
    if len(others) <= MAX_FULL_MESH_PEERS:
        return others
    ranked = rank_by_rendezvous(host, sorted(others))
    return set(ranked[:N_WATCHED_BY_RANK]) | (set(partners) & others)
