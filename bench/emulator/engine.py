"""Emulate a model engine with continuous batching and a prefix cache."""

import asyncio
import itertools
import random
from collections import OrderedDict
from collections.abc import Container, Sequence
from dataclasses import dataclass, field

from bench.emulator.brittle import Brittleness
from bench.emulator.limits import RequestLimit
from bench.emulator.rests import Refusals
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry

S_PER_MS = 0.001
FETCH_SET_UP_S = 0.005
DARK_SOURCE_S = 3.0  # until an engine gives up a fetch from a source that is silent


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpeed:
    """Describe the speed and capacity of an engine."""

    step_ms: float = 3.7
    step_ms_per_request: float = 0.02
    prefill_tokens_per_ms: float = 64.0
    attention_ms_per_million_pairs: float = 0.37  # a new token with an earlier one
    prefill_chunk_tokens: int = 2_048
    slots: int = 64
    kv_tokens: int = 435_000
    tokens_per_event: int = 5
    # Of transfers of KV cache between engines; 0 if they can't fetch.
    kv_bytes_per_token: float = 0.0
    transfer_bytes_per_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class Generation:
    """Describe one request at an engine; a lower `urgency` starts first.

    `events` gets the number of tokens generated so far, None if the request is lost.
    """

    request_id: str
    prompt: Sequence[PromptPart]
    n_output_tokens: int
    urgency: int
    prefill_started: bool = False
    n_prefilled: int = 0  # prompt tokens in the KV cache, also those found there
    n_generated: int = 0
    events: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)

    @property
    def n_prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt."""
        return sum(part.n_tokens for part in self.prompt)

    @property
    def n_kv_tokens(self) -> int:
        """Return the number of tokens that the request occupies in the KV cache."""
        return self.n_prefilled + self.n_generated


@dataclass(kw_only=True, slots=True)
class EngineTotals:
    """Count prompt tokens and preempted requests of an engine over a run."""

    n_prefilled: int = 0
    n_prefilled_again: int = 0
    n_found_in_cache: int = 0
    n_preempted: int = 0
    n_fetched: int = 0  # tokens that came from other engines
    n_fetches: int = 0
    n_empty_fetches: int = 0  # that found nothing


class EmulatedEngine:
    """Run requests step by step; a crash ends all of them and empties the cache."""

    def __init__(
        self, *, name: str, speed: EngineSpeed, duration_factor: float
    ) -> None:
        self.name = name
        self.speed = speed
        self._duration_factor = duration_factor
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._seen_parts: set[str] = set()
        self._has_work = asyncio.Event()
        self.totals = EngineTotals()
        self.is_down = False
        self.is_dark = False  # serves requests, but no fetches
        self.is_link_free_at = 0.0  # when its last transfer ends
        self.keeps_port = False  # accepts connections while it is down
        self.started_ms = 1
        self.version = ""
        self.keeps_address = False  # over restarts, under the same name
        self.cold_until = 0.0
        self.limit = RequestLimit()
        self.refusals = Refusals()
        self.brittleness = Brittleness()
        # Times of the requests that arrived while it was cold.
        self.cold_arrivals: list[float] = []
        self._task = asyncio.create_task(self._run())

    @property
    def slots(self) -> int:
        """Return how many requests the engine runs at once."""
        return self.speed.slots

    @property
    def n_requests(self) -> int:
        """Return how many requests run or wait."""
        return len(self._running) + len(self._waiting)

    def answers_to(self, target: TargetEntry) -> bool:
        """Return whether an entry leads to this start of the engine."""
        return self.keeps_address or self.started_ms == target.started_ms

    def get_cold_s(self) -> float:
        """Return how long the engine is still cold."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    def record_arrival(self) -> None:
        """Record that a request arrives, if the engine is cold."""
        if self.get_cold_s():
            self.cold_arrivals.append(asyncio.get_running_loop().time())

    def enqueue(self, generation: Generation) -> None:
        """Queue a request by urgency, then by time of arrival."""
        self._waiting.append(generation)
        self._waiting.sort(key=lambda item: item.urgency)
        self._has_work.set()

    async def fetch(
        self, prompt: Sequence[PromptPart], source: "EmulatedEngine | None"
    ) -> None:
        """Transfer the leading parts of a prompt that only the source has cached.

        Transfers at an engine run one after another.
        """
        self.totals.n_fetches += 1
        await asyncio.sleep(FETCH_SET_UP_S)
        if source is not None and (source.is_dark or source.keeps_port):
            await asyncio.sleep(DARK_SOURCE_S)
            source = None
        missing = [] if source is None else source.list_missing(prompt, self._cache)
        if source is None or not missing:
            self.totals.n_empty_fetches += 1
            return
        n_tokens = sum(part.n_tokens for part in missing)
        self.totals.n_fetched += n_tokens
        now = asyncio.get_running_loop().time()
        begins_at = max(now, self.is_link_free_at, source.is_link_free_at)
        n_bytes = n_tokens * self.speed.kv_bytes_per_token
        ends_at = begins_at + n_bytes / self.speed.transfer_bytes_per_s
        self.is_link_free_at = source.is_link_free_at = ends_at
        await asyncio.sleep(ends_at - now)
        for part in missing:
            self._seen_parts.add(part.name)
            self._cache[part.name] = part.n_tokens

    def list_missing(
        self, prompt: Sequence[PromptPart], cached: Container[str]
    ) -> list[PromptPart]:
        """Return the leading cached parts of a prompt that another cache lacks."""
        kept = itertools.takewhile(lambda part: part.name in self._cache, prompt)
        return [part for part in kept if part.name not in cached]

    def cancel(self, generation: Generation) -> None:
        """Remove a request whose host has closed its connection."""
        for queue in (self._waiting, self._running):
            if generation in queue:
                queue.remove(generation)

    def crash(self, *, keeps_port: bool = False) -> None:
        """Stop the engine; all requests and the cache are lost."""
        self.is_down = True
        self.keeps_port = keeps_port
        for generation in [*self._running, *self._waiting]:
            generation.events.put_nowait(None)
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()

    def restart(self) -> None:
        """Start the engine again under the same name, with a new start time."""
        self.is_down = False
        self.keeps_port = False
        self.started_ms += 1

    async def _run(self) -> None:
        while True:
            if not self._waiting and not self._running:
                self._has_work.clear()
                await self._has_work.wait()
            self._admit_waiting()
            step_s = self._prefill_chunk()
            running = list(self._running)
            await asyncio.sleep(step_s)
            self._end_step([item for item in running if item in self._running])

    def _admit_waiting(self) -> None:
        while self._waiting and len(self._running) < self.speed.slots:
            generation = self._waiting[0]
            if self._running and self._count_kv() + generation.n_prompt_tokens > (
                self.speed.kv_tokens
            ):
                return
            self._waiting.pop(0)
            generation.prefill_started = False
            self._running.append(generation)

    def _count_kv(self) -> int:
        return sum(item.n_kv_tokens for item in self._running)

    def _use_cached_prefix(self, generation: Generation) -> int:
        n_cached = 0
        for part in generation.prompt:
            if part.name not in self._cache:
                break
            self._cache.move_to_end(part.name)
            n_cached += part.n_tokens
        self.totals.n_found_in_cache += n_cached
        # The last token is always computed, because it yields the first output token.
        return min(n_cached, generation.n_prompt_tokens - 1)

    def _prefill_chunk(self) -> float:
        """Prefill the next chunk of prompts; return the step's duration in seconds."""
        n_left = self.speed.prefill_chunk_tokens
        n_pairs = 0
        for generation in self._running:
            if n_left <= 0:
                break
            if not generation.prefill_started:
                # The cache is looked up as late as possible, so that the request finds
                # what earlier prompts have computed by now.
                generation.prefill_started = True
                generation.n_prefilled = self._use_cached_prefix(generation)
            n_tokens = min(n_left, generation.n_prompt_tokens - generation.n_prefilled)
            if n_tokens <= 0:
                continue
            n_pairs += n_tokens * (generation.n_prefilled + n_tokens // 2)
            generation.n_prefilled += n_tokens
            n_left -= n_tokens
            if generation.n_prefilled == generation.n_prompt_tokens:
                self._cache_prompt(generation)
        n_prefilled = self.speed.prefill_chunk_tokens - n_left
        self.totals.n_prefilled += n_prefilled
        ms = self.speed.step_ms + self.speed.step_ms_per_request * len(self._running)
        ms += n_prefilled / self.speed.prefill_tokens_per_ms
        ms += self.speed.attention_ms_per_million_pairs * n_pairs / 1e6
        return ms * S_PER_MS * self._duration_factor

    def _end_step(self, running: list[Generation]) -> None:
        for generation in running:
            if generation.n_prefilled < generation.n_prompt_tokens:
                continue
            generation.n_generated += 1
            is_last = generation.n_generated >= generation.n_output_tokens
            if is_last or generation.n_generated % self.speed.tokens_per_event == 1:
                generation.events.put_nowait(generation.n_generated)
            if is_last:
                self._running.remove(generation)
        self._evict()

    def _cache_prompt(self, generation: Generation) -> None:
        for part in generation.prompt:
            if part.name in self._seen_parts and part.name not in self._cache:
                self.totals.n_prefilled_again += part.n_tokens
            self._seen_parts.add(part.name)
            self._cache[part.name] = part.n_tokens
            self._cache.move_to_end(part.name)

    def _evict(self) -> None:
        """Evict least recently used parts, then preempt the least urgent requests."""
        n_free = self.speed.kv_tokens - self._count_kv()
        n_cached = sum(self._cache.values())
        while self._cache and n_cached > n_free:
            _, n_tokens = self._cache.popitem(last=False)
            n_cached -= n_tokens
        while self._count_kv() > self.speed.kv_tokens and len(self._running) > 1:
            preempted = max(self._running, key=lambda item: item.urgency)
            self._running.remove(preempted)
            preempted.n_prefilled = 0
            self._waiting.insert(0, preempted)
            self.totals.n_preempted += 1


def sample_duration_factor(generator: random.Random) -> float:
    """Return a target's duration of a step relative to the fastest targets."""
    return generator.choice([1.0, 1.0, 1.3])
