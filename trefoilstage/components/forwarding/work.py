"""Represent the requests and prompt tokens in progress at a target; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from trefoilstage.helpers.field_types import Count


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Describe the load that one or several hosts put on a target."""

    n_requests: Count = 0
    prompt_tokens: Count = 0  # uncached, prefill not finished yet
    held_tokens: Count = 0  # in the KV cache, by prompts of running requests


def sum_work(items: Iterable[Work]) -> Work:
    """Return the sum of several hosts' work."""
    listed = list(items)
    return Work(
        n_requests=sum(item.n_requests for item in listed),
        prompt_tokens=sum(item.prompt_tokens for item in listed),
        held_tokens=sum(item.held_tokens for item in listed),
    )
