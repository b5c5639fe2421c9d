"""Tell in one byte a host when each host of a fleet was heard; pure.

Load: in a fleet of hundreds each heartbeat passes on when every host was heard, four
calls and four answers a second at each host. Both sides know the same names, so a
digest of the names stands for them.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from trefoilstage.fleet_board import PeerState

# One byte: an age in six bits, and two flags.
AGE_UNIT_S = 0.05
UNHEARD = 63
AGE_MASK = 63
SERVING_FLAG = 64
STORE_FLAG = 128
MAX_AGE_S = (UNHEARD - 1) * AGE_UNIT_S
# By byte; a host that was not heard of late is heard by no comparison.
AGES_S = tuple(
    float("inf") if state & AGE_MASK == UNHEARD else (state & AGE_MASK) * AGE_UNIT_S
    for state in range(256)
)
# While hosts come and go, a peer may be some changes of the names behind.
MAX_TABLES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class HostTable:
    """List hosts in the order in which heartbeats tell of them."""

    digest: bytes = b""
    names: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class HostTables:
    """Keep this host's table and those it had before.

    A peer that has not read of a change yet goes by the table before it.
    """

    current: HostTable = field(default_factory=HostTable)
    known: OrderedDict[bytes, HostTable] = field(default_factory=OrderedDict)

    def set_hosts(self, names: Iterable[str]) -> None:
        """Take in which hosts there are."""
        self.current = make_table(names)
        self.known[self.current.digest] = self.current
        self.known.move_to_end(self.current.digest)
        while len(self.known) > MAX_TABLES:
            self.known.popitem(last=False)

    def find(self, digest: bytes) -> HostTable | None:
        """Return the table of a digest, None if this host never had it."""
        return self.known.get(digest)


def make_table(names: Iterable[str]) -> HostTable:
    """Return the table of some hosts, the same at each host that knows them."""
    ordered = tuple(sorted(names))
    hasher = xxhash.xxh3_64()
    for name in ordered:
        hasher.update(f"{len(name)}:{name}".encode())
    return HostTable(digest=hasher.digest(), names=ordered)


def encode_peer(peer: PeerState | None, now: float) -> int:
    """Return the byte of a host.

    Ages are rounded up: rounded down at each host that passes them on, a lost host
    would be kept live a little longer.
    """
    if peer is None or now - peer.last_heard >= MAX_AGE_S:
        return UNHEARD
    state = int((now - peer.last_heard) / AGE_UNIT_S) + 1
    if peer.serving:
        state |= SERVING_FLAG
    if peer.store_in_reach:
        state |= STORE_FLAG
    return state


def take_states(
    states: Iterable[tuple[PeerState | None, int]], now: float, silent_s: float
) -> bool:
    """Take in what is newer than what is known; tell whether live hosts changed."""
    changed = False
    for peer, state in states:
        at = now - AGES_S[state]
        if peer is None or at <= peer.last_heard:
            continue
        serving = bool(state & SERVING_FLAG)
        changed |= peer.serving is not serving or now - peer.last_heard > silent_s
        peer.last_heard = at
        peer.serving = serving
        peer.store_in_reach = bool(state & STORE_FLAG)
    return changed
