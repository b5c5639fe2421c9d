"""Choose a target for a request; pure."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from trefoilstage.configuration.schema import TargetConfig, TargetState

N_CHOICES = 2
# What a full batch costs a request, in prompt tokens that could be read in
# the same time; it sets how much cached prefix outweighs how much load.
FULL_LOAD_TOKENS = 8_000
LOAD_BOUND = 1.25


class RoutingPolicy(StrEnum):
    """Name the ways to choose a target; all but the first are baselines."""

    AFFINITY = "affinity"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED_LOAD = "least-reported-load"


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Pair a target's name with its configuration."""

    name: str
    config: TargetConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """Hold what is known of a candidate when a request is placed."""

    candidate: Candidate
    load: int
    reported: int
    n_new_tokens: int
    n_cached_tokens: int
    pending_prompt: int

    @property
    def share(self) -> float:
        """Return the used share of the target's room."""
        return self.load / self.candidate.config.max_concurrent

    @property
    def cost(self) -> float:
        """Return the work before the first token, in prompt tokens."""
        return self.pending_prompt + self.n_new_tokens + FULL_LOAD_TOKENS * self.share


def list_candidates(targets: Mapping[str, TargetConfig], model: str) -> list[Candidate]:
    """Return the targets that may get new work for a model, by name."""
    return [
        Candidate(name=name, config=config)
        for name, config in sorted(targets.items())
        if config.model == model and config.state is TargetState.SERVING
    ]


def pick_option(
    options: Sequence[Option],
    policy: RoutingPolicy,
    number: int,
    generator: random.Random,
) -> Option:
    """Return the option that a policy prefers; `number` counts the choices."""
    if policy is RoutingPolicy.ROUND_ROBIN:
        return options[number % len(options)]
    if policy is RoutingPolicy.LEAST_REPORTED_LOAD:
        least = min(option.reported for option in options)
        return generator.choice(
            [option for option in options if option.reported == least]
        )
    return pick_by_affinity(options, generator)


def pick_by_affinity(options: Sequence[Option], generator: random.Random) -> Option:
    """Return the cheapest of the best cached ones and a few at random.

    A target far above the mean load is left out of the cached ones: a popular
    prefix would else pile up on one target while the others idle.
    """
    mean = sum(option.share for option in options) / len(options)
    bound = LOAD_BOUND * mean + 1 / max(
        option.candidate.config.max_concurrent for option in options
    )
    cached = [
        option for option in options if option.n_cached_tokens and option.share <= bound
    ]
    cached.sort(key=lambda option: (-option.n_cached_tokens, option.cost))
    drawn = generator.sample(options, min(N_CHOICES, len(options)))
    return min([*cached[:N_CHOICES], *drawn], key=lambda option: option.cost)
