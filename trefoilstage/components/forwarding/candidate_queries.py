"""Ask the home hosts of a prompt's candidate targets for the targets' state."""

from collections.abc import Sequence

from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.peer_work import MAX_TOTALS_AGE_S
from trefoilstage.components.forwarding.placement import (
    MAX_CANDIDATES,
    N_FIRST_CANDIDATES,
    CandidateInfo,
    PromptNeed,
    exceeds_cold_rate,
    is_late,
    rank_candidates,
)
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.target_options import TargetOptions
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

# The time for all queries about one prompt. On a full link, another query costs more of
# the objective than it can save.
MAX_TOTAL_QUERY_S = 0.05


class CandidateQueries:
    """Query candidates in a large fleet, in which a host does not know all work."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        timer: TimerService,
        workload: WorkloadController,
        availability: TargetAvailability,
        options: TargetOptions,
    ) -> None:
        self._board = board
        self._timer = timer
        self._workload = workload
        self._availability = availability
        self._options = options

    async def query(
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
            sources = self._options.list_sources(
                target_filter, set(), need, prompt, info
            )
            options = self._options.list_options(
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
