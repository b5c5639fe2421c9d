"""Describe what requests take of a target; pure.

The codec of all hosts imports this module, so it imports nothing else of the queue.
"""

from dataclasses import dataclass

from trefoilstage.helpers.field_types import Count


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceUse:
    """Describe what requests take of a target: slots, and prompt and output tokens."""

    n_requests: Count = 0
    kv_tokens: Count = 0


NO_USE = PlaceUse()


def add_use(one: PlaceUse, other: PlaceUse) -> PlaceUse:
    """Return the sum of two uses."""
    return PlaceUse(
        n_requests=one.n_requests + other.n_requests,
        kv_tokens=one.kv_tokens + other.kv_tokens,
    )


def subtract_use(one: PlaceUse, other: PlaceUse) -> PlaceUse:
    """Return what one use exceeds another by, 0 where it does not."""
    return PlaceUse(
        n_requests=max(0, one.n_requests - other.n_requests),
        kv_tokens=max(0, one.kv_tokens - other.kv_tokens),
    )
