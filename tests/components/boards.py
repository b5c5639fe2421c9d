"""Create boards of hosts that have received each other's heartbeats."""

from collections.abc import Iterable

from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.phase import Phase


def make_board(name: str, names: Iterable[str]) -> FleetBoard:
    """Create a host's board on which all other hosts were last heard from at time 0."""
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
