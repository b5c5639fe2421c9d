"""Collect how many requests of all hosts targets had under way when they stopped."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

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
        evidence: CrashEvidence,
        start: Callable[[Coroutine[None, None, None]], object],
        write: Callable[[Iterable[Crash]], object],
        is_writer: Callable[[str], bool],
    ) -> None:
        self._evidence = evidence
        self._start = start  # starts a task
        self._write = write  # writes crashes to the store
        self._is_writer = is_writer  # for all hosts, of a target

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
        if self._is_writer(target):
            # Each record has the load that one host knows. A host that starts later
            # would take the crash for that of an idle target.
            self._write(self._list_overloaded(target))

    def _list_overloaded(self, target: str) -> list[Crash]:
        load = self._evidence.loads.sum_loads(target)
        crashes = self._evidence.list_all() if load else []
        return [replace(item, load=load) for item in crashes if item.target == target]
