"""Rank the hosts that may hold a workspace's tokens; pure.

The home of a workspace is the host that draws its tokens and grants them to requests.
It is the first live host by rendezvous hash. All hosts compute the same home without
messages, and a host that joins or leaves moves few workspaces.
"""

import itertools

from trefoilstage.components.escrow.stock import HomeRank
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.phase import Phase
from trefoilstage.util.hashing import rank_by_rendezvous_cached

N_FALLBACK_HOMES = 2
HOME_RANKS = (HomeRank.FIRST, HomeRank.SECOND)  # of the first hosts by rendezvous hash


class HomeRanking:
    """Rank the live hosts for a workspace by rendezvous hash."""

    def __init__(self, *, board: FleetBoard, membership: FleetMembership) -> None:
        self._board = board
        self._membership = membership

    def get_own_rank(self, workspace: str) -> HomeRank:
        """Return this host's rank for a workspace, by the hosts it knows to be live."""
        if self._board.phase is not Phase.SERVING:
            return HomeRank.NONE
        homes = rank_by_rendezvous_cached(
            workspace, self._membership.list_live_hosts()
        )[: len(HOME_RANKS)]
        if self._board.host not in homes:
            return HomeRank.NONE
        return HOME_RANKS[homes.index(self._board.host)]

    def list_homes_to_ask(self, workspace: str) -> list[str]:
        """Return the hosts to ask for a grant: the home, then its fallbacks.

        This host is listed only if no other is live, because it could not witness its
        own grants. A home that cannot reach the store uses up its stock and then
        refuses immediately. The next hosts by rank may be cut off too, so the fallbacks
        are hosts that report that they reach the store. If no host does, the next hosts
        by rank are used.
        """
        ranked = rank_by_rendezvous_cached(
            workspace, self._membership.list_live_hosts()
        )
        others = [host for host in ranked if host != self._board.host]
        if not others:
            return [self._board.host]
        connected = filter(self._board.is_store_reachable_from, others[1:])
        fallbacks = list(itertools.islice(connected, N_FALLBACK_HOMES))
        return others[:1] + (fallbacks or others[1 : 1 + N_FALLBACK_HOMES])
