"""Choose targets by their health and load as this host knows them."""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass
from functools import partial

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.answers import (
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.fetch_planner import FetchPlanner
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.peer_work import MAX_TOTALS_AGE_S
from trefoilstage.components.forwarding.placement import (
    MAX_CANDIDATES,
    N_FIRST_CANDIDATES,
    CandidateInfo,
    PromptNeed,
    TargetOption,
    count_tokens,
    exceeds_cold_rate,
    is_in_time,
    is_late,
    rank_by_load,
    rank_by_prompt,
    rank_candidates,
)
from trefoilstage.components.forwarding.prefix_fetch import (
    FetchSource,
    PendingFetch,
    PrefixFetch,
    TransferTracker,
)
from trefoilstage.components.forwarding.retries import RetryBudgets
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.target_outcomes import TargetOutcomes
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.permits.controller import TargetPermits
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.slots import SlotPool
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService

# The time for all queries about one prompt. On a full link, another query costs more of
# the objective than it can save.
MAX_TOTAL_QUERY_S = 0.05
# Targets of each group that a request asks permits for, one after another.
N_ASKED = 3
# Each costs a round trip; without a slot, the caller is refused.
N_ASKED_FOR_SLOTS = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class SentPrompt:
    """Describe the prefill queue of a target when a prompt was sent to it."""

    n_uncached_tokens: int  # of the prompt itself, without those fetched
    n_queued_tokens: int  # of prompts sent earlier, by all hosts as far as known
    sent_at: float
    fetch: PendingFetch | None = None


class TargetChooser:
    """Track the targets' health and this host's work there, and choose a target."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        settings: FleetSettings,
        timer: TimerService,
        workload: WorkloadController,
        permits: TargetPermits,
        slots: SlotPool,
        limits: KnownLimits,
    ) -> None:
        self._permits = permits
        self._slots = slots
        self._board = board
        self._membership = membership
        self._settings = settings
        self._timer = timer
        self._workload = workload
        self._outcomes = TargetOutcomes(board=board, timer=timer, limits=limits)
        self._availability = TargetAvailability(
            board=board,
            settings=settings,
            timer=timer,
            outcomes=self._outcomes,
            permits=permits,
            limits=limits,
            may_have_room=slots.may_have_room,
        )
        self._fetches = FetchPlanner(
            timer=timer, workload=workload, availability=self._availability
        )
        self._retry_budgets = RetryBudgets(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        )

    async def choose(
        self,
        *,
        target_filter: TargetFilter,
        excluded: Set[str],
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        candidate_info: CandidateInfo,
        request_id: str,
    ) -> TargetEntry | None:
        """Return the target for a request, None if no target can be chosen.

        Targets that name a limit and cold ones are used only with a permit, cold ones
        only while no other target can serve the request in time.
        """
        groups = self._availability.group(
            self._availability.list_usable(target_filter, excluded)
        )
        rank = partial(
            self._rank,
            need=need,
            prompt=prompt,
            cached_tokens=candidate_info.cached_tokens,
            request_id=request_id,
            sources=self._list_sources(
                target_filter, excluded, need, prompt, candidate_info
            ),
        )
        askable = self._availability.list_askable(groups)
        is_pooled = self._slots.is_pooled(target_filter.service)
        if is_pooled:
            best = await self._choose_pooled(rank([*groups.free, *askable]))
        else:
            free = self._select_candidates(groups.free, need, candidate_info)
            best = await self._choose_warm(rank([*free, *askable]))
        if best is not None and (is_pooled or is_in_time(best, need)):
            return best.target
        useful = [
            option
            for option in rank(groups.cold)
            if best is None or is_in_time(option, need)
        ]
        for option in useful[:N_ASKED]:
            if is_pooled and not await self._slots.take(option.target):
                continue
            if await self._permits.request(option.target, is_cold=True):
                return option.target
        return best.target if best else None

    async def _choose_pooled(
        self, ranked: Sequence[TargetOption]
    ) -> TargetOption | None:
        """Return the first of some brittle targets that has a slot free."""
        has_free = any(self._availability.is_free(item.target) for item in ranked)
        with_room = [
            item for item in ranked if item.work.n_requests < item.target.slots
        ]
        for option in with_room[:N_ASKED_FOR_SLOTS]:
            target = option.target
            if not await self._slots.take(target):
                continue
            if not self._availability.needs_permit(
                target, others_are_free=has_free
            ) or await self._permits.request(target, is_cold=False):
                return option
        return None

    async def _choose_warm(self, ranked: Sequence[TargetOption]) -> TargetOption | None:
        """Return the first target that needs no permit, or that permits a request."""
        availability = self._availability
        if not availability.has_limited():
            return ranked[0] if ranked else None
        has_free = any(availability.is_free(option.target) for option in ranked)
        n_asked = 0
        for option in ranked:
            if not availability.needs_permit(option.target, others_are_free=has_free):
                return option
            if n_asked == N_ASKED:
                continue
            n_asked += 1
            if await self._permits.request(option.target, is_cold=False):
                return option
        return None

    def _select_candidates(
        self,
        targets: Sequence[TargetEntry],
        need: PromptNeed | None,
        candidate_info: CandidateInfo,
    ) -> Sequence[TargetEntry]:
        """Return the targets to compare: in a large fleet, the queried ones."""
        if need is None or not self._workload.is_fleet_large():
            return targets
        return rank_candidates(targets, need.subject)[: candidate_info.n_candidates]

    def _rank(
        self,
        targets: Sequence[TargetEntry],
        *,
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
        request_id: str,
        sources: Sequence[FetchSource],
    ) -> list[TargetOption]:
        """Return targets, the best first."""
        if need is None:
            options = [self._make_option(target) for target in targets]
            return rank_by_load(options, self._board.data_center, request_id)
        ordered = rank_candidates(targets, need.subject)
        options = self._list_options(ordered, prompt, cached_tokens, sources)
        return rank_by_prompt(options, need)

    def _list_sources(
        self,
        target_filter: TargetFilter,
        excluded: Set[str],
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        candidate_info: CandidateInfo,
    ) -> Sequence[FetchSource]:
        if not self._fetches.is_active(target_filter, need):
            return ()
        return self._fetches.list_sources(
            target_filter,
            excluded,
            prompt,
            candidate_info.cached_tokens,
            select=lambda targets: self._select_candidates(
                targets, need, candidate_info
            ),
        )

    def get_transfers(self) -> TransferTracker:
        """Return this host's fetches under way and the ejected sources."""
        return self._fetches.transfers

    def plan_fetch(
        self,
        target: TargetEntry,
        *,
        target_filter: TargetFilter,
        excluded: Set[str],
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        candidate_info: CandidateInfo,
    ) -> PrefixFetch | None:
        """Return the fetch with which a prompt is sent to a target, if any."""
        sources = self._list_sources(
            target_filter, excluded, need, prompt, candidate_info
        )
        n_cached = self._count_cached(target, prompt, candidate_info.cached_tokens)
        return self._fetches.plan(target, n_cached, sources)

    def _list_options(
        self,
        targets: Sequence[TargetEntry],
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
        sources: Sequence[FetchSource],
    ) -> list[TargetOption]:
        """Return targets with the tokens of a prompt that each has cached."""
        return [
            self._make_option(
                target, self._count_cached(target, prompt, cached_tokens), sources
            )
            for target in targets
        ]

    def _count_cached(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
    ) -> int:
        n_local = self._workload.count_cached(target.incarnation, prompt)
        return max(n_local, cached_tokens.get(target.incarnation, 0))

    def _make_option(
        self,
        target: TargetEntry,
        n_cached_tokens: int = 0,
        sources: Sequence[FetchSource] = (),
    ) -> TargetOption:
        cold_rate = self._availability.get_cold_rate(target)
        return TargetOption(
            target=target,
            work=self._workload.get_work(target.incarnation),
            n_cached_tokens=n_cached_tokens,
            prefill_tokens_per_s=self._workload.get_prefill_speed(target.incarnation),
            kv_tokens=self._get_kv_tokens(target),
            n_recent=0
            if cold_rate is None
            else self._workload.count_recent(target.incarnation),
            cold_requests_per_s=cold_rate,
            fetch=self._fetches.plan(target, n_cached_tokens, sources),
        )

    async def query_candidates(
        self,
        target_filter: TargetFilter,
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
    ) -> CandidateInfo:
        """Query the home hosts of a prompt's candidate targets for their state.

        Query more targets while the prompt would be late at all known ones. Requests
        without a prompt need no query: they take 45 ms on average, and few of them
        overlap at a target.
        """
        if need is None or not self._workload.is_fleet_large():
            return CandidateInfo()
        usable = self._availability.list_usable(target_filter)
        ranked = rank_candidates(self._availability.group(usable).free, need.subject)
        cached_tokens: dict[str, int] = {}
        n_queried = 0
        query_until = self._timer.now() + MAX_TOTAL_QUERY_S
        while n_queried < min(len(ranked), MAX_CANDIDATES):
            n_wanted = max(N_FIRST_CANDIDATES, 2 * n_queried)
            incarnations = [target.incarnation for target in ranked[n_queried:n_wanted]]
            cached_tokens |= await self._workload.query_homes(incarnations, prompt)
            n_queried = n_wanted
            info = CandidateInfo(cached_tokens=cached_tokens, n_candidates=n_queried)
            sources = self._list_sources(target_filter, set(), need, prompt, info)
            options = self._list_options(
                ranked[:n_queried], prompt, cached_tokens, sources
            )
            may_query = self._timer.now() < query_until
            if not may_query or not all(
                is_late(option, need) or exceeds_cold_rate(option) for option in options
            ):
                break
        # More targets may be free when the request is sent.
        n_candidates = max(n_queried, N_FIRST_CANDIDATES)
        return CandidateInfo(cached_tokens=cached_tokens, n_candidates=n_candidates)

    def should_query_again(self, queried_at: float) -> bool:
        """Return whether the candidate information is old and worth a new query."""
        now = self._timer.now()
        # All requests that waited for the end of one outage would otherwise choose the
        # same targets.
        if not self._workload.is_fleet_large() or now - queried_at <= MAX_TOTALS_AGE_S:
            return False
        # On a full link, the reply would cost more time than it can save.
        return self._board.round_trips.estimate_call_s(now) <= MAX_TOTAL_QUERY_S

    def has_other_target(self, target_filter: TargetFilter, excluded: Set[str]) -> bool:
        """Return whether a service has a ready target that is not excluded."""
        return bool(self._availability.list_allowed(target_filter, excluded))

    def compute_wait_s(self, target_filter: TargetFilter) -> float:
        """Return the seconds until a target may take a request again."""
        return self._availability.compute_wait_s(target_filter)

    def explain_no_target(self, target_filter: TargetFilter) -> str:
        """Return how many of a service's targets are passed over, by reason."""
        return self._availability.explain_no_target(target_filter)

    def find_usable(self, incarnation: str) -> TargetEntry | None:
        """Return a target that takes requests, as far as known; None for others."""
        entry = self._board.targets.find_incarnation(incarnation)
        if entry is None:
            return None
        allowed = self._availability.list_allowed(TargetFilter(service=entry.service))
        return entry if entry in allowed else None

    def list_unusable(self, service: str) -> frozenset[str]:
        """Return a service's ready targets, by incarnation, that get nothing now."""
        return self._availability.list_unusable(service)

    def find_free(
        self, incarnation: str, target_filter: TargetFilter, excluded: Set[str]
    ) -> TargetEntry | None:
        """Return a target that may get a request without a permit, None for others."""
        return self._availability.find_free(incarnation, target_filter, excluded)

    def is_start_proven(self, incarnation: str, connected_at: float) -> bool:
        """Return whether a connection leads to an incarnation of a target."""
        targets = self._board.targets
        entry = targets.find_incarnation(incarnation)
        return entry is not None and targets.is_start_proven(entry, connected_at)

    def forget_failures(self, service: str) -> None:
        """Forget a service's failures, which this host's lost links explain."""
        self._outcomes.forget_failures(service)

    def count_request(self, service: str) -> None:
        """Count a caller's request for the retry budget."""
        self._retry_budgets.get(service).count_request(self._timer.now())

    def take_retry(self, service: str) -> bool:
        """Return whether the retry budget allows one more retry, and count it."""
        n_hosts = self._membership.count_hosts()
        return self._retry_budgets.get(service).take_retry(self._timer.now(), n_hosts)

    def add_request(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        candidate_info: CandidateInfo,
        fetch: PrefixFetch | None = None,
    ) -> SentPrompt:
        """Count a request sent to a target; return the prefill queue that it meets."""
        incarnation = target.incarnation
        n_tokens = count_tokens(prompt)
        sent = SentPrompt(
            n_uncached_tokens=n_tokens
            - self._count_cached(target, prompt, candidate_info.cached_tokens)
            - (fetch.n_tokens if fetch else 0),
            n_queued_tokens=self._workload.get_work(incarnation).prompt_tokens,
            sent_at=self._timer.now(),
            fetch=self._fetches.add(fetch, target) if fetch else None,
        )
        if prompt:
            kv_tokens = self._get_kv_tokens(target) or 0
            self._workload.add_prompt(incarnation, kv_tokens, prompt)
        self._workload.adjust_work(
            incarnation,
            n_requests=1,
            prompt_tokens=sent.n_uncached_tokens,
            held_tokens=n_tokens,
        )
        self._outcomes.get_health(target).record_send(retry=False)
        return sent

    def record_first_token(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Record that a target sent a prompt's first token, and the time it took."""
        # With a fetch, an unknown part of the time is not prefill.
        if sent.fetch is None:
            seconds = self._timer.now() - sent.sent_at
            n_tokens = sent.n_queued_tokens + sent.n_uncached_tokens
            self._workload.add_prefill_sample(target.incarnation, n_tokens, seconds)
        self.remove_pending_prefill(target, sent)

    def end_fetch(self, sent: SentPrompt, outcome: SendOutcome | None) -> None:
        """Record the outcome of a send's fetch, if any; None if it was cancelled."""
        if sent.fetch is not None:
            self._fetches.end(sent.fetch, outcome)

    def remove_pending_prefill(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Remove a prompt's uncached tokens from the target's pending prefill."""
        self._workload.adjust_work(
            target.incarnation, prompt_tokens=-sent.n_uncached_tokens
        )

    def _get_kv_tokens(self, target: TargetEntry) -> int | None:
        service = self._availability.get_service(target)
        engine = service.engine if service else None
        return engine.kv_tokens if engine else None

    def remove_request(self, target: TargetEntry, prompt: Sequence[PromptPart]) -> None:
        """Remove a request that ended from the target's work."""
        self._workload.adjust_work(
            target.incarnation, n_requests=-1, held_tokens=-count_tokens(prompt)
        )
        self._outcomes.get_health(target).record_inconclusive_end()

    def record_answer(
        self,
        target: TargetEntry,
        answer: OpenAnswer | NotRun | InvalidAnswer,
        sent_at: float,
    ) -> None:
        """Update a target's health, and its directory entry, by a request's outcome."""
        self._outcomes.record_answer(target, answer, sent_at)

    def record_broken_answer(self, target: TargetEntry) -> None:
        """Count an answer that broke off as a failure of its target."""
        self._outcomes.record_broken_answer(target)
