"""Derive the routes and the demand of a day from its kinds of requests."""

from bench.emulator.scenario import Kind
from bench.emulator.targets import ASSISTANT, BOOKING
from trefoilstage.components.forwarding.models import Route, RouteKind, ServiceShare


def make_route(kind: Kind) -> Route:
    """Return the route of a kind of request."""
    has_prompt = kind.kind is RouteKind.STREAM
    return Route(
        name=kind.name,
        host="club.example",
        path_prefix=f"/{kind.name}/",
        kind=kind.kind,
        shares=(ServiceShare(service=ASSISTANT if has_prompt else BOOKING, weight=1),),
        timeout_s=kind.deadline_s,
        objective_s=kind.objective_s,
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        public=False,
        resumable=kind.resumable,
        gap_objective_s=kind.gap_objective_s,
        silence_limit_s=max(2.0, 4 * kind.objective_s, 8 * kind.gap_objective_s),
    )


def compute_mean_tokens(kind: Kind) -> float:
    """Return the mean number of tokens that a request of a kind spends."""
    shared = sum(part.tokens for part in kind.shared)
    return shared + kind.own_tokens + kind.output_tokens
