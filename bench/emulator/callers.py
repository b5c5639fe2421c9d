"""Emulate callers that expect answers in time and retry once if a refusal allows it."""

import asyncio
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from bench.emulator.host import EmulatedHost, HostLostError
from bench.emulator.scenario import Kind
from trefoilstage.components.connections.parts import PartList
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    PromptPart,
    Route,
    RouteKind,
    Workspace,
)
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

# Callers wait at most this share of their remaining time before a retry.
MAX_RETRY_WAIT_SHARE = 1 / 3
RETRY_PAUSE_S = 0.1
FAVOURED_SHARE = 0.8  # of new connections that a balancer hands to one host
MIN_SAMPLE_TOKENS = 16
SIZE_SIGMA = 0.8  # standard deviation of the logarithm of sizes
MAX_SIZE_FACTOR = 4.0  # relative to the mean
MIN_OUTPUT_TOKENS = 4


class Result(StrEnum):
    """Name the result of a request as its caller sees it."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(kw_only=True, slots=True)
class HeldStream:
    """Describe the events of a stream that a caller holds, over all its attempts."""

    first_id: str = ""  # of the attempt that brought the first event
    last_event_id: int = 0
    versions: set[str] = field(default_factory=set)  # of the targets that wrote them
    n_taken_up: int = 0
    n_gone_on: int = 0

    def add(self, request_id: str, data: bytes) -> None:
        """Add the events that an attempt brought."""
        self.first_id = self.first_id or request_id
        for line in data.decode().splitlines():
            name, _, value = line.partition(": ")
            if name == "id":
                self.last_event_id = int(value)
            elif name == "data":
                self.versions.add(value)


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Describe the result of a request over all its attempts; times are virtual."""

    kind: str
    workspace: str
    requested_at: float
    result: Result
    first_event_s: float | None
    n_attempts: int
    reason: Reason | None = None  # of the last refusal
    first_host: str = ""  # that got the first attempt
    is_first_served: bool = False  # whether the first attempt was answered
    stream: HeldStream = field(default_factory=HeldStream)


