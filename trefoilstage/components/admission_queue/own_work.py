"""Track what this host's requests hold at the targets of one service; no I/O."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilstage.components.admission_queue.place_use import NO_USE, PlaceUse

# Of the state of a service; two repeated reports may be due within it.
CONTENDED_LIFE_S = 1.5
# The same while replies are late. A full link delays them, and such a host has the most
# requests: sent without places, they would fill all slots. A host that gets no reply
# for longer goes on as without the queue.
LATE_LIFE_S = 10.0
REPEAT_INTERVAL_S = 0.75
# Without work, a report only shows the home that this host uses it.
IDLE_REPEAT_INTERVAL_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Describe the right to send one request to a target."""

    service: str
    request: str
    workspace: str
    home: str  # that granted it; empty if it is of this host's own share
    target: str  # its incarnation; empty for any target


@dataclass(frozen=True, kw_only=True, slots=True)
class Holdings:
    """Describe what a host holds: work by target, and the places in it by home."""

    work: Mapping[str, PlaceUse] = field(default_factory=dict)
    places: frozenset[tuple[str, str]] = frozenset()  # home and request
    unusable: frozenset[str] = frozenset()  # targets that get nothing now


@dataclass(kw_only=True, slots=True)
class OwnWork:
    """Track the requests and places at one service, and what was reported of them."""

    work: dict[str, PlaceUse] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)  # by request
    sent: set[str] = field(default_factory=set)  # requests with a place in `work`
    home: str = ""  # that got the last report
    reported: Holdings = field(default_factory=Holdings)
    reported_at: float = float("-inf")
    is_reply_late: bool = False  # of the last report, or not due yet
    was_contended: bool = False  # when the last reply arrived
    replied_at: float = float("-inf")
    unusable: frozenset[str] = frozenset()

    def add(self, target: str, use: PlaceUse, request: str) -> None:
        """Add a request sent to a target; `request` names its place, if it has one."""
        current = self.work.get(target, NO_USE)
        self.work[target] = PlaceUse(
            n_requests=current.n_requests + use.n_requests,
            kv_tokens=current.kv_tokens + use.kv_tokens,
        )
        if request in self.places:
            self.sent.add(request)

    def remove(self, target: str, use: PlaceUse, request: str) -> None:
        """Remove a request that ended."""
        current = self.work.pop(target)
        left = PlaceUse(
            n_requests=current.n_requests - use.n_requests,
            kv_tokens=current.kv_tokens - use.kv_tokens,
        )
        if left != NO_USE:
            self.work[target] = left
        self.sent.discard(request)

    def count_taken(self, target: str) -> int:
        """Return the requests at a target, with places that are not used yet."""
        unused = Counter(
            place.target
            for request, place in self.places.items()
            if request not in self.sent
        )
        return self.work.get(target, NO_USE).n_requests + unused[target]

    def describe(self) -> Holdings:
        """Return what this host holds now."""
        places = frozenset((self.places[item].home, item) for item in self.sent)
        return Holdings(work=dict(self.work), places=places, unusable=self.unusable)

    def is_report_due(self, home: str, now: float) -> bool:
        """Return whether the home doesn't know what this host holds."""
        if home != self.home or self.describe() != self.reported:
            return True
        is_active = bool(self.work) or self.is_contended(now)
        interval_s = REPEAT_INTERVAL_S if is_active else IDLE_REPEAT_INTERVAL_S
        return now - self.reported_at >= interval_s

    def record_report(self, home: str, holdings: Holdings, now: float) -> None:
        """Record a report that is being sent."""
        self.home, self.reported, self.reported_at = home, holdings, now
        # A state that is already too old stays so.
        self.is_reply_late = self.is_contended(now)

    def record_failure(self) -> None:
        """Record that the last report failed; its reply isn't late."""
        self.is_reply_late = False

    def record_state(self, home: str, now: float, *, contended: bool) -> None:
        """Record what the home of the last report says of the service."""
        if home == self.home:
            self.was_contended, self.replied_at = contended, now
            self.is_reply_late = False

    def is_contended(self, now: float) -> bool:
        """Return whether requests need places, as far as known."""
        life_s = LATE_LIFE_S if self.is_reply_late else CONTENDED_LIFE_S
        return self.was_contended and now - self.replied_at < life_s
