"""Choose a target for a request; pure.

Load: prompts share long parts. A target that still has a part in memory need not
read it again, and reading 5,000 tokens takes a target 80 ms, in which the other
prompts there wait. So all hosts send prompts with the same part to the same target,
its home, while the request is expected to get its first token in time there.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.util.hashing import rank_by_rendezvous

# Prompt tokens that an engine reads in a second; two sites' engines read 62,000
# and 66,000. Only the order of targets and the use of the home rest on it.
PROMPT_TOKENS_PER_S = 60_000.0
# Each request under way makes the tokens of the others slower: with 64 at once a
# step takes 1.5 times as long as alone.
SECONDS_PER_REQUEST = 0.002
# The home is left when it would use up more than this share of the objective. The
# rest is for what is not known here: the other hosts' newest requests, the network.
OBJECTIVE_SHARE = 0.5
# A subject that is too much for its home goes on to the same next targets from every
# host. Sent to whichever was the soonest, a third of all dossiers being about one
# event was read again at all nine targets.
N_HOMES = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """Hold what is under way at a target, from all hosts as far as known."""

    n_requests: int = 0
    prompt_tokens: int = 0  # sent and without a first token yet


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptNeed:
    """Hold what a placement has to know of a prompt."""

    subject: str  # the last part that other requests share
    n_shared_tokens: int  # up to the end of that part
    n_tokens: int
    objective_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """Pair a target with the work under way there."""

    target: TargetEntry
    work: Work


def find_subject(prompt: Sequence[PromptPart]) -> tuple[str, int]:
    """Return the last part that requests share, and the tokens up to its end.

    The last part of a prompt belongs to the request or its session.
    """
    shared = prompt[:-1] or prompt
    if not shared:
        return "", 0
    return shared[-1].name, sum(part.n_tokens for part in shared)


def estimate_first_token(work: Work, n_unread_tokens: int) -> float:
    """Return the seconds until a target has read what waits and this prompt."""
    n_tokens = work.prompt_tokens + n_unread_tokens
    return n_tokens / PROMPT_TOKENS_PER_S + SECONDS_PER_REQUEST * work.n_requests


def choose_by_prompt(options: Sequence[Option], need: PromptNeed) -> TargetEntry:
    """Return the target that keeps a prompt's subject, or the soonest if it is late."""
    by_name = {option.target.name: option for option in options}
    ranked = [by_name[name] for name in rank_by_rendezvous(need.subject, by_name)]
    n_own_tokens = need.n_tokens - need.n_shared_tokens
    limit_s = max(
        OBJECTIVE_SHARE * need.objective_s, n_own_tokens / PROMPT_TOKENS_PER_S
    )

    def estimate(option: Option) -> float:
        n_unread = n_own_tokens if option is ranked[0] else need.n_tokens
        return estimate_first_token(option.work, n_unread)

    for option in ranked[:N_HOMES]:
        if estimate(option) <= limit_s:
            return option.target
    return min(ranked, key=estimate).target


def choose_by_load(
    options: Sequence[Option], data_center: str, request: str
) -> TargetEntry:
    """Return the target with the fewest requests, a near one among equals."""
    order = rank_by_rendezvous(request, [option.target.name for option in options])
    position = {name: number for number, name in enumerate(order)}

    def weigh(option: Option) -> tuple[int, bool, int]:
        far = option.target.data_center != data_center
        return option.work.n_requests, far, position[option.target.name]

    return min(options, key=weigh).target
