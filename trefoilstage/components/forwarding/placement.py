"""Choose a target for a request; pure.

Load: prompts share long parts, and a target that still has a part in memory need
not read it again (5,000 tokens are 80 ms of a target's time, during which every
other request there waits). All hosts must therefore send the same part to the same
target without asking each other.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.util.hashing import rank_by_rendezvous

# The first choice is left for the second when it has this much more work from
# this host: what reading the shared part again would cost.
MIN_SPILL_TOKENS = 6_000
# A request under way delays a new one about as much as reading this many tokens.
REQUEST_TOKENS = 600


@dataclass(kw_only=True, slots=True)
class SentWork:
    """Hold what this host has under way at a target."""

    n_requests: int = 0
    prompt_tokens: int = 0  # sent and not answered yet

    @property
    def cost(self) -> int:
        """Return the work in tokens to read."""
        return self.prompt_tokens + REQUEST_TOKENS * self.n_requests


@dataclass(kw_only=True, slots=True)
class Ranking:
    """Order the targets for a request, the best first."""

    work: Mapping[str, SentWork] = field(default_factory=dict)

    def get_cost(self, target: TargetEntry) -> int:
        """Return the work of this host at a target."""
        work = self.work.get(target.name)
        return work.cost if work else 0

    def choose_by_prompt(
        self, targets: Sequence[TargetEntry], subject: str, n_shared_tokens: int
    ) -> TargetEntry:
        """Return the target that keeps a subject, or the next if that is busy."""
        by_name = {target.name: target for target in targets}
        ranked = [by_name[name] for name in rank_by_rendezvous(subject, by_name)]
        spill = max(MIN_SPILL_TOKENS, n_shared_tokens)
        best = ranked[0]
        for other in ranked[1:3]:
            if self.get_cost(best) > self.get_cost(other) + spill:
                best = other
        return best

    def choose_by_load(
        self, targets: Sequence[TargetEntry], data_center: str, request: str
    ) -> TargetEntry:
        """Return the target with the least work of this host, a near one if equal."""
        order = rank_by_rendezvous(request, [target.name for target in targets])
        position = {name: number for number, name in enumerate(order)}

        def weigh(target: TargetEntry) -> tuple[float, bool, int]:
            work = self.work.get(target.name)
            n_requests = work.n_requests if work else 0
            far = target.data_center != data_center
            return n_requests, far, position[target.name]

        return min(targets, key=weigh)


def find_subject(prompt: Sequence[PromptPart]) -> tuple[str, int]:
    """Return the last part that requests share, and the tokens up to its end.

    The last part of a prompt belongs to the request or its session.
    """
    if not prompt:
        return "", 0
    shared = prompt[:-1] or prompt
    return shared[-1].name, sum(part.n_tokens for part in shared)
