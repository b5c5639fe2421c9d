"""Plan fetches of KV cache by what this host knows of the targets."""

from collections.abc import Callable, Mapping, Sequence, Set

from trefoilstage.components.forwarding.answers import NotRun, OpenAnswer, SendOutcome
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import PromptNeed
from trefoilstage.components.forwarding.prefix_fetch import (
    MIN_CANCELLED_WAIT_S,
    MIN_FETCHED_TOKENS,
    SOURCE_EJECTION_S,
    FetchSource,
    PendingFetch,
    PrefixFetch,
    TransferCost,
    TransferTracker,
    get_transfer_cost,
    plan_fetch,
)
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

FIRST_SERVER_ERROR = 500
# A target has processed a prompt this long after it was sent, and after the time that
# the tokens queued there now take.
SETTLED_AFTER_S = 1.0


class FetchPlanner:
    """Find the sources of a prompt's prefix, and track the fetches under way."""

    def __init__(
        self,
        *,
        timer: TimerService,
        workload: WorkloadController,
        availability: TargetAvailability,
    ) -> None:
        self._timer = timer
        self._workload = workload
        self._availability = availability
        self._transfers = TransferTracker()

    @property
    def transfers(self) -> TransferTracker:
        """Return the fetches under way and the ejected sources."""
        return self._transfers

    def is_active(self, target_filter: TargetFilter, need: PromptNeed | None) -> bool:
        """Return whether a request's prefix may be fetched at all.

        Where transfers are too expensive at the targets' mean speed, requests spend no
        time on looking for sources.
        """
        if need is None or not need.may_fetch:
            return False
        cost = self._get_cost(target_filter.service)
        return cost is not None and cost.is_low(self._workload.mean_prefill_speed)

    def list_sources(
        self,
        target_filter: TargetFilter,
        excluded: Set[str],
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
        select: Callable[[Sequence[TargetEntry]], Sequence[TargetEntry]],
    ) -> list[FetchSource]:
        """Return the targets that keep a prefix of a prompt, among those selected."""
        now = self._timer.now()
        usable = self._availability.list_fetch_sources(target_filter, excluded)
        sources = [
            FetchSource(
                target=target,
                n_kept_tokens=self._count_kept(target, prompt, cached_tokens),
            )
            for target in select(usable)
            if self._transfers.is_usable(target.incarnation, now)
        ]
        return [item for item in sources if item.n_kept_tokens >= MIN_FETCHED_TOKENS]

    def plan(
        self,
        target: TargetEntry,
        n_cached_tokens: int,
        sources: Sequence[FetchSource],
    ) -> PrefixFetch | None:
        """Return the fetch for a prompt at a target, None without one."""
        if not sources:
            return None
        cost = self._get_cost(target.service)
        if cost is None:
            return None
        return plan_fetch(
            target,
            n_cached_tokens,
            prefill_tokens_per_s=self._workload.get_prefill_speed(target.incarnation),
            cost=cost,
            sources=sources,
            transfers=self._transfers,
            now=self._timer.now(),
        )

    def add(self, fetch: PrefixFetch, receiver: TargetEntry) -> PendingFetch:
        """Record that a prompt is sent with a fetch."""
        return self._transfers.add(fetch, receiver.incarnation, self._timer.now())

    def end(self, fetch: PendingFetch, outcome: SendOutcome | None) -> None:
        """Record the outcome of a send with a fetch, None if it was cancelled."""
        now = self._timer.now()
        waited_s = now - fetch.planned_at
        failed = (
            waited_s >= MIN_CANCELLED_WAIT_S if outcome is None else has_failed(outcome)
        )
        if self._transfers.end(fetch, now, failed=failed):
            log_event(
                Event.FETCH_SOURCE_EJECTED,
                source=fetch.source,
                target=fetch.receiver,
                failed=failed,
                waited_s=waited_s,
                for_s=SOURCE_EJECTION_S,
            )

    def _count_kept(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        cached_tokens: Mapping[str, int],
    ) -> int:
        """Return the tokens of a prompt that a target has processed, not only got."""
        incarnation = target.incarnation
        n_known = max(
            self._workload.count_cached(incarnation, prompt),
            cached_tokens.get(incarnation, 0),
        )
        # A prefix that is not processed yet is part of the tokens queued there.
        n_queued = self._workload.get_work(incarnation).prompt_tokens
        if n_queued < n_known:
            return n_known
        queued_s = n_queued / self._workload.get_prefill_speed(incarnation)
        before = self._timer.now() - SETTLED_AFTER_S - queued_s
        return self._workload.count_settled(incarnation, prompt, before)

    def _get_cost(self, service: str) -> TransferCost | None:
        found = self._availability.find_service(service)
        return get_transfer_cost(found.engine if found else None)


def has_failed(outcome: SendOutcome) -> bool:
    """Return whether a send failed in a way that its fetch may have caused."""
    if isinstance(outcome, OpenAnswer):
        return outcome.head.status >= FIRST_SERVER_ERROR
    return not isinstance(outcome, NotRun)