@dataclass(kw_only=True, slots=True)
class RecordedReply:
    """Record the reply to one attempt and the times of its events."""

    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    is_complete: bool = False
    is_open: bool = False
    give_up_later: Callable[[], None] = lambda: None
    stream: HeldStream = field(default_factory=HeldStream)
    request_id: str = ""

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Record that a stream has begun."""
        self.is_open = True

    async def write(self, data: bytes) -> None:
        """Record the time of events."""
        self.give_up_later()
        self.stream.add(self.request_id, data)
        now = asyncio.get_running_loop().time()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now

    async def end(self) -> None:
        """Record the end of a stream."""
        self.is_complete = True

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: PartList,
        *,
        close: bool,
    ) -> None:
        """Record an answer that is not a stream."""
        self.first_event_at = asyncio.get_running_loop().time()
        self.is_complete = True


@dataclass(kw_only=True, slots=True)
class RequestSampler:
    """Sample requests, their prompts and their sizes from a seeded generator."""

    generator: random.Random
    n_output_tokens_by_request: dict[str, int] = field(default_factory=dict)
    shared_parts: dict[str, PromptPart] = field(default_factory=dict)
    request_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def sample_size(self, mean: float) -> int:
        """Return a log-normal number of tokens with a given mean, before limits."""
        factor = self.generator.lognormvariate(-SIZE_SIGMA * SIZE_SIGMA / 2, SIZE_SIGMA)
        return max(MIN_SAMPLE_TOKENS, int(mean * min(MAX_SIZE_FACTOR, factor)))

    def sample_request(self, kind: Kind) -> CallerRequest:
        """Return a new request of a kind."""
        name = f"r-{next(self.request_numbers)}"
        prompt = self._sample_prompt(kind, name)
        n_output = 0
        if prompt:
            n_output = max(MIN_OUTPUT_TOKENS, self.sample_size(kind.output_tokens))
        self.n_output_tokens_by_request[name] = n_output
        return CallerRequest(
            request_id=name,
            method="POST",
            host="club.example",
            path=f"/{kind.name}/",
            raw_target=f"/{kind.name}/",
            key="",
            deadline_s=kind.deadline_s,
            n_prompt_tokens=sum(part.n_tokens for part in prompt),
            max_output_tokens=2 * n_output,
            prompt=prompt,
            headers=(),
        )

    def _sample_prompt(self, kind: Kind, name: str) -> tuple[PromptPart, ...]:
        if not kind.own_tokens:
            return ()
        parts = []
        for level, shared in enumerate(kind.shared):
            number = self.generator.randrange(shared.n_subjects)
            subject = f"{kind.name}/{level}/{number}"
            if subject not in self.shared_parts:
                size = self.sample_size(shared.tokens)
                self.shared_parts[subject] = PromptPart(name=subject, n_tokens=size)
            parts.append(self.shared_parts[subject])
        own = PromptPart(name=name, n_tokens=self.sample_size(kind.own_tokens))
        return (*parts, own)


class Caller:
    """Send one request, and retry it once when the host's refusal allows that."""

    def __init__(
        self,
        *,
        kind: Kind,
        route: Route,
        workspace: Workspace,
        request: CallerRequest,
        hosts: Sequence[EmulatedHost],
        favoured_hosts: Sequence[EmulatedHost],
        generator: random.Random,
    ) -> None:
        self._kind = kind
        self._route = route
        self._workspace = workspace
        self._request = request
        self._hosts = hosts
        self._favoured_hosts = favoured_hosts
        self._generator = generator
        self._reply = RecordedReply()
        self._host = ""  # that got the last attempt
        self._stream = HeldStream()

    async def run(self) -> Outcome:
        """Send the request and return the outcome after the last attempt."""
        requested_at = asyncio.get_running_loop().time()
        deadline = requested_at + self._kind.deadline_s
        result = await self._send_once(deadline)
        n_attempts = 1
        first_host = self._host
        is_first_served = result is None and self._reply.is_complete
        if isinstance(result, Refusal | HostLostError):
            wait_s = self._compute_retry_wait(result, deadline)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
                result = await self._send_once(deadline)
                n_attempts = 2
        first_event_at = self._reply.first_event_at
        return Outcome(
            kind=self._kind.name,
            workspace=self._workspace.name,
            requested_at=requested_at,
            result=self._classify_result(result, requested_at),
            first_event_s=None
            if first_event_at is None
            else first_event_at - requested_at,
            n_attempts=n_attempts,
            reason=result.reason if isinstance(result, Refusal) else None,
            first_host=first_host,
            is_first_served=is_first_served,
            stream=self._stream,
        )

    async def _send_once(self, deadline: float) -> Refusal | Exception | None:
        self._reply = RecordedReply(
            stream=self._stream, request_id=self._request.request_id
        )
        remaining_s = deadline - asyncio.get_running_loop().time()
        host = self._sample_host()
        self._host = host.name
        try:
            async with asyncio.timeout(remaining_s) as limit:
                self._reply.give_up_later = self._make_give_up(limit)
                self._reply.give_up_later()
                return await host.serve(
                    request=self._request,
                    route=self._route,
                    workspace=self._workspace,
                    reply=self._reply,
                )
        except (TimeoutError, HostLostError) as error:
            return error

    def _make_give_up(self, limit: asyncio.Timeout) -> Callable[[], None]:
        """Return a call that makes the caller give up after its next long silence."""
        deadline = limit.when() or 0.0

        def give_up_later() -> None:
            if self._kind.kind is RouteKind.STREAM:
                now = asyncio.get_running_loop().time()
                limit.reschedule(min(deadline, now + self._route.silence_limit_s))

        return give_up_later

    def _sample_host(self) -> EmulatedHost:
        favoured = [host for host in self._favoured_hosts if host.is_serving]
        is_first = not self._host
        if is_first and favoured and self._generator.random() < FAVOURED_SHARE:
            return favoured[0]
        serving = [host for host in self._hosts if host.is_serving]
        return self._generator.choice(serving or list(self._hosts))

    def _compute_retry_wait(
        self, result: Refusal | HostLostError, deadline: float
    ) -> float | None:
        remaining_s = deadline - asyncio.get_running_loop().time()
        if isinstance(result, HostLostError):
            is_retryable = self._kind.kind is RouteKind.IDEMPOTENT
            return (
                RETRY_PAUSE_S if is_retryable and remaining_s > RETRY_PAUSE_S else None
            )
        if result.effect is not Effect.NOT_RUN or result.retry_after_s is None:
            return None
        return min(result.retry_after_s, remaining_s * MAX_RETRY_WAIT_SHARE)

    def _classify_result(
        self, result: Refusal | Exception | None, requested_at: float
    ) -> Result:
        if isinstance(result, Refusal):
            is_not_run = result.effect is Effect.NOT_RUN
            return Result.REFUSED if is_not_run else Result.FAILED
        reply = self._reply
        if result is not None or not reply.is_complete or reply.first_event_at is None:
            return Result.FAILED
        is_in_time = reply.first_event_at - requested_at <= self._kind.objective_s
        is_smooth = reply.longest_gap_s <= self._kind.gap_objective_s
        return Result.IN_TIME if is_in_time and is_smooth else Result.LATE
