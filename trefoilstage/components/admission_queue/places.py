"""Count who holds the capacity of a service's targets, as their home knows it; pure.

The home knows the hosts' work by their reports, and the places that it granted itself.
A report lists the granted places that its numbers contain, so that each request counts
once: a place that is not listed yet counts in addition to the report, and one that was
listed and no longer is has ended.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.helpers.field_types import Count

# Two repeated reports (every 0.75 s) may be due within it.
REPORT_LIFE_S = 1.5
# A place that no report of its host lists ends after this time: its host ended, or the
# grant never arrived.
GRANT_LIFE_S = 1.5
# Reports that list no places contain those granted earlier than this before: one report
# interval, and a margin.
PENDING_S = 0.15
FREED_WINDOW_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetCapacity:
    """Describe what a target holds at once; 0 KV tokens if they aren't limited."""

    slots: Count
    kv_tokens: Count = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceUse:
    """Describe what requests take of a target: slots, and prompt and output tokens."""

    n_requests: Count = 0
    kv_tokens: Count = 0


NO_USE = PlaceUse()


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedPlace:
    """Describe a place that the home granted and that has not ended."""

    host: str
    target: str  # its incarnation
    use: PlaceUse
    granted_at: float
    expires_at: float
    is_reported: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """Store a host's work by target, without the places that the home granted."""

    received_at: float
    work: Mapping[str, PlaceUse]


@dataclass(kw_only=True, slots=True)
class PlaceTable:
    """Count the slots and KV tokens in use at the targets of one service."""

    capacity: Mapping[str, TargetCapacity] = field(default_factory=dict)
    live_hosts: Collection[str] = ()
    reports: dict[str, HostReport] = field(default_factory=dict)  # by host
    grants: dict[str, GrantedPlace] = field(default_factory=dict)  # by request

    def set_capacity(self, targets: Mapping[str, TargetCapacity]) -> None:
        """Set the capacity of the ready targets, by incarnation."""
        self.capacity = dict(targets)

    def set_live_hosts(self, hosts: Collection[str]) -> None:
        """Set the live hosts; without any, this home grants the whole capacity."""
        self.live_hosts = frozenset(hosts)

    def receive_report(
        self,
        host: str,
        work: Mapping[str, PlaceUse],
        now: float,
        places: Collection[str] | None = None,
    ) -> None:
        """Replace what a host holds; `places` lists the granted requests in `work`."""
        raise NotImplementedError

    def grant(
        self, request_id: str, host: str, target: str, use: PlaceUse, now: float
    ) -> None:
        """Count a place for a request until it is released, reported or expired."""
        raise NotImplementedError

    def release(self, request_id: str, now: float) -> None:
        """End a place that was not used or whose request ended; unknown ones too."""
        raise NotImplementedError

    def find_room(self, kv_tokens: int, reserved_for: int = 0) -> str | None:
        """Return the target with the most room for a request, None without room.

        With `reserved_for`, the KV tokens of a request that waits ahead for more room
        than any target has, the target with the most free memory is left to that one.
        Call `expire` before.
        """
        raise NotImplementedError

    def can_hold(self, kv_tokens: int) -> bool:
        """Return whether a request fits into any target that serves nothing else."""
        raise NotImplementedError

    def get_load(self, now: float) -> float:
        """Return the share of slots or KV tokens in use, whichever is higher.

        It is 0 without ready targets, and may exceed 1.
        """
        raise NotImplementedError

    def get_share(self) -> float:
        """Return the share of the capacity that this home may grant."""
        raise NotImplementedError

    def get_freed_per_s(self, now: float) -> float:
        """Return the rate at which places were freed within FREED_WINDOW_S."""
        raise NotImplementedError

    def expire(self, now: float) -> None:
        """Remove the reports and places that are too old."""
        raise NotImplementedError
