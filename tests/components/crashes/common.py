"""Run a crash watcher without a network."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from trefoilstage.components.crashes.completed_runs import CRASHES_WITHIN_S, Run
from trefoilstage.components.crashes.models import (
    Crash,
    CrashRecord,
    SoundPart,
)
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.crashes.watcher import (
    MAX_SUSPECT_PROGRESS_S,
    CrashWatcher,
)

SHORT_PROGRESS_S = CRASHES_WITHIN_S / 2
MEDIUM_PROGRESS_S = MAX_SUSPECT_PROGRESS_S / 2
LONG_PROGRESS_S = 2 * MAX_SUSPECT_PROGRESS_S


@dataclass(kw_only=True)
class StubParts:
    """Replace the services that the watcher uses, and record its calls."""

    result: ProbeResult = ProbeResult.REFUSED
    probed: list[str] = field(default_factory=list)
    recorded: list[Crash] = field(default_factory=list)
    cleared: list[str] = field(default_factory=list)
    written: list[CrashRecord] = field(default_factory=list)
    deleted: list[CrashRecord] = field(default_factory=list)
    cleared_parts: list[str] = field(default_factory=list)

    async def connect(self, address: str) -> ProbeResult:
        self.probed.append(address)
        return self.result

    def register(self, *_: object) -> None: ...

    def record(self, crashes: Sequence[Crash]) -> None:
        self.recorded += crashes

    def clear(self, fingerprint: str, _: Sequence[Crash]) -> None:
        self.cleared.append(fingerprint)

    def clear_part(self, sound: SoundPart) -> None:
        self.cleared_parts.append(sound.part)

    def write(self, records: Sequence[CrashRecord]) -> None:
        self.written += records

    def delete(self, records: Sequence[CrashRecord]) -> None:
        self.deleted += records


def make_run(fingerprint: str, target: str, *parts: str) -> Run:
    """Return a run of a request, with its prompt's shared parts, at a target."""
    return Run(
        fingerprint=fingerprint, parts=parts, target=target, address=f"{target}:1"
    )


class WatcherTestCase(unittest.IsolatedAsyncioTestCase):
    """Run one host's watcher without a network."""

    async def asyncSetUp(self) -> None:
        self.parts = StubParts()
        part = cast(Any, self.parts)
        self.watcher = CrashWatcher(
            host="host-0",
            probe=part,
            recorder=part,
            server=part,
            timer=part,
            list_live_hosts=lambda: ("host-0",),
            unix_offset_s=0.0,
            generator=random.Random(1),
        )

    async def interrupt(
        self, fingerprint: str, target: str, progress_s: float, *parts: str
    ) -> None:
        self.watcher.record_interruption(
            make_run(fingerprint, target, *parts), progress_s=progress_s
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
