"""Inject the faults of an emulated day's engines and services."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any

from bench.emulator.engine import EmulatedEngine
from bench.emulator.limits import RequestLimit
from bench.emulator.rests import Refusals
from bench.emulator.scenario import Fault, FaultKind
from bench.emulator.targets import EmulatedTarget, EmulatedTargets

FALL_RESTART_S = 3.0
StartTask = Callable[[Coroutine[Any, Any, None]], None]


class TargetFaults:
    """Inject faults of targets for as long as they last."""

    def __init__(self, *, targets: EmulatedTargets, start_task: StartTask) -> None:
        self._targets = targets
        self._start_task = start_task

    async def crash_engines(self, fault: Fault) -> None:
        """Crash engines, and restart them later."""
        crashed = self._targets.sample_engines(fault.share)
        for engine in crashed:
            engine.crash()
        await asyncio.sleep(fault.for_s)
        for engine in crashed:
            engine.restart()

    async def return_changed(self, fault: Fault) -> None:
        """Crash engines, and let them return under their names with another version."""
        changed = self._targets.sample_engines(fault.share)
        for engine in changed:
            engine.crash()
        await asyncio.sleep(fault.for_s)
        for engine in changed:
            engine.restart()
            engine.keeps_address = True
            engine.version = f"{engine.version}-changed"
            await self._targets.register(engine, 0)

    async def return_cold(self, fault: Fault) -> None:
        """Crash engines, and let them return together, cold."""
        returned = self._targets.sample_engines(fault.share)
        for engine in returned:
            engine.crash()
        await asyncio.sleep(fault.for_s)
        for engine in returned:
            engine.restart()
            self._targets.turn_cold(engine)
            await self._targets.register(engine, 0)

    async def turn_engines_cold(self, fault: Fault) -> None:
        """Turn engines cold without a restart."""
        for engine in self._targets.sample_engines(fault.share):
            self._targets.turn_cold(engine)

    async def darken_engines(self, fault: Fault) -> None:
        """Let engines leave fetches from them without an answer."""
        darkened = self._targets.sample_engines(fault.share)
        for engine in darkened:
            engine.is_dark = True
        await asyncio.sleep(fault.for_s)
        for engine in darkened:
            engine.is_dark = False

    async def name_limits(self, fault: Fault) -> None:
        """Let targets name a limit on requests a second."""
        limited = self._targets.sample(fault.share)
        await self._impose([target.limit for target in limited], fault)

    async def ask_for_rest(self, fault: Fault) -> None:
        """Let targets turn requests away and ask for rest."""
        refusing = self._targets.sample(fault.share)
        await self._impose([target.refusals for target in refusing], fault)

    async def turn_brittle(self, fault: Fault) -> None:
        """Let targets fall over when they turn many requests away."""
        targets = self._targets.sample(fault.share)
        for target in targets:
            fall = partial(self._fall, target)
            target.brittleness.begin(round(fault.factor), fall)
        await asyncio.sleep(fault.for_s)
        for target in targets:
            target.brittleness.end()

    def _fall(self, target: EmulatedTarget) -> None:
        self._start_task(self._restart_after_fall(target))

    async def _restart_after_fall(self, target: EmulatedTarget) -> None:
        if isinstance(target, EmulatedEngine):
            target.crash()
        target.is_down = True
        await asyncio.sleep(FALL_RESTART_S)
        if isinstance(target, EmulatedEngine):
            target.restart()
        target.is_down = False

    async def _impose(
        self, demands: Sequence[RequestLimit | Refusals], fault: Fault
    ) -> None:
        for demand in demands:
            demand.begin(fault.factor)
        await asyncio.sleep(fault.for_s)
        for demand in demands:
            demand.end()


TARGET_FAULT_HANDLERS: dict[
    FaultKind, Callable[[TargetFaults, Fault], Coroutine[Any, Any, None]]
] = {
    FaultKind.ENGINES_CRASHED: TargetFaults.crash_engines,
    FaultKind.ENGINES_RETURN_COLD: TargetFaults.return_cold,
    FaultKind.ENGINES_RETURN_CHANGED: TargetFaults.return_changed,
    FaultKind.ENGINES_TURN_COLD: TargetFaults.turn_engines_cold,
    FaultKind.ENGINES_DARK: TargetFaults.darken_engines,
    FaultKind.TARGETS_NAME_LIMIT: TargetFaults.name_limits,
    FaultKind.TARGETS_ASK_FOR_REST: TargetFaults.ask_for_rest,
    FaultKind.TARGETS_BRITTLE: TargetFaults.turn_brittle,
}
