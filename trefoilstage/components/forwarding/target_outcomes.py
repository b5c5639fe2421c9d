"""Record what became of requests at the targets: health, and entries that are wrong."""

from trefoilstage.components.forwarding.answers import InvalidAnswer, NotRun, OpenAnswer
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.translator import AnswerHead
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.targets.health import TargetHealth
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService


class TargetOutcomes:
    """Keep each target's health, and correct the directory by what targets answer."""

    def __init__(
        self, *, board: FleetBoard, timer: TimerService, limits: KnownLimits
    ) -> None:
        self._board = board
        self._timer = timer
        self._healths: dict[str, TargetHealth] = {}
        self._limits = limits
        self._last_rest_ends_at = float("-inf")

    def get_health(self, target: TargetEntry) -> TargetHealth:
        """Return the health of a target's incarnation."""
        # Failures before a restart do not count against the restarted target.
        health = self._healths.get(target.incarnation)
        if health is None:
            self._remove_ended()
            health = self._healths[target.incarnation] = TargetHealth()
        return health

    def list_awake(self, targets: list[TargetEntry]) -> list[TargetEntry]:
        """Return the targets that did not ask this host for rest."""
        now = self._timer.now()
        if now >= self._last_rest_ends_at:
            return targets
        return [item for item in targets if not self.get_health(item).is_resting(now)]

    def forget_failures(self, service: str) -> None:
        """Forget failures and ejections of a service's targets."""
        for item in self._board.targets.listed.values():
            if item.entry.service == service:
                self.get_health(item.entry).record_success()

    def _remove_ended(self) -> None:
        listed = self._board.targets.list_incarnations()
        self._healths = {
            incarnation: health
            for incarnation, health in self._healths.items()
            if incarnation in listed
        }

    def record_answer(
        self,
        target: TargetEntry,
        answer: OpenAnswer | NotRun | InvalidAnswer,
        sent_at: float,
    ) -> None:
        """Update a target's health, and its directory entry, by a request's outcome."""
        if answer.head is not None and not answer.head.misdirected:
            self._record_brittle(target, answer.head)
            self._record_limit(target, answer.head, sent_at)
            self._record_rest(target, answer.head)
            self._record_leaving(target, answer.head)
        if isinstance(answer, OpenAnswer):
            self._board.targets.proofs.record_answer(
                target, answer.connected_at, sent_at
            )
        if isinstance(answer, NotRun) and answer.misdirected:
            self._board.targets.remove_incarnation(target)
            log_event(Event.TARGET_REPLACED, target=target.name)
            return
        if isinstance(answer, NotRun) and answer.unreachable:
            self._use_other_start(target)
        if self._update_health(target, answer):
            log_event(Event.TARGET_EJECTED, target=target.name)

    def _record_limit(
        self, target: TargetEntry, head: AnswerHead, sent_at: float
    ) -> None:
        refuses = head.rest_s is not None or (
            head.not_run and head.max_refusals_per_s is not None
        )
        # Only a verified success shows that the target takes requests without a limit.
        is_success = head.trusted and head.success
        if head.limit_per_s is not None or refuses or is_success:
            self._limits.record_answer(
                target.incarnation, head.limit_per_s, sent_at, refuses=refuses
            )

    def _record_brittle(self, target: TargetEntry, head: AnswerHead) -> None:
        if head.max_refusals_per_s is None:
            return
        if self._board.brittle.record(target.service, self._timer.now()):
            log_event(
                Event.SERVICE_BRITTLE,
                service=target.service,
                target=target.incarnation,
                max_refusals_per_s=head.max_refusals_per_s,
            )

    def _record_rest(self, target: TargetEntry, head: AnswerHead) -> None:
        if head.rest_s is None:
            return
        now = self._timer.now()
        self.get_health(target).record_rest(head.rest_s, now)
        self._last_rest_ends_at = max(self._last_rest_ends_at, now + head.rest_s)
        log_event(
            Event.TARGET_ASKED_FOR_REST,
            target=target.incarnation,
            rest_s=head.rest_s,
        )

    def _record_leaving(self, target: TargetEntry, head: AnswerHead) -> None:
        if head.leaving and self._board.targets.record_leaving(target.incarnation):
            log_event(Event.TARGET_SAID_LEAVING, target=target.incarnation)

    def _update_health(
        self, target: TargetEntry, answer: OpenAnswer | NotRun | InvalidAnswer
    ) -> bool:
        """Return whether the target was ejected."""
        now = self._timer.now()
        health = self.get_health(target)
        if isinstance(answer, OpenAnswer) and answer.head.status < 500:
            health.record_success()
            return False
        if isinstance(answer, NotRun) and answer.busy:
            health.record_busy(now)
            return False
        if isinstance(answer, NotRun) and answer.says_nothing_of_target:
            return False
        if isinstance(answer, NotRun) and answer.timed_out:
            return health.record_connect_timeout(now)
        return health.record_failure(now)

    def _use_other_start(self, target: TargetEntry) -> None:
        if self._board.targets.switch_to_other_start(target):
            log_event(
                Event.TARGET_GAVE_WAY,
                target=target.name,
                started_ms=target.started_ms,
                used_ms=self._board.targets.starts[target.name].latest,
            )

    def record_broken_answer(self, target: TargetEntry) -> None:
        """Count an answer that broke off as a failure of its target."""
        self.get_health(target).record_failure(self._timer.now())
