"""Hold what a forwarding host knows; each fact has one writer, named beside it."""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import FleetConfiguration
from trefoilstage.components.forwarding.routes import RouteTable
from trefoilstage.components.targets.directory import TargetDirectory
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase

# A call or two may fail without an outage. Half a second of failures is one:
# from then on peers are asked, and a silent target is no longer taken for gone.
OUT_OF_REACH_S = 0.5


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
    last_heard: float = float("-inf")
    # When a call was made that this incarnation answered; it ran after that moment.
    confirmed_at: float = float("-inf")
    serving: bool = False
    failed: bool = False  # a call failed since it was last heard
    store_in_reach: bool = True
    # Its predecessors that never touched their locked tokens; None until it knows.
    untouched: tuple[str, ...] | None = None


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
    untouched: tuple[str, ...] | None = None  # lock keeper

    def list_live_hosts(self, now: float, silent_s: float) -> list[str]:
        """Return the hosts that answer and serve, this one among them."""
        live = [
            peer.host
            for peer in self.peers.values()
            if peer.serving and not peer.failed and now - peer.last_heard <= silent_s
        ]
        if self.phase is not Phase.DRAINING:
            live.append(self.host)
        return sorted(live)

    def list_store_hosts(self, live: list[str]) -> list[str]:
        """Return those of the live hosts that reach the store."""
        return [
            host
            for host in live
            if (
                not self.store.out_of_reach
                if host == self.host
                else self.peers[host].store_in_reach
            )
        ]
