"""Send requests of emulated hosts to emulated targets."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, cast

from bench.emulator.engine import EmulatedEngine, Generation
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.sender import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    TargetSender,
)
from trefoilstage.components.forwarding.translator import AnswerHead, ForwardOptions

ONE_WAY_S = 0.0007
HEAD = AnswerHead(
    status=200,
    not_run=False,
    misdirected=False,
    has_seal=True,
    matches_request=True,
    has_request_id=True,
    is_encoded=False,
    closing=False,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class EmulatedAnswer(OpenAnswer):
    """Hold an answer that an emulated engine makes."""

    engine: EmulatedEngine
    generation: Generation
    first: int

    async def read(self) -> AsyncIterator[bytes]:
        """Yield events as they are made, or raise AnswerBrokenError."""
        made: int | None = self.first
        number = 0
        while made is not None:
            number += 1
            yield f"id: {number}\ndata: x\n\n".encode()
            if made >= self.generation.n_output:
                return
            made = await self.generation.events.get()
        raise AnswerBrokenError("the engine crashed")

    def close(self) -> None:
        """End the request at the engine, unless it is complete."""
        self.engine.drop(self.generation)


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeAnswer(OpenAnswer):
    """Hold the answer of an emulated plain service."""

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield b"done"

    def close(self) -> None:
        """Do nothing; the answer is complete."""


class EmulatedService:
    """Serve plain calls with a few slots and a queue."""

    def __init__(
        self, *, name: str, slots: int, work_s: float, generator: random.Random
    ) -> None:
        self.name = name
        self.down = False
        self.started_ms = 1
        self._work_s = work_s
        self._generator = generator
        self._slots = asyncio.Semaphore(slots)

    async def serve(self) -> None:
        """Take the time of one call."""
        async with self._slots:
            await asyncio.sleep(self._generator.gammavariate(4.0, self._work_s / 4.0))


class EmulatedProbe:
    """Open connections to emulated targets."""

    def __init__(
        self, *, find_target: Callable[[str], EmulatedEngine | EmulatedService | None]
    ) -> None:
        self._find_target = find_target

    async def connect(self, address: str) -> ProbeResult:
        """Tell whether the target of an address runs."""
        await asyncio.sleep(ONE_WAY_S)
        found = self._find_target(address)
        runs = found is not None and not found.down
        return ProbeResult.ACCEPTED if runs else ProbeResult.REFUSED


class EmulatedSender(TargetSender):
    """Bring requests to emulated targets."""

    def __init__(
        self,
        *,
        find_target: Callable[[str], EmulatedEngine | EmulatedService | None],
        pick_output: Callable[[CallerRequest], int],
        note_start: Callable[[CallerRequest, EmulatedEngine], None],
    ) -> None:
        self._find_target = find_target
        self._pick_output = pick_output
        self._note_start = note_start

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> OpenAnswer | NotRun | InvalidAnswer:
        """Return a target's answer, or whether it can have run the request."""
        found = self._find_target(target.name)
        await asyncio.sleep(ONE_WAY_S)
        if found is None or found.down or found.started_ms != target.started_ms:
            return NotRun(reason="refused")
        if isinstance(found, EmulatedEngine):
            return await self._generate(found, request, options)
        await found.serve()
        if found.down:
            return InvalidAnswer(reason="reset")
        return WholeAnswer(head=HEAD, headers=[], response=cast(Any, None))

    async def _generate(
        self, engine: EmulatedEngine, request: CallerRequest, options: ForwardOptions
    ) -> OpenAnswer | InvalidAnswer:
        generation = Generation(
            request=request.request_id,
            prompt=request.prompt,
            n_output=self._pick_output(request),
            urgency=5 if options.urgency is None else options.urgency,
        )
        engine.admit(generation)
        try:
            first = await generation.events.get()
        except asyncio.CancelledError:
            engine.drop(generation)
            raise
        if first is None:
            return InvalidAnswer(reason="reset")
        self._note_start(request, engine)
        await asyncio.sleep(ONE_WAY_S)
        return EmulatedAnswer(
            head=HEAD,
            headers=[],
            response=cast(Any, None),
            engine=engine,
            generation=generation,
            first=first,
        )
