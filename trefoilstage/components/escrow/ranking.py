"""Rank the hosts that may hold a workspace's tokens; pure.

The home is the first by rendezvous hash over the live hosts, so that all hosts agree on
it without asking, and a host that comes or goes moves few workspaces.
"""

import itertools

from trefoilstage.components.escrow.stock import HomeRank
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.phase import Phase
from trefoilstage.util.hashing import rank_names

N_STAND_INS = 2
HOME_RANKS = (HomeRank.FIRST, HomeRank.SECOND)  # of the first hosts by rendezvous


class HomeRanking:
    """Rank the live hosts for a workspace."""

    def __init__(self, *, board: FleetBoard, membership: FleetMembership) -> None:
        self._board = board
        self._membership = membership

    def rank_here(self, workspace: str) -> HomeRank:
        """Return what this host is to a workspace, as far as it knows."""
        if self._board.phase is not Phase.SERVING:
            return HomeRank.NONE
        first = rank_names(workspace, self._membership.list_live())[: len(HOME_RANKS)]
        if self._board.host not in first:
            return HomeRank.NONE
        return HOME_RANKS[first.index(self._board.host)]

    def list_homes(self, workspace: str) -> list[str]:
        """Return the home, then hosts that can draw in its place.

        A home that is cut from the store spends its stock and then refuses at once.
        The next hosts by rank may be cut as well, so those that say they reach the
        store are asked. When nobody reaches it, the next by rank are.
        """
        ranked = rank_names(workspace, self._membership.list_live())
        others = [host for host in ranked if host != self._board.host]
        if not others:
            return [self._board.host]
        able = filter(self._board.reaches_store, others[1:])
        stand_ins = list(itertools.islice(able, N_STAND_INS))
        return others[:1] + (stand_ins or others[1 : 1 + N_STAND_INS])
