"""Emulate a model engine that batches continuously and keeps prompts in memory."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import PromptPart

MS = 0.001


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpeed:
    """Describe how fast an engine is."""

    step_ms: float = 3.7
    step_ms_per_request: float = 0.02
    prompt_tokens_per_ms: float = 64.0
    pairs_ms_per_million: float = 0.37  # attention over what was read before
    chunk_tokens: int = 2_048
    slots: int = 64
    kv_tokens: int = 435_000
    tokens_per_event: int = 5


@dataclass(kw_only=True, slots=True)
class Generation:
    """Hold one request at an engine."""

    request: str
    prompt: Sequence[PromptPart]
    n_output: int
    urgency: int
    begun: bool = False  # to read the prompt
    n_read: int = 0  # prompt tokens in memory
    n_made: int = 0  # output tokens
    events: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)

    @property
    def n_prompt(self) -> int:
        """Return the tokens of the prompt."""
        return sum(part.n_tokens for part in self.prompt)

    @property
    def n_kv(self) -> int:
        """Return the tokens that the request holds in memory."""
        return self.n_read + self.n_made


@dataclass(kw_only=True, slots=True)
class EngineTotals:
    """Count what an engine did; read after a run."""

    read: int = 0
    read_again: int = 0
    found: int = 0
    preempted: int = 0


class EmulatedEngine:
    """Run requests step by step; a crash ends all of them and forgets everything."""

    def __init__(self, *, name: str, speed: EngineSpeed, slowness: float) -> None:
        self.name = name
        self.speed = speed
        self._slowness = slowness
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._seen: set[str] = set()
        self._work = asyncio.Event()
        self.totals = EngineTotals()
        self.down = False
        self.started_ms = 1
        self._task = asyncio.create_task(self._run())

    def admit(self, generation: Generation) -> None:
        """Queue a request by urgency, then by arrival."""
        self._waiting.append(generation)
        self._waiting.sort(key=lambda item: item.urgency)
        self._work.set()

    def drop(self, generation: Generation) -> None:
        """End a request whose host has closed its connection."""
        for queue in (self._waiting, self._running):
            if generation in queue:
                queue.remove(generation)

    def crash(self) -> None:
        """Lose all requests and all memory."""
        self.down = True
        for generation in [*self._running, *self._waiting]:
            generation.events.put_nowait(None)
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()

    def restart(self) -> None:
        """Start again under the same name."""
        self.down = False
        self.started_ms += 1

    async def _run(self) -> None:
        while True:
            if not self._waiting and not self._running:
                self._work.clear()
                await self._work.wait()
            self._start_waiting()
            seconds = self._plan_step()
            running = list(self._running)
            await asyncio.sleep(seconds)
            self._end_step([item for item in running if item in self._running])

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.speed.slots:
            generation = self._waiting[0]
            if self._running and self._count_kv() + generation.n_prompt > (
                self.speed.kv_tokens
            ):
                return
            self._waiting.pop(0)
            generation.begun = False
            self._running.append(generation)

    def _count_kv(self) -> int:
        return sum(item.n_kv for item in self._running)

    def _find_kept(self, generation: Generation) -> int:
        n_kept = 0
        for part in generation.prompt:
            if part.name not in self._cache:
                break
            self._cache.move_to_end(part.name)
            n_kept += part.n_tokens
        self.totals.found += n_kept
        # The last token is always read, for it brings the first one of the answer.
        return min(n_kept, generation.n_prompt - 1)

    def _plan_step(self) -> float:
        """Read the next chunk of prompts; return the seconds that the step takes."""
        left = self.speed.chunk_tokens
        pairs = 0
        for generation in self._running:
            if left <= 0:
                break
            if not generation.begun:
                # What an earlier prompt has read by now is found.
                generation.begun = True
                generation.n_read = self._find_kept(generation)
            n_tokens = min(left, generation.n_prompt - generation.n_read)
            if n_tokens <= 0:
                continue
            pairs += n_tokens * (generation.n_read + n_tokens // 2)
            generation.n_read += n_tokens
            left -= n_tokens
            if generation.n_read == generation.n_prompt:
                self._keep(generation)
        n_read = self.speed.chunk_tokens - left
        self.totals.read += n_read
        ms = self.speed.step_ms + self.speed.step_ms_per_request * len(self._running)
        ms += n_read / self.speed.prompt_tokens_per_ms
        ms += self.speed.pairs_ms_per_million * pairs / 1e6
        return ms * MS * self._slowness

    def _end_step(self, running: list[Generation]) -> None:
        for generation in running:
            if generation.n_read < generation.n_prompt:
                continue
            generation.n_made += 1
            is_last = generation.n_made >= generation.n_output
            if is_last or generation.n_made % self.speed.tokens_per_event == 1:
                generation.events.put_nowait(generation.n_made)
            if is_last:
                self._running.remove(generation)
        self._make_room()

    def _keep(self, generation: Generation) -> None:
        for part in generation.prompt:
            if part.name in self._seen and part.name not in self._cache:
                self.totals.read_again += part.n_tokens
            self._seen.add(part.name)
            self._cache[part.name] = part.n_tokens
            self._cache.move_to_end(part.name)

    def _make_room(self) -> None:
        """Drop the least recently used parts, then the newest request."""
        room = self.speed.kv_tokens - self._count_kv()
        kept = sum(self._cache.values())
        while self._cache and kept > room:
            _, n_tokens = self._cache.popitem(last=False)
            kept -= n_tokens
        while self._count_kv() > self.speed.kv_tokens and len(self._running) > 1:
            newest = max(self._running, key=lambda item: item.urgency)
            self._running.remove(newest)
            newest.n_read = 0
            self._waiting.insert(0, newest)
            self.totals.preempted += 1


def pick_slowness(generator: random.Random) -> float:
    """Return how many times as long as the fastest a target takes."""
    return generator.choice([1.0, 1.0, 1.3])
