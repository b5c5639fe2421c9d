"""Listen for callers at the beginning of a start; loads no other library.

A start takes a second and more on a slow machine, nearly all of it imports. While
other hosts serve, a closed port makes a caller try another host at once, which is best
for it. When all hosts start together, a closed port fails the caller, while a
connection that waits is served late.
"""

import random
import select
import socket
from collections.abc import Sequence

Address = tuple[str, int]

# Few enough to take no time, enough to hit a live host of a fleet in which some start.
N_PROBED = 4
# A host in the same region accepts within 2 ms.
PROBE_TIMEOUT_S = 0.05
BACKLOG = 1024


def open_if_fleet_is_down(
    address: Address, peers: Sequence[Address]
) -> socket.socket | None:
    """Return a listening socket if some peers are known and none of them accepts.

    Raise OSError if the address can't be used.
    """
    probed = random.sample(peers, min(N_PROBED, len(peers)))
    if not probed or is_any_accepting(probed, address[0]):
        return None
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind(address)
    opened.listen(BACKLOG)
    opened.setblocking(False)
    return opened


def is_any_accepting(addresses: Sequence[Address], outbound_host: str) -> bool:
    """Return whether a connection to any address is accepted in PROBE_TIMEOUT_S."""
    probes = [start_probe(address, outbound_host) for address in addresses]
    try:
        waiting = probes
        while waiting:
            _, ended, _ = select.select([], waiting, [], PROBE_TIMEOUT_S)
            if not ended:
                return False
            if any(not get_error(probe) for probe in ended):
                return True
            waiting = [probe for probe in waiting if probe not in ended]
        return False
    finally:
        for probe in probes:
            probe.close()


def start_probe(address: Address, outbound_host: str) -> socket.socket:
    """Return a socket that is connecting."""
    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    probe.setblocking(False)
    probe.bind((outbound_host, 0))
    probe.connect_ex(address)
    return probe


def get_error(probe: socket.socket) -> int:
    """Return the error of a connection attempt that ended, 0 if it succeeded."""
    return probe.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
