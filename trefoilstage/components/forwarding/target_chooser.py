"""Choose targets by their health and load as this host knows them."""

from collections.abc import Sequence, Set
from functools import partial

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.answers import (
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.candidate_queries import CandidateQueries
from trefoilstage.components.forwarding.fetch_planner import FetchPlanner
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import (
    CandidateInfo,
    PromptNeed,
    TargetOption,
    is_in_time,
)
from trefoilstage.components.forwarding.prefix_fetch import (
    PrefixFetch,
    TransferTracker,
)
from trefoilstage.components.forwarding.retries import RetryBudgets
from trefoilstage.components.forwarding.sent_requests import SentPrompt, SentRequests
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.target_options import TargetOptions
from trefoilstage.components.forwarding.target_outcomes import TargetOutcomes
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.permits.controller import TargetPermits
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.slots import SlotPool
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService

# Targets of each group that a request asks permits for, one after another.
N_ASKED = 3
# Each costs a round trip; without a slot, the caller is refused.
N_ASKED_FOR_SLOTS = 6


class TargetChooser:
    """Choose targets, and tell the parts that count it what becomes of requests."""

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
        self._timer = timer
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
        self._options = TargetOptions(
            board=board,
            workload=workload,
            availability=self._availability,
            fetches=self._fetches,
        )
        self._queries = CandidateQueries(
            board=board,
            timer=timer,
            workload=workload,
            availability=self._availability,
            options=self._options,
        )
        self._sent = SentRequests(
            timer=timer,
            workload=workload,
            outcomes=self._outcomes,
            availability=self._availability,
            fetches=self._fetches,
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
            self._options.rank,
            need=need,
            prompt=prompt,
            cached_tokens=candidate_info.cached_tokens,
            request_id=request_id,
            sources=self._options.list_sources(
                target_filter, excluded, need, prompt, candidate_info
            ),
        )
        askable = self._availability.list_askable(groups)
        is_pooled = self._slots.is_pooled(target_filter.service)
        if is_pooled:
            best = await self._choose_pooled(rank([*groups.free, *askable]))
        else:
            free = self._options.select_candidates(groups.free, need, candidate_info)
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

    def get_transfers(self) -> TransferTracker:
        """Return this host's fetches under way and the ejected sources."""
        return self._fetches.transfers

    async def query_candidates(
        self,
        target_filter: TargetFilter,
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
    ) -> CandidateInfo:
        """Query the home hosts of a prompt's candidate targets for their state."""
        return await self._queries.query(target_filter, need, prompt)

    def should_query_again(self, queried_at: float) -> bool:
        """Return whether the candidate information is old and worth a new query."""
        return self._queries.should_query_again(queried_at)

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
        return self._options.plan_fetch(
            target,
            target_filter=target_filter,
            excluded=excluded,
            need=need,
            prompt=prompt,
            candidate_info=candidate_info,
        )

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
        n_cached = self._options.count_cached(
            target, prompt, candidate_info.cached_tokens
        )
        return self._sent.add_request(target, prompt, n_cached, fetch)

    def record_first_token(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Record that a target sent a prompt's first token, and the time it took."""
        self._sent.record_first_token(target, sent)

    def end_fetch(self, sent: SentPrompt, outcome: SendOutcome | None) -> None:
        """Record the outcome of a send's fetch, if any; None if it was cancelled."""
        self._sent.end_fetch(sent, outcome)

    def remove_pending_prefill(self, target: TargetEntry, sent: SentPrompt) -> None:
        """Remove a prompt's uncached tokens from the target's pending prefill."""
        self._sent.remove_pending_prefill(target, sent)

    def remove_request(self, target: TargetEntry, prompt: Sequence[PromptPart]) -> None:
        """Remove a request that ended from the target's work."""
        self._sent.remove_request(target, prompt)

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
