"""Choose a target for a request by a routing policy; pure."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from trefoilstage.configuration.schema import TargetConfig, TargetState

# The affinity policy compares up to this many cached and this many random targets.
N_CANDIDATES_PER_GROUP = 2
# Delay of a request at a fully loaded target, in prompt tokens that could be processed
# in the same time. It weighs load against the length of the cached prefix.
FULL_LOAD_COST_TOKENS = 8_000
# A cached prefix is ignored at a target loaded above this multiple of the mean load.
MAX_LOAD_TO_MEAN_RATIO = 1.25


class RoutingPolicy(StrEnum):
    """List the routing policies; all but the first are baselines for comparison."""

    AFFINITY = "affinity"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED_LOAD = "least-reported-load"


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Pair a target's name with its configuration."""

    name: str
    config: TargetConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class ScoredCandidate:
    """Describe a candidate for one request: its load and the prompt work expected."""

    candidate: Candidate
    n_running: int
    n_reported: int
    n_new_tokens: int
    n_cached_tokens: int
    n_pending_tokens: int

    @property
    def load_share(self) -> float:
        """Return the estimated load as a share of the target's `max_concurrent`."""
        return self.n_running / self.candidate.config.max_concurrent

    @property
    def cost_tokens(self) -> float:
        """Return the expected delay until the first output token, in prompt tokens."""
        return (
            self.n_pending_tokens
            + self.n_new_tokens
            + FULL_LOAD_COST_TOKENS * self.load_share
        )


def list_candidates(targets: Mapping[str, TargetConfig], model: str) -> list[Candidate]:
    """Return the targets that may receive new requests for a model, sorted by name."""
    return [
        Candidate(name=name, config=config)
        for name, config in sorted(targets.items())
        if config.model == model and config.state is TargetState.SERVING
    ]


def select_candidate(
    candidates: Sequence[ScoredCandidate],
    policy: RoutingPolicy,
    n_choices: int,
    generator: random.Random,
) -> ScoredCandidate:
    """Return the candidate that a policy selects.

    Round robin selects by `n_choices`, the number of choices made so far.
    """
    if policy is RoutingPolicy.ROUND_ROBIN:
        return candidates[n_choices % len(candidates)]
    if policy is RoutingPolicy.LEAST_REPORTED_LOAD:
        lowest = min(item.n_reported for item in candidates)
        return generator.choice(
            [item for item in candidates if item.n_reported == lowest]
        )
    return select_by_affinity(candidates, generator)


def select_by_affinity(
    candidates: Sequence[ScoredCandidate], generator: random.Random
) -> ScoredCandidate:
    """Return the cheapest of the targets with the longest prefix and a random sample.

    A target far above the mean load is not preferred for its cached prefix. Otherwise
    all requests with a popular prefix would go to one target while others are idle.
    """
    mean_share = sum(item.load_share for item in candidates) / len(candidates)
    max_share = MAX_LOAD_TO_MEAN_RATIO * mean_share + 1 / max(
        item.candidate.config.max_concurrent for item in candidates
    )
    cached = [
        item
        for item in candidates
        if item.n_cached_tokens and item.load_share <= max_share
    ]
    cached.sort(key=lambda item: (-item.n_cached_tokens, item.cost_tokens))
    sampled = generator.sample(candidates, min(N_CANDIDATES_PER_GROUP, len(candidates)))
    return min(
        [*cached[:N_CANDIDATES_PER_GROUP], *sampled],
        key=lambda item: item.cost_tokens,
    )
