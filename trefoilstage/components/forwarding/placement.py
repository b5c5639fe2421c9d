"""Choose a target for a request; pure.

Prompts share long parts. A target does not process a part again while the part is in
its prompt cache. Prefill (processing a prompt up to its first token) of 13,000 tokens
takes a target 0.25 s, and the other prompts at this target wait meanwhile. A prompt
therefore goes to the target with the fewest uncached tokens, unless it would be late
there and in time elsewhere.

The subject of a prompt is the last part that other requests share.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.prefill_speed import DEFAULT_TOKENS_PER_S
from trefoilstage.components.forwarding.prefix_fetch import PrefixFetch
from trefoilstage.components.forwarding.prompt_cache import USABLE_KV_CACHE_SHARE
from trefoilstage.components.forwarding.work import Work
from trefoilstage.util.hashing import rank_by_rendezvous, rank_by_rendezvous_cached

# Each running request delays the tokens of the others: with 64 concurrent requests,
# an engine step takes 1.5 times as long as with one.
DELAY_PER_REQUEST_S = 0.002
# A first token that is estimated above this share of the objective counts as late. The
# rest is a margin for what this host does not know: the newest requests of peer hosts,
# long prompts and the network.
IN_TIME_OBJECTIVE_SHARE = 0.7
# Weight of a second of prefill, in addition to the caller's own wait: prefill also
# delays the queued prompts and evicts cached parts that later requests use.
PREFILL_COST_WEIGHT = 2.0
# A large fleet first queries the state of only this many targets for a prompt; all
# prompts with the same subject have the same candidates.
N_FIRST_CANDIDATES = 3
# If a prompt would be late at all of them, the number of candidates is doubled up to
# this limit. Otherwise requests for a popular subject would wait for three targets
# while the other targets are idle.
MAX_CANDIDATES = 24


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptNeed:
    """Describe the requirements of a prompt that decide its placement."""

    subject: str  # the last part that other requests share
    n_tokens: int
    objective_s: float  # remaining time until the first token is late
    # A retry fetches nothing: it would hang if the source of the first try hangs.
    may_fetch: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CandidateInfo:
    """Describe a prompt's candidate targets as reported by peer hosts."""

    # Cached tokens of the prompt, by incarnation.
    cached_tokens: Mapping[str, int] = field(default_factory=dict)
    n_candidates: int = N_FIRST_CANDIDATES  # to choose from


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetOption:
    """Describe a target and its load as one host observes them."""

    target: TargetEntry
    work: Work
    n_cached_tokens: int = 0  # of the prompt, in the target's cache
    prefill_tokens_per_s: float = DEFAULT_TOKENS_PER_S
    kv_tokens: int | None = None  # capacity of its KV cache, None if it runs no engine
    n_recent: int = 0  # prompts sent to it in the last second
    # Requests a second that it would tolerate if it turned cold; None without a limit.
    cold_requests_per_s: float | None = None
    fetch: PrefixFetch | None = None  # of tokens that it has not cached

    def count_unprocessed(self, n_tokens: int) -> int:
        """Return the tokens that it processes for a prompt of `n_tokens`."""
        n_fetched = self.fetch.n_tokens if self.fetch else 0
        return n_tokens - self.n_cached_tokens - n_fetched

    @property
    def transfer_s(self) -> float:
        """Return the seconds until the fetched tokens have arrived."""
        return self.fetch.total_s if self.fetch else 0.0


def find_subject(prompt: Sequence[PromptPart]) -> str:
    """Return the name of the last shared part, an empty string without a prompt.

    The last part of a prompt is specific to the request or its session.
    """
    shared = prompt[:-1] or prompt
    return shared[-1].name if shared else ""


def count_tokens(prompt: Sequence[PromptPart]) -> int:
    """Return the number of tokens of a prompt."""
    return sum(part.n_tokens for part in prompt)


def estimate_first_token_s(option: TargetOption, n_uncached_tokens: int) -> float:
    """Return the seconds until a target has processed its queue and this prompt.

    This includes the transfer of tokens that it fetches.
    """
    n_tokens = option.work.prompt_tokens + n_uncached_tokens
    steps_s = DELAY_PER_REQUEST_S * option.work.n_requests
    return n_tokens / option.prefill_tokens_per_s + steps_s + option.transfer_s


def rank_candidates(targets: Sequence[TargetEntry], subject: str) -> list[TargetEntry]:
    """Return the targets ranked for a subject, in the same order on all hosts."""
    by_name = {target.name: target for target in targets}
    return [
        by_name[name] for name in rank_by_rendezvous_cached(subject, tuple(by_name))
    ]


def is_full(option: TargetOption, need: PromptNeed) -> bool:
    """Return whether a target has no slot or too little KV cache for a prompt."""
    if option.work.n_requests >= option.target.slots:
        return True
    if option.kv_tokens is None:
        return False
    free_tokens = USABLE_KV_CACHE_SHARE * option.kv_tokens - option.work.held_tokens
    return need.n_tokens > free_tokens


def exceeds_cold_rate(option: TargetOption) -> bool:
    """Return whether a target gets more than it would tolerate if it turned cold.

    Hosts learn that a target turned cold only up to a heartbeat later.
    """
    limit = option.cold_requests_per_s
    return limit is not None and option.n_recent >= limit


def is_late(option: TargetOption, need: PromptNeed) -> bool:
    """Return whether a prompt's first token would be late at a target."""
    if is_full(option, need):
        return True
    wait_s = estimate_first_token_s(option, option.count_unprocessed(need.n_tokens))
    return wait_s > IN_TIME_OBJECTIVE_SHARE * need.objective_s


def is_in_time(option: TargetOption, need: PromptNeed | None) -> bool:
    """Return whether a target is in time for a request, which may have no prompt."""
    return need is None or not is_late(option, need)


def rank_by_prompt(
    options: Iterable[TargetOption], need: PromptNeed
) -> list[TargetOption]:
    """Return the targets by their cost for a prompt, those that are in time first.

    Equal targets keep their order. A prompt whose subject no target has cached
    goes to the target with the shortest queue, which then caches the subject.
    """

    # At a full target, a prompt waits until other requests end, and evicts cached parts
    # that the next prompts share.
    # Between equals, the target that keeps the prefix itself comes first.
    def rank(option: TargetOption) -> tuple[bool, bool, bool, float, bool]:
        n_uncached = option.count_unprocessed(need.n_tokens)
        wait_s = estimate_first_token_s(option, n_uncached)
        prefill_s = n_uncached / option.prefill_tokens_per_s
        cost = wait_s + PREFILL_COST_WEIGHT * prefill_s
        return (
            is_full(option, need),
            exceeds_cold_rate(option),
            is_late(option, need),
            cost,
            option.fetch is not None,
        )

    return sorted(options, key=rank)


def rank_by_load(
    options: Sequence[TargetOption], data_center: str, request_id: str
) -> list[TargetOption]:
    """Return the targets by their number of requests, those in this data center first.

    The order of equal targets depends on the request.
    """
    order = rank_by_rendezvous(request_id, [option.target.name for option in options])
    position = {name: number for number, name in enumerate(order)}

    def rank(option: TargetOption) -> tuple[int, bool, int]:
        is_remote = option.target.data_center != data_center
        return option.work.n_requests, is_remote, position[option.target.name]

    return sorted(options, key=rank)
