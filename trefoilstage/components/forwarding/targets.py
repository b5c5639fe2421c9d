"""Choose targets by what this host knows of them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.heard_work import TOTALS_AGE_S
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import (
    MAX_CANDIDATES,
    N_CANDIDATES,
    Option,
    PromptNeed,
    Survey,
    choose_by_load,
    choose_by_prompt,
    count_tokens,
    is_late,
    rank_candidates,
)
from trefoilstage.components.forwarding.retries import RetryBudget
from trefoilstage.components.forwarding.sender import Broken, NotSent, OpenAnswer
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.targets.health import TargetHealth
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# On a link that is full, asking again costs more of the objective than it may win.
MAX_ASKING_S = 0.05


@dataclass(frozen=True, kw_only=True, slots=True)
class SentPrompt:
    """Hold what a target had to read when a prompt was sent to it."""

    n_unread: int  # tokens of the prompt itself
    n_ahead: int  # tokens of prompts sent before, from all hosts as far as known
    at: float


class TargetChooser:
    """Keep each target's health and work of this host, and choose among them."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        settings: FleetSettings,
        timer: TimerService,
        workload: WorkloadController,
    ) -> None:
        self._board = board
        self._membership = membership
        self._settings = settings
        self._timer = timer
        self._workload = workload
        self._healths: dict[str, TargetHealth] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def choose(
        self,
        *,
        service: str,
        excluded: set[str],
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        survey: Survey,
        request: str,
    ) -> TargetEntry | None:
        """Return the target for a request, None if there is none."""
        usable = self._list_usable(service, excluded)
        if not usable:
            return None
        if need is None:
            options = [self._make_option(target) for target in usable]
            return choose_by_load(options, self._board.data_center, request)
        candidates = rank_candidates(usable, need.subject)
        if self._workload.is_large():
            candidates = candidates[: survey.n_candidates]
        options = self._list_options(candidates, prompt, survey.kept)
        return choose_by_prompt(options, need)

    def _list_options(
        self,
        targets: Sequence[TargetEntry],
        prompt: Sequence[PromptPart],
        kept: Mapping[str, int],
    ) -> list[Option]:
        """Return targets with what they have in memory of a prompt, as far as known."""
        return [
            self._make_option(target, self._count_kept(target, prompt, kept))
            for target in targets
        ]

    def _count_kept(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        kept: Mapping[str, int],
    ) -> int:
        known_here = self._workload.count_kept(target.incarnation, prompt)
        return max(known_here, kept.get(target.incarnation, 0))

    def _list_usable(self, service: str, excluded: set[str]) -> list[TargetEntry]:
        now = self._timer.now()
        ready = self._board.targets.list_ready(service, now)
        others = [target for target in ready if target.incarnation not in excluded]
        healthy = [
            target
            for target in others
            if self._get_health(target).may_send(now, retry=False)
        ]
        # With every target ejected, each request would be refused although a
        # target may be well again.
        return healthy or others

    def _make_option(self, target: TargetEntry, n_kept_tokens: int = 0) -> Option:
        return Option(
            target=target,
            work=self._workload.get_work(target.incarnation),
            n_kept_tokens=n_kept_tokens,
            tokens_per_s=self._workload.get_pace(target.incarnation),
            kv_tokens=self._get_kv_tokens(target),
        )

    async def refresh(
        self, service: str, need: PromptNeed | None, prompt: Sequence[PromptPart]
    ) -> Survey:
        """Learn what other hosts know of a prompt's targets, before one is chosen.

        Ask about more targets while the prompt would be late at all of them. Calls
        without a prompt take 45 ms in the mean, and few of them meet.
        """
        if need is None or not self._workload.is_large():
            return Survey()
        ranked = rank_candidates(self._list_usable(service, set()), need.subject)
        kept: dict[str, int] = {}
        n_asked = 0
        until = self._timer.now() + MAX_ASKING_S
        while n_asked < min(len(ranked), MAX_CANDIDATES):
            n_wanted = max(N_CANDIDATES, 2 * n_asked)
            names = [target.incarnation for target in ranked[n_asked:n_wanted]]
            kept |= await self._workload.refresh(names, prompt)
            n_asked = n_wanted
            options = self._list_options(ranked[:n_asked], prompt, kept)
            may_ask = self._timer.now() < until
            if not may_ask or not all(is_late(option, need) for option in options):
                break
        return Survey(kept=kept, n_candidates=n_asked)

    def should_ask_again(self, asked_at: float) -> bool:
        """Tell whether what was learned of targets is too old to choose by."""
        now = self._timer.now()
        # Else all that waited out one outage would choose the same targets.
        if not self._workload.is_large() or now - asked_at <= TOTALS_AGE_S:
            return False
        # On a full link the answer would take longer than it is worth.
        return self._board.round_trips.estimate(now) <= MAX_ASKING_S

    def has_other(self, service: str, excluded: set[str]) -> bool:
        """Tell whether a service has a ready target besides some."""
        ready = self._board.targets.list_ready(service, self._timer.now())
        return any(target.incarnation not in excluded for target in ready)

    def note_request(self, service: str) -> None:
        """Count a request of a caller for the retry budget."""
        self._get_budget(service).note_request(self._timer.now())

    def take_repeat(self, service: str) -> bool:
        """Take one repeat from the retry budget, if it allows one."""
        n_hosts = self._membership.count_hosts()
        return self._get_budget(service).take(self._timer.now(), n_hosts)

    def note_start(
        self, target: TargetEntry, prompt: Sequence[PromptPart], survey: Survey
    ) -> SentPrompt:
        """Count a request that is sent to a target; return what has to be read."""
        name = target.incarnation
        n_tokens = count_tokens(prompt)
        sent = SentPrompt(
            n_unread=n_tokens - self._count_kept(target, prompt, survey.kept),
            n_ahead=self._workload.get_work(name).prompt_tokens,
            at=self._timer.now(),
        )
        if prompt:
            kv_tokens = self._get_kv_tokens(target) or 0
            self._workload.add_prompt(name, kv_tokens, prompt)
        self._workload.add(
            name, n_requests=1, prompt_tokens=sent.n_unread, held_tokens=n_tokens
        )
        self._get_health(target).start(retry=False)
        return sent

    def note_first_token(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Count a prompt that a target has read, and how long it took."""
        seconds = self._timer.now() - sent.at
        n_tokens = sent.n_ahead + sent.n_unread
        self._workload.note_reading(target.incarnation, n_tokens, seconds)
        self.note_unread(target, sent)

    def note_unread(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Count a prompt that a target need not read any more."""
        self._workload.add(target.incarnation, prompt_tokens=-sent.n_unread)

    def _get_kv_tokens(self, target: TargetEntry) -> int | None:
        configuration = self._board.configuration
        service = configuration and configuration.services.get(target.service)
        engine = service.engine if service else None
        return engine.kv_tokens if engine else None

    def note_end(self, target: TargetEntry, prompt: Sequence[PromptPart]) -> None:
        """Count a request that ended at a target."""
        self._workload.add(
            target.incarnation, n_requests=-1, held_tokens=-count_tokens(prompt)
        )
        self._get_health(target).note_dropped()

    def note_answer(
        self, target: TargetEntry, answer: OpenAnswer | NotSent | Broken
    ) -> None:
        """Judge a target by an answer."""
        now = self._timer.now()
        health = self._get_health(target)
        if isinstance(answer, OpenAnswer):
            if answer.head.status < 500:
                health.note_answer()
                return
            failed = health.note_failure(now)
        elif isinstance(answer, NotSent) and answer.misdirected:
            self._board.targets.remove(target)
            log_event(Event.TARGET_REPLACED, target=target.name)
            return
        elif isinstance(answer, NotSent) and answer.busy:
            health.note_busy(now)
            return
        elif isinstance(answer, NotSent) and answer.stalled:
            return
        elif isinstance(answer, NotSent) and answer.silent:
            failed = health.note_silence(now)
        else:
            failed = health.note_failure(now)
        unreachable = isinstance(answer, NotSent) and answer.unreachable
        if unreachable and self._board.targets.give_way(target):
            log_event(
                Event.TARGET_GAVE_WAY,
                target=target.name,
                started_ms=target.started_ms,
                used_ms=self._board.targets.starts[target.name].latest,
            )
        if failed:
            log_event(Event.TARGET_EJECTED, target=target.name)

    def note_broken(self, target: TargetEntry) -> None:
        """Count an answer that broke off."""
        self._get_health(target).note_failure(self._timer.now())

    def _get_health(self, target: TargetEntry) -> TargetHealth:
        # A restarted target owes nothing for what failed before its restart.
        health = self._healths.get(target.incarnation)
        if health is None:
            self._forget_ended()
            health = self._healths[target.incarnation] = TargetHealth()
        return health

    def _forget_ended(self) -> None:
        listed = self._board.targets.list_incarnations()
        self._healths = {
            name: health for name, health in self._healths.items() if name in listed
        }

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self._settings.retry_ratio,
                slack=self._settings.retry_slack,
                window_s=self._settings.retry_window_s,
            )
            self._budgets[service] = budget
        return budget
