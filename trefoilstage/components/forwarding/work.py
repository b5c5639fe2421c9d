"""Count what is under way at a target; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from trefoilstage.helpers.fields import Count


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Hold what one host, or several, have under way at a target."""

    n_requests: Count = 0
    prompt_tokens: Count = 0  # to be read yet
    held_tokens: Count = 0  # of the prompts under way


def add_up(items: Iterable[Work]) -> Work:
    """Return the sum of several hosts' work."""
    known = list(items)
    return Work(
        n_requests=sum(item.n_requests for item in known),
        prompt_tokens=sum(item.prompt_tokens for item in known),
        held_tokens=sum(item.held_tokens for item in known),
    )
