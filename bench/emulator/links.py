"""Emulate hosts that lose their links to all targets."""

import asyncio
from dataclasses import dataclass, field

from standins.proxy import CutMode
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
)
from trefoilstage.components.forwarding.connections import MAX_UNACKNOWLEDGED_MS
from trefoilstage.components.forwarding.sender import CONNECT_TIMEOUT_S

ONE_WAY_S = 0.0007
# Idle connections are lost this long after a cut; until then requests use them.
KEPT_S = 1.0
DEAD_PATH_S = MAX_UNACKNOWLEDGED_MS / 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """Describe a cut of one host from all targets."""

    mode: CutMode
    since: float
    targets: str  # the beginning of the names of the targets that are cut off


@dataclass(kw_only=True, slots=True)
class TargetLinks:
    """Store which hosts are cut from which targets, and since when."""

    cuts: dict[str, Cut] = field(default_factory=dict)

    def cut(self, host: str, mode: CutMode, targets: str) -> None:
        """Cut a host from all targets whose names begin so."""
        now = asyncio.get_running_loop().time()
        self.cuts[host] = Cut(mode=mode, since=now, targets=targets)

    def _find(self, host: str, target: str) -> Cut | None:
        cut = self.cuts.get(host)
        return cut if cut is not None and target.startswith(cut.targets) else None

    def heal(self, host: str) -> None:
        """End the cut of a host."""
        self.cuts.pop(host, None)

    async def send(self, host: str, target: str) -> NotRun | InvalidAnswer | None:
        """Return how a send of a cut host fails, None if the host is not cut."""
        await asyncio.sleep(ONE_WAY_S)
        cut = self._find(host, target)
        if cut is None:
            return None
        uses_kept = asyncio.get_running_loop().time() - cut.since < KEPT_S
        if cut.mode is CutMode.HANG:
            await asyncio.sleep(DEAD_PATH_S if uses_kept else CONNECT_TIMEOUT_S)
        if uses_kept and cut.mode is not CutMode.REFUSE:
            return InvalidAnswer(reason="ClientOSError")
        timed_out = cut.mode is CutMode.HANG
        return NotRun(reason="cut", unreachable=True, timed_out=timed_out)

    async def receive(self, host: str, target: str) -> None:
        """Wait for data to reach a host; raise AnswerBrokenError if it is lost."""
        cut = self._find(host, target)
        if cut is None or cut.mode is CutMode.REFUSE:
            return
        if cut.mode is CutMode.HANG:
            await asyncio.sleep(DEAD_PATH_S)
            if self._find(host, target) is None:
                return
        raise AnswerBrokenError("cut")

    async def probe(self, host: str, target: str) -> ProbeResult | None:
        """Return how a probe by a cut host ends, None if the host is not cut."""
        await asyncio.sleep(ONE_WAY_S)
        cut = self._find(host, target)
        if cut is None:
            return None
        if cut.mode is CutMode.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return ProbeResult.SILENT
        return ProbeResult.REFUSED
