"""Send requests of emulated hosts to emulated targets."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace

from bench.emulator.brittle import Brittleness
from bench.emulator.engine import EmulatedEngine, Generation
from bench.emulator.limits import RequestLimit
from bench.emulator.links import ONE_WAY_S, TargetLinks
from bench.emulator.rests import Refusals
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.sender import TargetSender
from trefoilstage.components.forwarding.translator import AnswerHead, ForwardOptions

# The kernel resets a connection that no process takes, but only after this time.
OPEN_PORT_SILENCE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineAnswer(OpenAnswer):
    """Represent the stream of an emulated engine."""

    host: str
    links: TargetLinks
    engine: EmulatedEngine
    generation: Generation
    n_first_event_tokens: int
    resume_after: int  # id of the last event that the caller has

    async def read(self) -> AsyncIterator[bytes]:
        """Yield events as they come; raise AnswerBrokenError if one is lost."""
        n_generated: int | None = self.n_first_event_tokens
        number = 0
        while n_generated is not None:
            number += 1
            await self.links.receive(self.host, self.engine.name)
            if number > self.resume_after:
                yield f"id: {number}\ndata: {self.engine.version}\n\n".encode()
            if n_generated >= self.generation.n_output_tokens:
                return
            n_generated = await self.generation.events.get()
        raise AnswerBrokenError("the engine crashed")

    def close(self) -> None:
        """Cancel the request at the engine unless it is complete."""
        self.engine.cancel(self.generation)


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer(OpenAnswer):
    """Represent the complete answer of an emulated service."""

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield b"done"

    def close(self) -> None:
        """Do nothing, because the answer is complete."""


class EmulatedService:
    """Emulate a plain HTTP service with a few slots and a queue."""

    def __init__(
        self, *, name: str, slots: int, work_s: float, generator: random.Random
    ) -> None:
        self.name = name
        self.is_down = False
        self.started_ms = 1
        self.limit = RequestLimit()
        self.refusals = Refusals()
        self.brittleness = Brittleness()
        self.slots = slots
        self.n_requests = 0
        self._work_s = work_s
        self._generator = generator
        self._slots = asyncio.Semaphore(slots)

    def answers_to(self, target: TargetEntry) -> bool:
        """Return whether an entry leads to this start of the service."""
        return self.started_ms == target.started_ms

    async def serve(self) -> None:
        """Wait for a slot and for the duration of one call."""
        self.n_requests += 1
        try:
            async with self._slots:
                await asyncio.sleep(
                    self._generator.gammavariate(4.0, self._work_s / 4.0)
                )
        finally:
            self.n_requests -= 1


def make_head(target: EmulatedEngine | EmulatedService) -> AnswerHead:
    """Return the head of a target's successful answer."""
    refusals = target.brittleness.max_refusals
    return replace(target.limit.make_head(), max_refusals_per_s=refusals)


def is_silent(target: EmulatedEngine | EmulatedService | None) -> bool:
    """Return whether a target is down, but its port still accepts connections."""
    return isinstance(target, EmulatedEngine) and target.is_down and target.keeps_port


class EmulatedProbe:
    """Probe whether emulated targets accept connections, and when they started."""

    def __init__(
        self,
        *,
        host: str,
        links: TargetLinks,
        find_target: Callable[[str], EmulatedEngine | EmulatedService | None],
    ) -> None:
        self._host = host
        self._links = links
        self._find_target = find_target

    async def connect(self, address: str) -> ProbeResult:
        """Return whether the target at an address accepts connections."""
        failed = await self._links.probe(self._host, address)
        if failed is not None:
            return failed
        found = self._find_target(address)
        is_running = found is not None and not found.is_down or is_silent(found)
        return ProbeResult.ACCEPTED if is_running else ProbeResult.REFUSED

    async def read_start(self, target: TargetEntry) -> int | None:
        """Return a target's start, None if it doesn't answer."""
        if await self._links.probe(self._host, target.name) is not None:
            return None
        found = self._find_target(target.name)
        return None if found is None or found.is_down else found.started_ms

    async def is_answering(self, target: TargetEntry) -> bool:
        """Return whether the start of a target that an entry names answers."""
        return await self.read_start(target) == target.started_ms


class EmulatedSender(TargetSender):
    """Send requests to emulated targets."""

    def __init__(
        self,
        *,
        host: str,
        links: TargetLinks,
        find_target: Callable[[str], EmulatedEngine | EmulatedService | None],
        get_n_output_tokens: Callable[[CallerRequest], int],
        on_arrival: Callable[[CallerRequest], None],
        on_start: Callable[[CallerRequest, EmulatedEngine], None],
    ) -> None:
        self._host = host
        self._links = links
        self._find_target = find_target
        self._get_n_output_tokens = get_n_output_tokens
        self._on_arrival = on_arrival
        self._on_start = on_start

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> OpenAnswer | NotRun | InvalidAnswer:
        """Return an answer, NotRun if not connected, InvalidAnswer after a crash."""
        found = self._find_target(target.name)
        failed = await self._links.send(self._host, target.name)
        if failed is not None:
            return failed
        if is_silent(found):
            await self._wait_at_open_port()
            return InvalidAnswer(reason="reset")
        if found is None or found.is_down or not found.answers_to(target):
            return NotRun(reason="refused", unreachable=True)
        found.limit.record_arrival()
        refused = found.refusals.refuse(self._host) or found.brittleness.refuse(
            found.n_requests, found.slots
        )
        if refused is not None:
            await asyncio.sleep(ONE_WAY_S)
            return refused
        if isinstance(found, EmulatedEngine):
            return await self._generate(found, request, options)
        await found.serve()
        if found.is_down:
            return InvalidAnswer(reason="reset")
        return ServiceAnswer(head=make_head(found), headers=[])

    def _find_source(self, address: str) -> EmulatedEngine | None:
        found = self._find_target(address)
        if not isinstance(found, EmulatedEngine):
            return None
        return None if found.is_down and not found.keeps_port else found

    async def _wait_at_open_port(self) -> None:
        await asyncio.sleep(OPEN_PORT_SILENCE_S)

    async def _generate(
        self, engine: EmulatedEngine, request: CallerRequest, options: ForwardOptions
    ) -> OpenAnswer | InvalidAnswer:
        generation = Generation(
            request_id=request.request_id,
            prompt=request.prompt,
            n_output_tokens=self._get_n_output_tokens(request),
            urgency=5 if options.urgency is None else options.urgency,
        )
        # Each request opens a connection, which is the hardest case to prove.
        connected_at = asyncio.get_running_loop().time()
        engine.record_arrival()
        self._on_arrival(request)
        if options.fetch_from:
            started_ms = engine.started_ms
            await engine.fetch(request.prompt, self._find_source(options.fetch_from))
            if engine.is_down or engine.started_ms != started_ms:
                return InvalidAnswer(reason="reset")
        engine.enqueue(generation)
        try:
            first = await generation.events.get()
        except asyncio.CancelledError:
            engine.cancel(generation)
            raise
        if first is None:
            return InvalidAnswer(reason="reset")
        self._on_start(request, engine)
        await asyncio.sleep(ONE_WAY_S)
        return EngineAnswer(
            head=make_head(engine),
            headers=[],
            host=self._host,
            connected_at=connected_at,
            links=self._links,
            engine=engine,
            generation=generation,
            n_first_event_tokens=first,
            resume_after=options.resume_after or int(request.last_event_id or 0),
        )
