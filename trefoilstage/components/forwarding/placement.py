"""Choose a target for a request; pure.

Load: prompts share long parts. A target that still has a part in memory need not
read it again, and reading 13,000 tokens takes a target 0.25 s, in which the other
prompts there wait. A prompt therefore goes where it has least to read, unless it would
be late there and in time elsewhere.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.prompt_cache import USABLE_SHARE
from trefoilstage.components.forwarding.reading_pace import FIRST_TOKENS_PER_S
from trefoilstage.components.forwarding.work import Work
from trefoilstage.util.hashing import rank_by_rendezvous, rank_names

# Each request under way makes the tokens of the others slower: with 64 at once a
# step takes 1.5 times as long as alone.
SECONDS_PER_REQUEST = 0.002
# Above this share of the objective a first token is taken to be late. The rest is for
# what is not known here: the other hosts' newest requests, long prompts, the network.
IN_TIME_SHARE = 0.7
# What a second of reading costs besides the caller's own wait: the prompts behind it
# wait as well, and what it reads takes the room of what others come back for.
READING_WEIGHT = 2.0
# In a large fleet only so many targets are asked about a prompt at first, the same for
# all prompts about one subject.
N_CANDIDATES = 3
# Where a prompt would be late at each of them, as many more are asked, and again. Else
# callers of a subject in demand would wait for three targets while the others idle.
MAX_CANDIDATES = 24


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptNeed:
    """Hold what a placement has to know of a prompt."""

    subject: str  # the last part that other requests share
    n_tokens: int
    objective_s: float  # what is left of it


@dataclass(frozen=True, kw_only=True, slots=True)
class Survey:
    """Hold what the peers said of a prompt's candidates."""

    kept: Mapping[str, int] = field(default_factory=dict)  # tokens, by incarnation
    n_candidates: int = N_CANDIDATES  # that were asked about


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """Pair a target with the work under way there."""

    target: TargetEntry
    work: Work
    n_kept_tokens: int = 0  # of the prompt, in the target's memory
    tokens_per_s: float = FIRST_TOKENS_PER_S  # that it reads
    kv_tokens: int | None = None  # of its memory, None for a target without prompts


def find_subject(prompt: Sequence[PromptPart]) -> str:
    """Return the last part that requests share, empty without a prompt.

    The last part of a prompt belongs to the request or its session.
    """
    shared = prompt[:-1] or prompt
    return shared[-1].name if shared else ""


def count_tokens(prompt: Sequence[PromptPart]) -> int:
    """Return the tokens of a prompt."""
    return sum(part.n_tokens for part in prompt)


def estimate_first_token(option: Option, n_unread_tokens: int) -> float:
    """Return the seconds until a target has read what waits and this prompt."""
    n_tokens = option.work.prompt_tokens + n_unread_tokens
    steps_s = SECONDS_PER_REQUEST * option.work.n_requests
    return n_tokens / option.tokens_per_s + steps_s


def rank_candidates(targets: Sequence[TargetEntry], subject: str) -> list[TargetEntry]:
    """Return the targets for a subject, in the same order at all hosts."""
    by_name = {target.name: target for target in targets}
    return [by_name[name] for name in rank_names(subject, tuple(by_name))]


def is_full(option: Option, need: PromptNeed) -> bool:
    """Tell whether a target has no slot or no memory for one more prompt."""
    if option.work.n_requests >= option.target.slots:
        return True
    if option.kv_tokens is None:
        return False
    room = USABLE_SHARE * option.kv_tokens - option.work.held_tokens
    return need.n_tokens > room


def is_late(option: Option, need: PromptNeed) -> bool:
    """Tell whether a prompt's first token would be late at a target."""
    if is_full(option, need):
        return True
    wait_s = estimate_first_token(option, need.n_tokens - option.n_kept_tokens)
    return wait_s > IN_TIME_SHARE * need.objective_s


def choose_by_prompt(options: Sequence[Option], need: PromptNeed) -> TargetEntry:
    """Return where a prompt costs least, in time if that can be; the first of equals.

    A subject that no target has in memory goes where least waits, and so becomes
    known there.
    """

    # At a full target a prompt waits until others end, and pushes out the parts that
    # the next ones share.
    def weigh(option: Option) -> tuple[bool, bool, float]:
        n_unread = need.n_tokens - option.n_kept_tokens
        wait_s = estimate_first_token(option, n_unread)
        reading_s = n_unread / option.tokens_per_s
        cost = wait_s + READING_WEIGHT * reading_s
        return is_full(option, need), is_late(option, need), cost

    return min(options, key=weigh).target


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
