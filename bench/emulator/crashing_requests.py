"""Send requests that crash the engines that run them."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from bench.emulator.callers import Caller, RequestSampler
from bench.emulator.engine import EmulatedEngine
from bench.emulator.scenario import Fault, Kind, PartPosition
from trefoilstage.components.forwarding.models import CallerRequest, PromptPart

# A crashing request ends its engine this long after its first token.
CRASH_AFTER_S = 0.08
CRASH_RESTART_S = 3.0
CRASHING_PART_TOKENS = 200

MakeCaller = Callable[[Kind, CallerRequest], Caller]
StartTask = Callable[[Coroutine[Any, Any, None]], None]


@dataclass(kw_only=True, slots=True)
class CrashTimes:
    """List when requests with a crashing part arrived at engines and crashed them."""

    arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)


class CrashingRequests:
    """Repeat requests that crash engines, and crash the engines that start them."""

    def __init__(
        self,
        *,
        kinds: Sequence[Kind],
        sampler: RequestSampler,
        generator: random.Random,
        make_caller: MakeCaller,
        start_task: StartTask,
    ) -> None:
        self._kinds = kinds
        self._sampler = sampler
        self._generator = generator
        self._make_caller = make_caller
        self._start_task = start_task
        self._request: CallerRequest | None = None
        self._keeps_port = False
        self.n_crashes = 0
        self.times_by_part: dict[str, CrashTimes] = {}

    async def repeat_request(self, fault: Fault) -> None:
        """Send the same request repeatedly, each time from a new caller."""
        kind = next(kind for kind in self._kinds if kind.own_tokens)
        request = self._request = self._sampler.sample_request(kind)
        await self._repeat(kind, fault, lambda: request)

    async def repeat_part(self, fault: Fault) -> None:
        """Send different requests that share a crashing part of their prompts."""
        kind = next(kind for kind in self._kinds if len(kind.shared) > 1)
        part = PromptPart(
            name=f"crashing-{len(self.times_by_part)}", n_tokens=CRASHING_PART_TOKENS
        )
        self.times_by_part[part.name] = CrashTimes()
        self._keeps_port = fault.keeps_port
        position = 0 if fault.position is PartPosition.FIRST else 1

        def make_request() -> CallerRequest:
            request = self._sampler.sample_request(kind)
            prompt = list(request.prompt)
            prompt.insert(position, part)
            return replace(request, prompt=tuple(prompt))

        await self._repeat(kind, fault, make_request)

    async def _repeat(
        self, kind: Kind, fault: Fault, make_request: Callable[[], CallerRequest]
    ) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + fault.for_s
        while loop.time() < ends_at:
            caller = self._make_caller(kind, make_request())
            self._start_task(self._send_uncounted(caller))
            await asyncio.sleep(1 / fault.factor)

    async def _send_uncounted(self, caller: Caller) -> None:
        # The outcome is not counted.
        await caller.run()

    def record_arrival(self, request: CallerRequest) -> None:
        """Record that a request reached an engine."""
        now = asyncio.get_running_loop().time()
        for times in self._list_times(request):
            times.arrivals.append(now)

    def crash_if_crashing(self, request: CallerRequest, engine: EmulatedEngine) -> None:
        """Crash an engine soon if a crashing request begins to run there."""
        if request is self._request or self._list_times(request):
            self._start_task(self._crash(request, engine))

    def _list_times(self, request: CallerRequest) -> list[CrashTimes]:
        found = (self.times_by_part.get(part.name) for part in request.prompt[:-1])
        return [times for times in found if times is not None]

    async def _crash(self, request: CallerRequest, engine: EmulatedEngine) -> None:
        await asyncio.sleep(CRASH_AFTER_S)
        if engine.is_down:
            return
        self.n_crashes += 1
        for times in self._list_times(request):
            times.crashes.append(asyncio.get_running_loop().time())
        engine.crash(keeps_port=self._keeps_port)
        await asyncio.sleep(CRASH_RESTART_S)
        engine.restart()
