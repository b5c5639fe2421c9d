"""Represent the shared state of a forwarding host.

Each field has one writer, named in a comment or doc comment beside it.
"""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import FleetConfiguration
from trefoilstage.components.forwarding.routes import RouteTable
from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.components.forwarding.target_reach import Reach, TargetReach
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.components.targets.brittle import BrittleServices
from trefoilstage.components.targets.directory import TargetDirectory
from trefoilstage.components.targets.named_limits import NamedLimits
from trefoilstage.components.views.store import split_position
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase

# Single calls may fail without an outage. Once all calls have failed for this long, the
# host reads records from its peers, and keeps targets with expired entries for a time.
OUT_OF_REACH_AFTER_S = 0.5
# A call to a peer takes 1 to 5 ms on a link that is not full.
LINK_FULL_DELAY_S = 0.15
# If a larger share of the peers reports a full link too, callers would gain nothing
# from using another host.
MAX_FULL_PEER_SHARE = 0.3
# Unanswered calls indicate a full link only while the peers' heartbeats arrive. After a
# power loss, the remaining hosts would otherwise send callers to lost hosts.
MIN_HEARD_PEER_SHARE = 0.5
RECENTLY_HEARD_S = 3.0
# With more peers than this, hosts no longer send messages to all other hosts: the cost
# of that grows with the square of the fleet's size.
MAX_BROADCAST_PEERS = 12


@dataclass(kw_only=True, slots=True)
class StoreReachability:
    """Record whether the store responds; written by the components that call it."""

    last_answer: float = float("-inf")
    failing_since: float | None = None
    back_at: float = float("-inf")
    out_of_reach: bool = False
    # How often the store came back from an older copy, None before the first answer.
    n_restored: int | None = None
    restored_at: float = float("-inf")  # when this host noticed the last time

    def record_position(self, position: int, now: float) -> bool:
        """Record a position in the store; return whether it shows a restoration."""
        n_restored, _ = split_position(position)
        # A host that starts has read nothing that a copy could lack.
        is_first = self.n_restored is None
        if not is_first and n_restored <= (self.n_restored or 0):
            return False
        self.n_restored = n_restored
        if is_first:
            return False
        self.restored_at = now
        log_event(Event.STORE_RESTORED, n_restored=n_restored)
        return True

    def get_outage_s(self, now: float) -> float:
        """Return the seconds since the store last answered, 0 while it is reachable."""
        return now - self.last_answer if self.out_of_reach else 0.0

    def record_response(self, now: float) -> None:
        """Record that the store responded to a call."""
        if self.out_of_reach:
            self.out_of_reach = False
            self.back_at = now
            log_event(Event.STORE_IN_REACH, silent_s=now - self.last_answer)
        self.last_answer = now
        self.failing_since = None

    def record_failure(self, now: float, error: str) -> None:
        """Record that a call failed or got an invalid answer."""
        if self.failing_since is None:
            self.failing_since = now
        if not self.out_of_reach and now - self.failing_since >= OUT_OF_REACH_AFTER_S:
            self.out_of_reach = True
            log_event(Event.STORE_OUT_OF_REACH, error=error)


