"""Encode in one byte per host when each host of a fleet was last heard from; no I/O.

A longer form would cost too much: in a fleet of hundreds of hosts each heartbeat
carries the age of every host's last message, in four calls and four replies per second
at each host.
Sender and receiver know the same names, so heartbeats carry only a digest of them.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from trefoilstage.fleet_board import PeerState

# Six bits of a byte give the time since a host's last message, in units of AGE_UNIT_S;
# the other two are flags.
AGE_UNIT_S = 0.05
AGE_UNKNOWN = 63
AGE_MASK = 63
SERVING_FLAG = 64
STORE_IN_REACH_FLAG = 128
MAX_AGE_S = (AGE_UNKNOWN - 1) * AGE_UNIT_S
# The age in seconds for each value of the byte. An infinite age, for a host without a
# recent message, never counts as newer than what the receiver knows.
AGES_S = tuple(
    float("inf") if state & AGE_MASK == AGE_UNKNOWN else (state & AGE_MASK) * AGE_UNIT_S
    for state in range(256)
)
# While hosts are added and removed, a peer's list of names may be some changes behind.
MAX_TABLES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class HostTable:
    """List hosts in the order in which heartbeats encode them, with a digest."""

    digest: bytes = b""
    names: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class HostTableHistory:
    """Store this host's current table and its previous ones.

    A peer that has not read the latest change yet still uses a previous table.
    """

    current: HostTable = field(default_factory=HostTable)
    tables_by_digest: OrderedDict[bytes, HostTable] = field(default_factory=OrderedDict)

    def set_hosts(self, names: Iterable[str]) -> None:
        """Replace the current table by one of the given hosts."""
        self.current = make_table(names)
        self.tables_by_digest[self.current.digest] = self.current
        self.tables_by_digest.move_to_end(self.current.digest)
        while len(self.tables_by_digest) > MAX_TABLES:
            self.tables_by_digest.popitem(last=False)

    def find(self, digest: bytes) -> HostTable | None:
        """Return the table of a digest, None if this host doesn't have it."""
        return self.tables_by_digest.get(digest)


def make_table(names: Iterable[str]) -> HostTable:
    """Return the table of the given hosts; each host that knows them gets the same."""
    ordered = tuple(sorted(names))
    hasher = xxhash.xxh3_64()
    for name in ordered:
        hasher.update(f"{len(name)}:{name}".encode())
    return HostTable(digest=hasher.digest(), names=ordered)


def encode_peer_state(peer: PeerState | None, now: float) -> int:
    """Return the byte for a host.

    Ages are rounded up. Rounding down at each host that passes them on would keep a
    lost host live for longer.
    """
    if peer is None or now - peer.last_heard >= MAX_AGE_S:
        return AGE_UNKNOWN
    state = int((now - peer.last_heard) / AGE_UNIT_S) + 1
    if peer.serving:
        state |= SERVING_FLAG
    if peer.store_in_reach:
        state |= STORE_IN_REACH_FLAG
    return state


def merge_states(
    states: Iterable[tuple[PeerState | None, int]], now: float, lost_after_s: float
) -> bool:
    """Apply newer states to the known peers; return whether the live hosts changed."""
    changed = False
    for peer, state in states:
        heard_at = now - AGES_S[state]
        if peer is None or heard_at <= peer.last_heard:
            continue
        serving = bool(state & SERVING_FLAG)
        changed |= peer.serving is not serving or now - peer.last_heard > lost_after_s
        peer.last_heard = heard_at
        peer.serving = serving
        peer.store_in_reach = bool(state & STORE_IN_REACH_FLAG)
    return changed
