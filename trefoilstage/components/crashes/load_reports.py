"""Collect how many requests of all hosts targets had under way when they stopped."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.evidence_log import log_changes, log_load
from trefoilstage.components.crashes.models import Crash, TargetLoad
from trefoilstage.components.crashes.target_loads import SETTLE_S

# Hosts still report their requests at a target that crashed within this time.
RECENT_MS = 1_000


class LoadReports:
    """Wait for all hosts' reports of a crash before it counts against a request."""

    def __init__(
        self,
        *,
        evidence: CrashEvidence,
        start: Callable[[Coroutine[None, None, None]], object],
    ) -> None:
        self._evidence = evidence
        self._start = start  # starts a task

    def add(self, loads: Iterable[TargetLoad]) -> None:
        """Add what a host knows of targets that stopped."""
        previous = self._evidence.causes
        for load in loads:
            self._evidence.add_load(load)
        log_changes(previous, self._evidence, "overloaded")

    def wait_for_others(self, crash: Crash, now_ms: int) -> None:
        """Keep a crash that has just happened from counting until others reported."""
        if crash.load is None or abs(now_ms - crash.at_ms) >= RECENT_MS:
            return
        if self._evidence.loads.open(crash.target):
            self._start(self._close(crash.target))

    async def _close(self, target: str) -> None:
        await asyncio.sleep(SETTLE_S)
        previous = self._evidence.causes
        self._evidence.close_loads(target)
        log_load(target, self._evidence)
        log_changes(previous, self._evidence, "crashed")
