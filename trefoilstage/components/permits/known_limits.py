"""Record the limits that targets name, as this host and its peers observe them."""

from collections.abc import Callable, Iterable

from trefoilstage.components.permits.messages import LimitReport
from trefoilstage.components.targets.named_limits import NamedLimit
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# Heartbeats reach all hosts of a large fleet within this time.
SPREAD_S = 5.0
Listener = Callable[[], None]


class KnownLimits:
    """Record limits, and exchange them with peers by their age."""

    def __init__(self, *, board: FleetBoard, timer: TimerService) -> None:
        self._board = board
        self._timer = timer
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener when a limit begins or ends; return a way to unsubscribe."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def record_answer(
        self,
        target: str,
        limit_per_s: float | None,
        sent_at: float,
        *,
        refuses: bool = False,
    ) -> None:
        """Record the limit in an answer to a request that was sent at a given time."""
        if refuses and limit_per_s is None:
            limit_per_s = self.get_limit(target)
        # An answer without a limit may have been on its way while a later one named it.
        is_none = limit_per_s is None and not refuses
        named_at = sent_at if is_none else self._timer.now()
        limit = NamedLimit(limit_per_s=limit_per_s, named_at=named_at, refuses=refuses)
        self._record(target, limit)

    def receive_reports(self, reports: Iterable[LimitReport]) -> None:
        """Record limits that a peer reported."""
        now = self._timer.now()
        for report in reports:
            limit = NamedLimit(
                limit_per_s=report.limit_per_s,
                named_at=now - report.age_s,
                refuses=report.refuses,
            )
            self._record(report.target, limit)

    def remove_ended(self) -> None:
        """Forget the limits of targets that ended long ago."""
        listed = self._board.targets.list_incarnations()
        self._board.limits.remove_ended(listed, self._timer.now())

    def has_limited(self) -> bool:
        """Return whether any target has a limit or refuses requests."""
        return bool(self._board.limits.limited)

    def get_limit(self, target: str) -> float | None:
        """Return the limit of a target in requests a second, None without one."""
        return self._board.limits.get_limit(target)

    def is_refusing(self, target: str) -> bool:
        """Return whether a target last turned a request of any host away."""
        return self._board.limits.is_refusing(target)

    def make_report(self, target: str) -> LimitReport | None:
        """Return what is known of a target's limit, None if it never named one."""
        known = self._board.limits.get(target)
        if known is None:
            return None
        age_s = max(0.0, self._timer.now() - known.named_at)
        return LimitReport(
            target=target,
            limit_per_s=known.limit_per_s,
            age_s=age_s,
            refuses=known.refuses,
        )

    def list_recent_reports(self) -> tuple[LimitReport, ...]:
        """Return the limits that peers may not know of yet."""
        targets = self._board.limits.list_recent(self._timer.now() - SPREAD_S)
        reports = (self.make_report(target) for target in targets)
        return tuple(report for report in reports if report is not None)

    def _record(self, target: str, limit: NamedLimit) -> None:
        known = self._board.limits.get(target)
        if not self._board.limits.record(target, limit, self._timer.now()):
            return
        if known is None or known.is_none != limit.is_none:
            for listener in self._listeners:
                listener()
        if limit.refuses:
            log_event(Event.TARGET_REFUSES, target=target)
        if limit.limit_per_s is not None:
            log_event(
                Event.TARGET_LIMIT_NAMED, target=target, limit_per_s=limit.limit_per_s
            )
        if limit.is_none:
            log_event(Event.TARGET_LIMIT_ENDED, target=target)
