"""Make boards of hosts that have heard each other."""

from collections.abc import Iterable

from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.phase import Phase


def make_board(name: str, names: Iterable[str]) -> FleetBoard:
    """Return the board of one host that has heard all others at time 0."""
    board = FleetBoard(
        host=name, incarnation=name, data_center="brest", phase=Phase.SERVING
    )
    for other in names:
        if other != name:
            board.peers[other] = PeerState(
                host=other,
                incarnation=other,
                peer_url=other,
                data_center="brest",
                last_heard=0.0,
                serving=True,
            )
    return board
