"""Choose targets by what this host knows of them."""

import random
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard, TargetStatus
from trefoilstage.components.routing.choice import (
    Candidate,
    Option,
    RoutingPolicy,
    list_candidates,
    pick_option,
)
from trefoilstage.components.routing.prefix import (
    BLOCK_TOKENS,
    PrefixMap,
    hash_blocks,
)
from trefoilstage.components.targets.models import CacheEvent, Job
from trefoilstage.helpers.verdict import Reason, Refusal

RETRY_AFTER_S = 1.0
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """Name the chosen target and the prompt work expected there."""

    candidate: Candidate
    blocks: tuple[str, ...]
    n_new_tokens: int


class Router:
    """Keep loads, health and prefixes by target, and choose among them."""

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
        self._prefixes = PrefixMap()
        self._n_choices = 0

    def choose(
        self, job: Job, excluded: frozenset[str], now: float, *, retry: bool
    ) -> Choice | Refusal:
        """Return a target with room, or say whether waiting may help."""
        candidates = self._list_candidates(job, excluded)
        able = [
            candidate
            for candidate in candidates
            if self.get_status(candidate.name).health.may_send(now, retry=retry)
        ]
        if not able and not retry:
            able = self._list_probes(candidates)
        if not able:
            return self._refuse(candidates, now, retry=retry)
        blocks = hash_blocks(job.contents)
        options = [self._describe(candidate, job, blocks, now) for candidate in able]
        free = [option for option in options if option.share < 1.0]
        if not free:
            return Refusal(reason=Reason.OVERLOADED)
        self._n_choices += 1
        option = pick_option(free, self._policy, self._n_choices, self._generator)
        return Choice(
            candidate=option.candidate, blocks=blocks, n_new_tokens=option.n_new_tokens
        )

    def get_status(self, name: str) -> TargetStatus:
        """Return what this host knows of a target."""
        return self._blackboard.targets.setdefault(name, TargetStatus())

    def count_active(self, model: str) -> int:
        """Return this host's active requests for a model."""
        targets = self._blackboard.configuration.targets
        return sum(
            status.load.active
            for name, status in self._blackboard.targets.items()
            if name in targets and targets[name].model == model
        )

    def list_site(self, site: str) -> frozenset[str]:
        """Return the targets of a site."""
        targets = self._blackboard.configuration.targets
        return frozenset(name for name in targets if targets[name].site == site)

    def note_start(self, name: str, now: float, *, retry: bool) -> None:
        """Count a request that is about to go to a target."""
        status = self.get_status(name)
        status.load.note_active(now, 1)
        status.health.start(retry=retry)
        status.last_used = now

    def note_unsent(self, name: str, now: float) -> None:
        """Count a request that did not go after all."""
        status = self.get_status(name)
        status.load.note_active(now, -1)
        status.health.note_dropped()

    def note_end(self, name: str, now: float) -> None:
        """Count a request that ended."""
        self.get_status(name).load.note_active(now, -1)

    def note_prompt(self, name: str, blocks: tuple[str, ...], n_tokens: int) -> None:
        """Count a prompt that a target is about to read."""
        self._prefixes.add(name, blocks)
        self.get_status(name).load.pending_prompt += n_tokens

    def note_prompt_read(self, name: str, n_tokens: int) -> None:
        """Count a prompt that a target has read or will not read."""
        self.get_status(name).load.pending_prompt -= n_tokens

    def note_event(self, name: str, event: CacheEvent) -> None:
        """Take a target's late word on one block."""
        if event.kind == "stored":
            self._prefixes.add(name, (event.block,))
        else:
            self._prefixes.remove(name, event.block)

    def _list_candidates(self, job: Job, excluded: frozenset[str]) -> list[Candidate]:
        targets = self._blackboard.configuration.targets
        return [
            candidate
            for candidate in list_candidates(targets, job.model)
            if candidate.name not in excluded
            and (not job.urls or candidate.config.url in job.urls)
        ]

    def _list_probes(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the targets to probe early, when every target is ejected.

        Pausing helps only while another target takes the work. With none left,
        each request would be refused although a target may be well again.
        """
        healths = [(item, self.get_status(item.name).health) for item in candidates]
        if any(health.ejected_until is None for _, health in healths):
            return []
        return [item for item, health in healths if not health.probing]

    def _describe(
        self, candidate: Candidate, job: Job, blocks: tuple[str, ...], now: float
    ) -> Option:
        load = self.get_status(candidate.name).load
        n_cached = self._prefixes.count_cached(candidate.name, blocks) * BLOCK_TOKENS
        n_prompt = job.n_prompt // BYTES_PER_TOKEN
        return Option(
            candidate=candidate,
            load=load.estimate(now),
            reported=load.reported,
            n_new_tokens=max(0, n_prompt - n_cached),
            n_cached_tokens=n_cached,
            pending_prompt=load.pending_prompt,
        )

    def _refuse(
        self, candidates: list[Candidate], now: float, *, retry: bool
    ) -> Refusal:
        healths = [self.get_status(item.name).health for item in candidates]
        # A target that only said "full" will have room again in a moment.
        if not retry and any(health.ejected_until is None for health in healths):
            return Refusal(reason=Reason.OVERLOADED)
        waits = [health.count_wait(now) for health in healths]
        return Refusal(
            reason=Reason.NO_TARGET,
            retry_after_s=max(RETRY_AFTER_S, min(waits, default=0.0)),
        )
