"""Hold what a forwarding host knows; each fact has one writer, named beside it."""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import FleetConfiguration
from trefoilstage.components.forwarding.routes import RouteTable
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.components.targets.directory import TargetDirectory
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase

# A call or two may fail without an outage. Half a second of failures is one:
# from then on peers are asked, and a silent target is no longer taken for gone.
OUT_OF_REACH_S = 0.5
# A call to a peer takes 1 to 5 ms on a link with room.
LINK_FULL_S = 0.15
# Where more of the peers stand no better, callers would meet the same at them.
MAX_FULL_SHARE = 0.3
# Calls that nobody answers tell of a full link only while the peers are heard. The last
# hosts after a loss of power would send their callers to those that are gone.
MIN_HEARD_SHARE = 0.5
HEARD_S = 3.0
# With more peers than this nothing goes from each host to all others any more: what
# that costs a host grows with the square of the fleet.
MAX_PEERS_TOLD = 12


@dataclass(kw_only=True, slots=True)
class StoreReach:
    """Hold whether the store answers this host; written by those who call it."""

    last_answer: float = float("-inf")
    failing_since: float | None = None
    back_at: float = float("-inf")
    out_of_reach: bool = False

    def get_silence(self, now: float) -> float:
        """Return the seconds since the last answer, 0 while the store is in reach."""
        return now - self.last_answer if self.out_of_reach else 0.0

    def note_answer(self, now: float) -> None:
        """Take note of an answer."""
        if self.out_of_reach:
            self.out_of_reach = False
            self.back_at = now
            log_event(Event.STORE_IN_REACH, silent_s=now - self.last_answer)
        self.last_answer = now
        self.failing_since = None

    def note_failure(self, now: float, error: str) -> None:
        """Take note of a call without a proper answer."""
        if self.failing_since is None:
            self.failing_since = now
        if not self.out_of_reach and now - self.failing_since >= OUT_OF_REACH_S:
            self.out_of_reach = True
            log_event(Event.STORE_OUT_OF_REACH, error=error)


@dataclass(kw_only=True, slots=True)
class PeerState:
    """Hold what a peer said last; written by the membership controller."""

    host: str
    incarnation: str
    peer_url: str
    data_center: str
    # Where the store has this incarnation's record, -1 if that is not known.
    announced_at: int = -1
    last_heard: float = float("-inf")
    # When a call was made that this incarnation answered; it ran after that moment.
    confirmed_at: float = float("-inf")
    serving: bool = False
    failed: bool = False  # a call failed since it was last heard
    store_in_reach: bool = True
    link_full: bool = False  # as it said itself, not passed on by others
    # Its predecessors that never touched their locked tokens; None until it knows.
    untouched: tuple[str, ...] | None = None

    @property
    def was_heard(self) -> bool:
        """Tell whether this incarnation was ever heard."""
        return self.last_heard > float("-inf")

    def is_live(self, now: float, lost_after_s: float) -> bool:
        """Tell whether it serves and was heard of late."""
        return (
            self.serving and not self.failed and now - self.last_heard <= lost_after_s
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class LiveHosts:
    """Hold which hosts were live, and until when that holds if nothing is heard."""

    names: tuple[str, ...]
    phase: Phase  # of this host
    n_peers: int
    n_changes: int  # of peers until then
    until: float


@dataclass(kw_only=True, slots=True)
class FleetBoard:
    """Share the facts that controllers read and write."""

    host: str
    incarnation: str
    data_center: str
    phase: Phase = Phase.STARTING  # the host
    store: StoreReach = field(default_factory=StoreReach)
    configuration: FleetConfiguration | None = None  # configuration follower
    routes: RouteTable = field(default_factory=lambda: RouteTable(routes=()))
    targets: TargetDirectory = field(default_factory=TargetDirectory)  # its follower
    peers: dict[str, PeerState] = field(default_factory=dict)  # membership
    round_trips: RoundTrips = field(default_factory=RoundTrips)  # links to peers
    untouched: tuple[str, ...] | None = None  # lock keeper
    # When the live hosts were found to have changed, for the last time.
    live_changed_at: float = float("-inf")
    _live: dict[float, LiveHosts] = field(default_factory=dict)  # by silence allowed
    _n_peer_changes: int = 0

    def is_large(self) -> bool:
        """Tell whether there are more hosts than each can talk to all the time."""
        return len(self.peers) > MAX_PEERS_TOLD

    def list_live_hosts(self, now: float, lost_after_s: float) -> tuple[str, ...]:
        """Return the hosts that answer and serve, this one among them, by name.

        Asked for each request and each account; put together anew only when a peer
        has changed or the next one falls silent.
        """
        known = self._live.get(lost_after_s)
        if known is not None and self._is_current(known, now):
            return known.names
        found = self._find_live(now, lost_after_s)
        if known is None or known.names != found.names:
            self.live_changed_at = now
        self._live[lost_after_s] = found
        return found.names

    def _is_current(self, known: LiveHosts, now: float) -> bool:
        return (
            now <= known.until
            and known.phase is self.phase
            and known.n_peers == len(self.peers)
            and known.n_changes == self._n_peer_changes
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
        """Tell whether messages wait long on this host's own link."""
        return self.round_trips.estimate_call_s(now) > LINK_FULL_S

    def sends_elsewhere(self, now: float) -> bool:
        """Tell whether callers do better at other hosts: only this link is full."""
        if not self.peers or not self.is_link_full(now):
            return False
        n_heard = sum(now - peer.last_heard <= HEARD_S for peer in self.peers.values())
        n_full = sum(peer.link_full for peer in self.peers.values())
        return n_heard >= MIN_HEARD_SHARE * len(
            self.peers
        ) and n_full <= MAX_FULL_SHARE * len(self.peers)

    def note_peer_changed(self) -> None:
        """Put the live hosts together anew when they are asked for next."""
        self._n_peer_changes += 1

    def reaches_store(self, host: str) -> bool:
        """Tell whether a known host, or this one, reaches the store."""
        if host == self.host:
            return not self.store.out_of_reach
        return self.peers[host].store_in_reach
