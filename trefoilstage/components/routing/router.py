"""Choose targets by the load, health and cached prefixes known to this host."""

import random
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard, TargetStatus
from trefoilstage.components.routing.choice import (
    Candidate,
    RoutingPolicy,
    ScoredCandidate,
    list_candidates,
    select_candidate,
)
from trefoilstage.components.routing.prefix import (
    BLOCK_TOKENS,
    PrefixMap,
    hash_blocks,
)
from trefoilstage.components.targets.models import CacheEvent, Job
from trefoilstage.helpers.verdict import Reason, Refusal

MIN_RETRY_AFTER_S = 1.0
CHARS_PER_TOKEN = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ChosenTarget:
    """Describe the chosen target and the number of prompt tokens not cached there."""

    candidate: Candidate
    blocks: tuple[str, ...]  # the hashes of the prompt's blocks
    n_new_tokens: int


class Router:
    """Record the load, health and cached prefixes of targets, and choose among them."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        policy: RoutingPolicy,
        generator: random.Random,
    ) -> None:
        self._blackboard = blackboard
        self._policy = policy
        self._generator = generator
        self._prefix_map = PrefixMap()
        self._n_choices = 0

    def choose_target(
        self, job: Job, excluded: frozenset[str], now: float, *, retry: bool
    ) -> ChosenTarget | Refusal:
        """Return a target with free capacity, or a refusal if there is none."""
        candidates = self._list_candidates(job, excluded)
        available = [
            candidate
            for candidate in candidates
            if self.get_status(candidate.name).health.may_send(now, retry=retry)
        ]
        if not available and not retry:
            available = self._list_probe_candidates(candidates, now)
        if not available:
            return self._make_refusal(candidates, now, retry=retry)
        blocks = hash_blocks(job.contents)
        scored = [
            self._score_candidate(candidate, job, blocks, now)
            for candidate in available
        ]
        with_capacity = [item for item in scored if item.load_share < 1.0]
        if not with_capacity:
            return Refusal(reason=Reason.OVERLOADED)
        self._n_choices += 1
        selected = select_candidate(
            with_capacity, self._policy, self._n_choices, self._generator
        )
        return ChosenTarget(
            candidate=selected.candidate,
            blocks=blocks,
            n_new_tokens=selected.n_new_tokens,
        )

    def get_status(self, name: str) -> TargetStatus:
        """Return the status of a target as this host knows it."""
        return self._blackboard.targets.setdefault(name, TargetStatus())

    def count_active(self, model: str) -> int:
        """Return the number of this host's active requests for a model."""
        targets = self._blackboard.configuration.targets
        return sum(
            status.load.active
            for name, status in self._blackboard.targets.items()
            if name in targets and targets[name].model == model
        )

    def list_targets_at_site(self, site: str) -> frozenset[str]:
        """Return the names of the targets at a site."""
        targets = self._blackboard.configuration.targets
        return frozenset(name for name in targets if targets[name].site == site)

    def record_start(self, name: str, now: float, *, retry: bool) -> None:
        """Record that a request is about to be sent to a target."""
        status = self.get_status(name)
        status.load.record_active_change(now, 1)
        status.health.record_send(retry=retry)
        status.last_used = now

    def record_unsent(self, name: str, now: float) -> None:
        """Remove a request that was counted as started but was not sent."""
        status = self.get_status(name)
        status.load.record_active_change(now, -1)
        status.health.record_inconclusive_end()

    def record_end(self, name: str, now: float) -> None:
        """Record that a request at a target has ended."""
        self.get_status(name).load.record_active_change(now, -1)

    def record_prompt_sent(
        self, name: str, blocks: tuple[str, ...], n_tokens: int
    ) -> None:
        """Record that a prompt with `n_tokens` uncached tokens is being sent."""
        self._prefix_map.add_blocks(name, blocks)
        self.get_status(name).load.pending_prompt += n_tokens

    def record_prompt_processed(self, name: str, n_tokens: int) -> None:
        """Record that a target has processed a prompt or will not process it."""
        self.get_status(name).load.pending_prompt -= n_tokens

    def record_cache_event(self, name: str, event: CacheEvent) -> None:
        """Apply a cache event of a target."""
        if event.kind == "stored":
            self._prefix_map.add_blocks(name, (event.block,))
        else:
            self._prefix_map.remove_block(name, event.block)

    def _list_candidates(self, job: Job, excluded: frozenset[str]) -> list[Candidate]:
        targets = self._blackboard.configuration.targets
        return [
            candidate
            for candidate in list_candidates(targets, job.model)
            if candidate.name not in excluded
            and (not job.urls or candidate.config.url in job.urls)
        ]

    def _list_probe_candidates(
        self, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the targets to probe early because every candidate is ejected.

        An ejection is useful only while another target can take the requests. With
        none left, all requests would be refused although a target may have recovered.
        """
        healths = [(item, self.get_status(item.name).health) for item in candidates]
        if any(health.ejected_until is None for _, health in healths):
            return []
        return [
            item
            for item, health in healths
            if not health.probing and not health.is_resting(now)
        ]

    def _score_candidate(
        self, candidate: Candidate, job: Job, blocks: tuple[str, ...], now: float
    ) -> ScoredCandidate:
        load = self.get_status(candidate.name).load
        n_cached_tokens = (
            self._prefix_map.count_cached_blocks(candidate.name, blocks) * BLOCK_TOKENS
        )
        n_prompt_tokens = job.n_prompt_chars // CHARS_PER_TOKEN
        return ScoredCandidate(
            candidate=candidate,
            n_running=load.estimate_running(now),
            n_reported=load.reported,
            n_new_tokens=max(0, n_prompt_tokens - n_cached_tokens),
            n_cached_tokens=n_cached_tokens,
            n_pending_tokens=load.pending_prompt,
        )

    def _make_refusal(
        self, candidates: list[Candidate], now: float, *, retry: bool
    ) -> Refusal:
        healths = [self.get_status(item.name).health for item in candidates]
        # A target that is only at capacity is expected to have room again shortly.
        if not retry and any(
            health.ejected_until is None and not health.is_resting(now)
            for health in healths
        ):
            return Refusal(reason=Reason.OVERLOADED)
        waits = [health.compute_wait_s(now) for health in healths]
        return Refusal(
            reason=Reason.NO_TARGET,
            retry_after_s=max(MIN_RETRY_AFTER_S, min(waits, default=0.0)),
        )
