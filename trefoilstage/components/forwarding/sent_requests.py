"""Count the requests that this host sent to targets, and what became of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from trefoilstage.components.forwarding.answers import SendOutcome
from trefoilstage.components.forwarding.fetch_planner import FetchPlanner
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import count_tokens
from trefoilstage.components.forwarding.prefix_fetch import PendingFetch, PrefixFetch
from trefoilstage.components.forwarding.target_availability import TargetAvailability
from trefoilstage.components.forwarding.target_outcomes import TargetOutcomes
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.timer import TimerService


@dataclass(frozen=True, kw_only=True, slots=True)
class SentPrompt:
    """Describe the prefill queue of a target when a prompt was sent to it."""

    n_uncached_tokens: int  # of the prompt itself, without those fetched
    n_queued_tokens: int  # of prompts sent earlier, by all hosts as far as known
    sent_at: float
    fetch: PendingFetch | None = None


class SentRequests:
    """Count this host's requests and their tokens at each target."""

    def __init__(
        self,
        *,
        timer: TimerService,
        workload: WorkloadController,
        outcomes: TargetOutcomes,
        availability: TargetAvailability,
        fetches: FetchPlanner,
    ) -> None:
        self._timer = timer
        self._workload = workload
        self._outcomes = outcomes
        self._availability = availability
        self._fetches = fetches

    def add_request(
        self,
        target: TargetEntry,
        prompt: Sequence[PromptPart],
        n_cached_tokens: int,
        fetch: PrefixFetch | None,
    ) -> SentPrompt:
        """Count a request sent to a target; return the prefill queue that it meets."""
        incarnation = target.incarnation
        n_tokens = count_tokens(prompt)
        sent = SentPrompt(
            n_uncached_tokens=n_tokens
            - n_cached_tokens
            - (fetch.n_tokens if fetch else 0),
            n_queued_tokens=self._workload.get_work(incarnation).prompt_tokens,
            sent_at=self._timer.now(),
            fetch=self._fetches.add(fetch, target) if fetch else None,
        )
        if prompt:
            kv_tokens = self._availability.get_kv_tokens(target) or 0
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

    def remove_request(self, target: TargetEntry, prompt: Sequence[PromptPart]) -> None:
        """Remove a request that ended from the target's work."""
        self._workload.adjust_work(
            target.incarnation, n_requests=-1, held_tokens=-count_tokens(prompt)
        )
        self._outcomes.get_health(target).record_inconclusive_end()
