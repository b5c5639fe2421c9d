"""Choose a target for a request; pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from trefoilstage.blackboard import TargetStatus
from trefoilstage.configuration.schema import TargetConfig, TargetState


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """Pair a target's name with its configuration."""

    name: str
    config: TargetConfig


def list_candidates(targets: Mapping[str, TargetConfig], model: str) -> list[Candidate]:
    """Return the targets that may get new work for a model, by name."""
    return [
        Candidate(name=name, config=config)
        for name, config in sorted(targets.items())
        if config.model == model and config.state is TargetState.SERVING
    ]


def pick_target(
    candidates: Iterable[Candidate],
    statuses: Mapping[str, TargetStatus],
    excluded: frozenset[str],
) -> Candidate | None:
    """Return the candidate with the most free room, or None."""
    best: Candidate | None = None
    best_load = 1.0
    for candidate in candidates:
        if candidate.name in excluded:
            continue
        status = statuses.get(candidate.name) or TargetStatus()
        load = status.active / candidate.config.max_concurrent
        if load < best_load:
            best = candidate
            best_load = load
    return best
