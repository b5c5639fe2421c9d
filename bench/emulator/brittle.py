"""Emulate targets that fall over when they have to turn too many requests away."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench.emulator.limits import ANSWER_HEAD
from trefoilstage.components.forwarding.answers import NotRun

# From then on, brittle targets let fewer requests wait.
LEARNING_S = 3.0
N_WAITING = 2
WINDOW_S = 1.0


@dataclass(kw_only=True, slots=True)
class Brittleness:
    """Describe how many requests a target may turn away in a second, and its falls."""

    max_refusals: int | None = None
    binds_at: float = 0.0
    refused_at: deque[float] = field(default_factory=deque)
    n_falls: int = 0
    fall: Callable[[], None] = lambda: None

    def begin(self, max_refusals: int, fall: Callable[[], None]) -> None:
        """Say in all answers that the target is brittle, from now on."""
        self.max_refusals = max_refusals
        self.binds_at = asyncio.get_running_loop().time() + LEARNING_S
        self.fall = fall

    def end(self) -> None:
        """Be sound again."""
        self.max_refusals = None

    def refuse(self, n_requests: int, slots: int) -> NotRun | None:
        """Return the refusal of a request for want of room, None if there is room."""
        now = asyncio.get_running_loop().time()
        is_full = n_requests >= slots + N_WAITING
        if self.max_refusals is None or now < self.binds_at or not is_full:
            return None
        self.refused_at.append(now)
        while now - self.refused_at[0] > WINDOW_S:
            self.refused_at.popleft()
        if len(self.refused_at) > self.max_refusals:
            self.refused_at.clear()
            self.n_falls += 1
            self.fall()
        head = replace(
            ANSWER_HEAD,
            status=503,
            not_run=True,
            has_seal=False,
            max_refusals_per_s=self.max_refusals,
        )
        return NotRun(reason="status 503", head=head, busy=True)
