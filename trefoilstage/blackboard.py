"""Hold what a host knows; each fact has one writer, named beside it."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from trefoilstage.components.targets.health import TargetHealth
from trefoilstage.components.targets.load import TargetLoad
from trefoilstage.configuration.fold import ConfigState, HostEntry
from trefoilstage.configuration.schema import Configuration
from trefoilstage.const import MAX_FULL_MESH
from trefoilstage.ledger.state import LedgerState
from trefoilstage.phase import Phase


@dataclass(kw_only=True, slots=True)
class StreamStatus:
    """Hold how a stream stands on this host; written by its follower."""

    reachable: bool = False
    halted: bool = False
    caught_up: bool = False
    next_offset: int = 0
    last_read: float = 0.0


@dataclass(kw_only=True, slots=True)
class PeerStatus:
    """Hold when a peer was last heard; written by the membership controller."""

    incarnation: str
    last_heard: float
    reachable: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedHost:
    """Hold a host as the platform's lagging list shows it; a hint only."""

    host: str
    peer_url: str
    leaving: bool = False


@dataclass(kw_only=True, slots=True)
class TargetStatus:
    """Hold how a target stands with this host; written by the router."""

    failures: int = 0
    last_used: float = float("-inf")
    load: TargetLoad = field(default_factory=TargetLoad)
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def active(self) -> int:
        """Return the requests of this host that the target runs."""
        return self.load.active


@dataclass(kw_only=True, slots=True)
class Blackboard:
    """Share the facts that controllers read and write."""

    host: str
    incarnation: str
    data_center: str
    phase: Phase = Phase.STARTING  # the daemon
    config: ConfigState = field(default_factory=ConfigState)  # config follower
    ledgers: dict[int, LedgerState] = field(default_factory=dict)  # followers
    streams: dict[str, StreamStatus] = field(default_factory=dict)  # followers
    log_in_reach: bool = True  # relayed log
    listed: dict[str, ListedHost] = field(default_factory=dict)  # membership
    watched: frozenset[str] = frozenset()  # membership
    # Hosts that an operator has declared lost, until a time of the loop.
    declared_lost: dict[str, float] = field(default_factory=dict)  # operators
    peers: dict[str, PeerStatus] = field(default_factory=dict)  # membership
    targets: dict[str, TargetStatus] = field(default_factory=dict)  # router
    n_active: int = 0  # caller server
    closing: set[asyncio.Task[Any]] = field(default_factory=set)  # runs

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.config.configuration

    def has_ledgers(self) -> bool:
        """Tell whether every ledger of the configuration in force is followed."""
        return len(self.ledgers) >= self.configuration.fleet.ledger_streams

    def list_live_peers(self) -> list[HostEntry]:
        """Return the reachable hosts other than this one, by name."""
        return [
            entry
            for name, entry in sorted(self.config.hosts.items())
            if name != self.host and self.is_peer_live(entry)
        ]

    def list_presumed_hosts(self) -> list[str]:
        """Return the hosts not known to be lost; in a large fleet few are watched."""
        return [
            name
            for name in sorted({*self.config.hosts, self.host})
            if name not in self.peers or self.peers[name].reachable
        ]

    def is_peer_live(self, entry: HostEntry) -> bool:
        """Tell whether a host's current incarnation answers, as far as is known.

        A large fleet's hosts watch few others. One that nobody here watches is
        taken for live: to take it for lost would seal draws of a host at work.
        """
        status = self.peers.get(entry.host)
        if status is None:
            unwatched = entry.host not in self.watched
            return unwatched and len(self.config.hosts) > MAX_FULL_MESH + 1
        return status.reachable and status.incarnation == entry.incarnation
