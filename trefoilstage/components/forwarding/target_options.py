"""Rank the targets of a request by their state as this host knows it."""

from collections.abc import Mapping, Sequence, Set

from trefoilstage.components.forwarding.fetch_planner import FetchPlanner
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import (
    CandidateInfo,
    PromptNeed,
    TargetOption,
    rank_by_load,
    rank_by_prompt,
    rank_candidates,
)
from trefoilstage.components.forwarding.prefix_fetch import FetchSource, PrefixFetch
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.fleet_board import FleetBoard


class TargetOptions:
    """Describe targets by their work, caches and possible fetches, and rank them."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        workload: WorkloadController,
        availability: TargetAvailability,
        fetches: FetchPlanner,
    ) -> None:
        self._board = board
        self._workload = workload
        self._availability = availability
        self._fetches = fetches

    def select_candidates(
        self,
        targets: Sequence[TargetEntry],
        need: PromptNeed | None,
        candidate_info: CandidateInfo,
    ) -> Sequence[TargetEntry]:
        """Return the targets to compare: in a large fleet, the queried ones."""
        if need is None or not self._workload.is_fleet_large():
            return targets
        return rank_candidates(targets, need.subject)[: candidate_info.n_candidates]

    def rank(
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
        options = self.list_options(ordered, prompt, cached_tokens, sources)
        return rank_by_prompt(options, need)

    def list_sources(
        self,
        target_filter: TargetFilter,
        excluded: Set[str],
        need: PromptNeed | None,
        prompt: Sequence[PromptPart],
        candidate_info: CandidateInfo,
    ) -> Sequence[FetchSource]:
        """Return the targets from which a prompt's prefix may be fetched."""
        if not self._fetches.is_active(target_filter, need):
            return ()
        return self._fetches.list_sources(
            target_filter,
            excluded,
            prompt,
            candidate_info.cached_tokens,
            select=lambda targets: self.select_candidates(
                targets, need, candidate_info
            ),
        )

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
        sources = self.list_sources(
            target_filter, excluded, need, prompt, candidate_info
        )
        n_cached = self.count_cached(target, prompt, candidate_info.cached_tokens)
        return self._fetches.plan(target, n_cached, sources)

    def list_options(
        self,
        targets: Sequence[TargetEntry],
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
        sources: Sequence[FetchSource],
    ) -> list[TargetOption]:
        """Return targets with the tokens of a prompt that each has cached."""
        return [
            self._make_option(
                target, self.count_cached(target, prompt, cached_tokens), sources
            )
            for target in targets
        ]

    def count_cached(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
    ) -> int:
        """Return the tokens of a prompt that a target has cached, as far as known."""
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
            kv_tokens=self._availability.get_kv_tokens(target),
            n_recent=0
            if cold_rate is None
            else self._workload.count_recent(target.incarnation),
            cold_requests_per_s=cold_rate,
            fetch=self._fetches.plan(target, n_cached_tokens, sources),
        )