@dataclass(kw_only=True, slots=True)
class PeerState:
    """Describe a peer as last reported; written by the membership controller."""

    host: str
    incarnation: str
    peer_url: str
    data_center: str
    # Offset of this incarnation's record in the store, -1 if unknown.
    announced_at: int = -1
    last_heard: float = float("-inf")
    # Start of the last call that this incarnation answered; it ran after that time.
    confirmed_at: float = float("-inf")
    serving: bool = False
    failed: bool = False  # a call to it failed since its last message
    store_in_reach: bool = True
    link_full: bool = False  # reported by the peer itself, not relayed
    # Reported by the peer itself, not relayed; None until then.
    lost_services: tuple[str, ...] | None = None
    # The peer's previous incarnations that provably used none of their locked tokens;
    # None until the peer knows them.
    untouched: tuple[str, ...] | None = None

    @property
    def was_heard(self) -> bool:
        """Return whether a message from this incarnation was ever received."""
        return self.last_heard > float("-inf")

    def is_live(self, now: float, lost_after_s: float) -> bool:
        """Return whether the peer serves and was heard from recently."""
        return (
            self.serving and not self.failed and now - self.last_heard <= lost_after_s
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveHosts:
    """Describe which hosts were live, and how long this remains valid."""

    names: tuple[str, ...]
    phase: Phase  # of this host
    n_peers: int
    n_changes: int  # value of the change counter at that time
    until: float  # when the next host counts as lost if no peer changes before


@dataclass(kw_only=True, slots=True)
class FleetBoard:
    """Represent the state that the controllers of a forwarding host share."""

    host: str
    incarnation: str
    data_center: str
    phase: Phase = Phase.STARTING  # host
    shutdown: ShutdownSchedule | None = None  # host; set at the signal
    store: StoreReachability = field(default_factory=StoreReachability)
    configuration: FleetConfiguration | None = None  # configuration follower
    routes: RouteTable = field(default_factory=lambda: RouteTable(routes=()))
    targets: TargetDirectory = field(default_factory=TargetDirectory)  # target follower
    # Of this host's links to each service's targets; reach monitor.
    reach: dict[str, TargetReach] = field(default_factory=dict)
    brittle: BrittleServices = field(default_factory=BrittleServices)  # target outcomes
    limits: NamedLimits = field(default_factory=NamedLimits)  # known limits
    peers: dict[str, PeerState] = field(default_factory=dict)  # membership
    round_trips: RoundTrips = field(default_factory=RoundTrips)  # links to peers
    # As in PeerState, but for the previous incarnations of this host.
    untouched: tuple[str, ...] | None = None  # lock keeper
    # When list_live_hosts last found a different list.
    live_changed_at: float = float("-inf")
    _live: dict[float, LiveHosts] = field(default_factory=dict)  # by lost_after_s
    _n_peer_changes: int = 0

    def get_reach(self, service: str) -> TargetReach:
        """Return what is known of this host's links to a service's targets."""
        return self.reach.setdefault(service, TargetReach())

    def list_lost_services(self) -> tuple[str, ...]:
        """Return the services of which this host reaches no target."""
        return tuple(
            sorted(
                service
                for service, reach in self.reach.items()
                if reach.state is Reach.LOST
            )
        )

    def is_too_large_to_broadcast(self) -> bool:
        """Return whether there are too many hosts for each to send to all others."""
        return len(self.peers) > MAX_BROADCAST_PEERS

    def list_live_hosts(self, now: float, lost_after_s: float) -> tuple[str, ...]:
        """Return the sorted names of the live hosts; omit this host while it drains.

        This is called for each request and each account, so the list is cached until a
        peer changes or the next one counts as lost.
        """
        cached = self._live.get(lost_after_s)
        if cached is not None and self._is_current(cached, now):
            return cached.names
        found = self._find_live(now, lost_after_s)
        if cached is None or cached.names != found.names:
            self.live_changed_at = now
        self._live[lost_after_s] = found
        return found.names

    def _is_current(self, cached: LiveHosts, now: float) -> bool:
        return (
            now <= cached.until
            and cached.phase is self.phase
            and cached.n_peers == len(self.peers)
            and cached.n_changes == self._n_peer_changes
        )

    def _find_live(self, now: float, lost_after_s: float) -> LiveHosts:
        live = [peer for peer in self.peers.values() if peer.is_live(now, lost_after_s)]
        names = [peer.host for peer in live]
        if self.phase is not Phase.DRAINING:
            names.append(self.host)
        return LiveHosts(
            names=tuple(sorted(names)),
            phase=self.phase,
            n_peers=len(self.peers),
            n_changes=self._n_peer_changes,
            until=min((peer.last_heard for peer in live), default=now) + lost_after_s,
        )

    def is_link_full(self, now: float) -> bool:
        """Return whether messages are delayed on this host's own network link."""
        return self.round_trips.estimate_call_s(now) > LINK_FULL_DELAY_S

    def is_only_own_link_full(self, now: float) -> bool:
        """Return whether this link is full while those of most peers are not.

        Callers are then served better by other hosts.
        """
        if not self.peers or not self.is_link_full(now):
            return False
        n_heard = sum(
            now - peer.last_heard <= RECENTLY_HEARD_S for peer in self.peers.values()
        )
        n_full = sum(peer.link_full for peer in self.peers.values())
        return n_heard >= MIN_HEARD_PEER_SHARE * len(
            self.peers
        ) and n_full <= MAX_FULL_PEER_SHARE * len(self.peers)

    def invalidate_live_hosts(self) -> None:
        """Invalidate the cached list of live hosts."""
        self._n_peer_changes += 1

    def is_store_reachable_from(self, host: str) -> bool:
        """Return whether this host or a known peer reaches the store."""
        if host == self.host:
            return not self.store.out_of_reach
        return self.peers[host].store_in_reach
