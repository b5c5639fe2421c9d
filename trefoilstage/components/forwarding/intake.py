"""Decide whether a host takes a request, or sends its caller to another host; pure.

Load: which host a caller reaches goes by the caller, so that one host may get half of
its data centre's callers. With prompts of 70 KB each its link of 10 Mbit/s is full, and
each message waits up to a second on it, while the links of the other hosts stand idle.
A caller that is refused comes back to another host.
"""

from trefoilstage.components.forwarding.placement import IN_TIME_SHARE
from trefoilstage.fleet_board import FleetBoard

# A request waits on the link when its tokens are held and when it is sent on.
N_TRIPS = 2
# Where this share of the peers stands no better, those who come back meet the same.
MAX_FULL_SHARE = 0.3


def has_room(board: FleetBoard, objective_s: float, now: float) -> bool:
    """Tell whether a request can be in time as far as this host's link goes."""
    waits_s = N_TRIPS * board.round_trips.estimate(now)
    if waits_s <= IN_TIME_SHARE * objective_s:
        return True
    return board.get_full_share() > MAX_FULL_SHARE
