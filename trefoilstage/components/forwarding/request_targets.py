"""Find the target of a request by the request's state."""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilstage.components.forwarding.failures import NO_TARGET, RETRY_AFTER_S
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.placement import (
    PromptNeed,
    count_tokens,
    find_subject,
)
from trefoilstage.components.forwarding.prefix_fetch import PrefixFetch
from trefoilstage.components.forwarding.request_places import RequestPlaces
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.helpers.verdict import Refusal

if TYPE_CHECKING:
    # Hosts without an admission queue do not load its modules, to save memory.
    from trefoilstage.components.admission_queue.own_work import Place


class RequestTargets:
    """Ask the chooser for the target, candidates and fetch of a request."""

    def __init__(self, *, chooser: TargetChooser, places: RequestPlaces) -> None:
        self._chooser = chooser
        self._places = places

    async def query_candidates(self, state: RequestState) -> None:
        """Query the state of a request's candidate targets."""
        state.candidate_info = await self._chooser.query_candidates(
            state.target_filter,
            self._make_prompt_need(state),
            state.request.prompt,
        )
        state.candidates_queried_at = asyncio.get_running_loop().time()

    async def refresh_candidates(self, state: RequestState) -> None:
        """Query the candidates again if their state is old and a query is worth it."""
        if self._chooser.should_query_again(state.candidates_queried_at):
            await self.query_candidates(state)

    async def choose(
        self, state: RequestState, place: "Place | None"
    ) -> TargetEntry | None:
        """Return the target of a place if the request may use it, or a chosen one."""
        if place is not None:
            target = self._chooser.find_free(
                place.target, state.target_filter, state.excluded
            )
            if target is not None:
                return target
            self._places.release(place, used=False)
        return await self._chooser.choose(
            target_filter=state.target_filter,
            excluded=state.excluded,
            need=self._make_prompt_need(state),
            prompt=state.request.prompt,
            candidate_info=state.candidate_info,
            request_id=state.request.request_id,
        )

    def plan_fetch(
        self, state: RequestState, target: TargetEntry
    ) -> PrefixFetch | None:
        """Return the fetch with which a request is sent to a target, if any."""
        return self._chooser.plan_fetch(
            target,
            target_filter=state.target_filter,
            excluded=state.excluded,
            need=self._make_prompt_need(state),
            prompt=state.request.prompt,
            candidate_info=state.candidate_info,
        )

    def explain(self, failure: Refusal, state: RequestState) -> Refusal:
        """Return the refusal of a request that has no target left."""
        if failure is not NO_TARGET:
            return failure
        detail = self._chooser.explain_no_target(state.target_filter)
        wait_s = self._chooser.compute_wait_s(state.target_filter)
        return replace(failure, detail=detail, retry_after_s=max(RETRY_AFTER_S, wait_s))

    def _make_prompt_need(self, state: RequestState) -> PromptNeed | None:
        if not state.request.prompt:
            return None
        waited_s = asyncio.get_running_loop().time() - state.started_at
        return PromptNeed(
            subject=find_subject(state.request.prompt),
            n_tokens=count_tokens(state.request.prompt),
            objective_s=state.route.objective_s - waited_s,
            may_fetch=state.n_sends == 0,
        )
