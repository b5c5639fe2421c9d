"""Represent the shared state of a host.

Each field has one writer, named in a comment or doc comment beside it. Only `closing`
has several: controllers add the tasks there that a drain waits for.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from trefoilstage.components.targets.health import TargetHealth
from trefoilstage.components.targets.load import TargetLoad
from trefoilstage.configuration.fold import ConfigState, HostEntry
from trefoilstage.configuration.schema import Configuration
from trefoilstage.const import MAX_FULL_MESH_PEERS
from trefoilstage.ledger.state import LedgerState
from trefoilstage.phase import Phase


@dataclass(kw_only=True, slots=True)
class StreamStatus:
    """Describe how far this host has read a stream; written by its follower."""

    reachable: bool = False
    halted: bool = False  # this host does not support the stream's fold version
    caught_up: bool = False
    next_offset: int = 0
    last_read: float = 0.0


@dataclass(kw_only=True, slots=True)
class PeerStatus:
    """Describe when a peer last responded; written by the membership controller."""

    incarnation: str
    last_heard: float
    reachable: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """Describe a host in the platform's list, which lags and serves only as a hint."""

    host: str
    peer_url: str
    leaving: bool = False


@dataclass(kw_only=True, slots=True)
class TargetStatus:
    """Describe a target's state as seen by this host; written by the router."""

    failures: int = 0
    last_used: float = float("-inf")
    load: TargetLoad = field(default_factory=TargetLoad)
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def active(self) -> int:
        """Return the number of this host's requests that the target is running."""
        return self.load.active


@dataclass(kw_only=True, slots=True)
class Blackboard:
    """Represent the state that the controllers of a host share."""

    host: str
    incarnation: str
    data_center: str
    phase: Phase = Phase.STARTING  # host
    config: ConfigState = field(default_factory=ConfigState)  # configuration follower
    ledgers: dict[int, LedgerState] = field(default_factory=dict)  # ledger followers
    streams: dict[str, StreamStatus] = field(default_factory=dict)  # stream followers
    log_in_reach: bool = True  # relayed log
    listed: dict[str, ListedHost] = field(default_factory=dict)  # host list
    watched: frozenset[str] = frozenset()  # membership
    # Hosts that an operator declared lost, each with the event loop time until which
    # the declaration is valid.
    declared_lost: dict[str, float] = field(default_factory=dict)  # operator server
    peers: dict[str, PeerStatus] = field(default_factory=dict)  # membership
    targets: dict[str, TargetStatus] = field(default_factory=dict)  # router
    n_active: int = 0  # caller server
    closing: set[asyncio.Task[Any]] = field(default_factory=set)  # several controllers

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.config.configuration

    def follows_all_ledgers(self) -> bool:
        """Return whether all ledger streams of the configuration are followed."""
        return len(self.ledgers) >= self.configuration.fleet.ledger_streams

    def list_live_peers(self) -> list[HostEntry]:
        """Return the live hosts other than this one, sorted by name."""
        return [
            entry
            for name, entry in sorted(self.config.hosts.items())
            if name != self.host and self.is_peer_live(entry)
        ]

    def list_hosts_not_known_lost(self) -> list[str]:
        """Return the names of hosts not known to be lost, watched or not, sorted."""
        return [
            name
            for name in sorted({*self.config.hosts, self.host})
            if name not in self.peers or self.peers[name].reachable
        ]

    def is_peer_live(self, entry: HostEntry) -> bool:
        """Return whether a host's current incarnation responds, as far as is known.

        In a large fleet each host watches few others. A host that this one does not
        watch counts as live: otherwise the draws of a working host would be sealed.
        """
        status = self.peers.get(entry.host)
        if status is None:
            unwatched = entry.host not in self.watched
            return unwatched and len(self.config.hosts) > MAX_FULL_MESH_PEERS + 1
        return status.reachable and status.incarnation == entry.incarnation
