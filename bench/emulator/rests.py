"""Emulate a target that turns requests away and asks each host for rest."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

from bench.emulator.limits import ANSWER_HEAD
from trefoilstage.components.forwarding.answers import NotRun

# Requests that were under way when a target asked for rest arrive within this time.
UNDER_WAY_S = 0.5


@dataclass(kw_only=True, slots=True)
class Refusals:
    """Describe the rest that a target asks for, and the requests that disturb it."""

    rest_s: float | None = None
    rests_from: dict[str, float] = field(default_factory=dict)  # by host
    rests_until: dict[str, float] = field(default_factory=dict)
    disturbances: Counter[str] = field(default_factory=Counter)  # of the current rest
    max_disturbances: int = 0  # of any host's rest

    def begin(self, rest_s: float) -> None:
        """Turn all requests away from now on, and ask for rest."""
        self.rest_s = rest_s

    def end(self) -> None:
        """Take requests again."""
        self.rest_s = None

    def refuse(self, host: str) -> NotRun | None:
        """Return the refusal of a host's request, None if the target takes it."""
        now = asyncio.get_running_loop().time()
        if now >= self.rests_until.get(host, 0.0):
            self.disturbances[host] = 0
        elif now >= self.rests_from[host]:
            self.disturbances[host] += 1
            self.max_disturbances = max(self.max_disturbances, self.disturbances[host])
        if self.rest_s is None:
            return None
        if now >= self.rests_until.get(host, 0.0):
            self.rests_from[host] = now + UNDER_WAY_S
            self.rests_until[host] = now + self.rest_s
        head = replace(
            ANSWER_HEAD, status=503, not_run=True, has_seal=False, rest_s=self.rest_s
        )
        return NotRun(reason="status 503", head=head, busy=True)
