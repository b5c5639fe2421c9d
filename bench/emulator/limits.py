"""Emulate a target in need, which names a limit on the requests that it takes."""

import asyncio
from dataclasses import dataclass, field, replace

from trefoilstage.components.forwarding.translator import AnswerHead

# Hosts may take this long to learn of a limit before it binds them.
LEARNING_S = 3.0
ANSWER_HEAD = AnswerHead(
    status=200,
    not_run=False,
    misdirected=False,
    has_seal=True,
    matches_request=True,
    has_request_id=True,
    is_encoded=False,
    closing=False,
)


@dataclass(kw_only=True, slots=True)
class RequestLimit:
    """Describe the limit that a target names, and the requests that reach it."""

    limit_per_s: float | None = None
    binds_at: float = 0.0
    arrivals: list[float] = field(default_factory=list)  # while the limit binds

    def begin(self, limit_per_s: float) -> None:
        """Name a limit in all answers from now on."""
        self.limit_per_s = limit_per_s
        self.binds_at = asyncio.get_running_loop().time() + LEARNING_S

    def end(self) -> None:
        """Name no limit any more."""
        self.limit_per_s = None

    def record_arrival(self) -> None:
        """Record a request that arrives while the limit binds."""
        now = asyncio.get_running_loop().time()
        if self.limit_per_s is not None and now >= self.binds_at:
            self.arrivals.append(now)

    def make_head(self) -> AnswerHead:
        """Return the head of a successful answer."""
        return replace(ANSWER_HEAD, limit_per_s=self.limit_per_s)
