"""Play callers that want answers in time and come back when told to."""

import asyncio
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from bench.emulator.host import EmulatedHost, HostLostError
from bench.emulator.scenario import Kind
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    PromptPart,
    Route,
    RouteKind,
    Workspace,
)
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

# Callers come back within this share of the time that they have left.
COMEBACK_SHARE = 1 / 3
PAUSE_S = 0.1
MIN_TOKENS = 16
SPREAD = 0.8  # of the logarithm of sizes
MAX_FACTOR = 4.0  # of the mean
FEWEST_OUTPUT_TOKENS = 4


class Result(StrEnum):
    """Name what a caller got."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Hold what a caller got, and when it asked."""

    kind: str
    workspace: str
    asked_at: float
    result: Result
    first_s: float | None
    n_tries: int
    reason: Reason | None = None  # of the last refusal


@dataclass(kw_only=True, slots=True)
class CallerWatch:
    """See an answer as its caller does."""

    first_at: float | None = None
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    complete: bool = False
    is_open: bool = False

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """See the head of a stream."""
        self.is_open = True

    async def write(self, data: bytes) -> None:
        """See events."""
        now = asyncio.get_running_loop().time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now

    async def end(self) -> None:
        """See the end of a stream."""
        self.complete = True

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """See a whole answer."""
        self.first_at = asyncio.get_running_loop().time()
        self.complete = True


@dataclass(kw_only=True, slots=True)
class Prompts:
    """Draw prompts, workspaces and sizes by seed."""

    generator: random.Random
    outputs: dict[str, int] = field(default_factory=dict)
    parts: dict[str, PromptPart] = field(default_factory=dict)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def draw_size(self, mean: float) -> int:
        """Return a number of tokens around a mean."""
        factor = self.generator.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        return max(MIN_TOKENS, int(mean * min(MAX_FACTOR, factor)))

    def draw_request(self, kind: Kind) -> CallerRequest:
        """Return a request of a kind."""
        name = f"r-{next(self.numbers)}"
        prompt = self._draw_prompt(kind, name)
        n_output = 0
        if prompt:
            n_output = max(FEWEST_OUTPUT_TOKENS, self.draw_size(kind.output_tokens))
        self.outputs[name] = n_output
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

    def _draw_prompt(self, kind: Kind, name: str) -> tuple[PromptPart, ...]:
        if not kind.own_tokens:
            return ()
        parts = []
        for level, shared in enumerate(kind.shared):
            number = self.generator.randrange(shared.n_subjects)
            subject = f"{kind.name}/{level}/{number}"
            if subject not in self.parts:
                size = self.draw_size(shared.tokens)
                self.parts[subject] = PromptPart(name=subject, n_tokens=size)
            parts.append(self.parts[subject])
        own = PromptPart(name=name, n_tokens=self.draw_size(kind.own_tokens))
        return (*parts, own)


class Caller:
    """Ask once, and once more when told to come back."""

    def __init__(
        self,
        *,
        kind: Kind,
        route: Route,
        workspace: Workspace,
        request: CallerRequest,
        hosts: Sequence[EmulatedHost],
        generator: random.Random,
    ) -> None:
        self._kind = kind
        self._route = route
        self._workspace = workspace
        self._request = request
        self._hosts = hosts
        self._generator = generator
        self._watch = CallerWatch()

    async def ask(self) -> Outcome:
        """Return what the caller got in the end."""
        asked_at = asyncio.get_running_loop().time()
        deadline = asked_at + self._kind.deadline_s
        result = await self._try_once(deadline)
        n_tries = 1
        if isinstance(result, Refusal | HostLostError):
            wait_s = self._plan_return(result, deadline)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
                result = await self._try_once(deadline)
                n_tries = 2
        first_at = self._watch.first_at
        return Outcome(
            kind=self._kind.name,
            workspace=self._workspace.name,
            asked_at=asked_at,
            result=self._judge(result, asked_at),
            first_s=None if first_at is None else first_at - asked_at,
            n_tries=n_tries,
            reason=result.reason if isinstance(result, Refusal) else None,
        )

    async def _try_once(self, deadline: float) -> Refusal | Exception | None:
        self._watch = CallerWatch()
        left_s = deadline - asyncio.get_running_loop().time()
        host = self._pick_host()
        try:
            async with asyncio.timeout(left_s):
                return await host.serve(
                    request=self._request,
                    route=self._route,
                    workspace=self._workspace,
                    reply=self._watch,
                )
        except (TimeoutError, HostLostError) as error:
            return error

    def _pick_host(self) -> EmulatedHost:
        serving = [host for host in self._hosts if host.serving]
        return self._generator.choice(serving or list(self._hosts))

    def _plan_return(
        self, result: Refusal | HostLostError, deadline: float
    ) -> float | None:
        left_s = deadline - asyncio.get_running_loop().time()
        if isinstance(result, HostLostError):
            is_retryable = self._kind.kind is RouteKind.IDEMPOTENT
            return PAUSE_S if is_retryable and left_s > PAUSE_S else None
        if result.effect is not Effect.NOT_RUN or result.retry_after_s is None:
            return None
        return min(result.retry_after_s, left_s * COMEBACK_SHARE)

    def _judge(self, result: Refusal | Exception | None, asked_at: float) -> Result:
        if isinstance(result, Refusal):
            not_run = result.effect is Effect.NOT_RUN
            return Result.REFUSED if not_run else Result.FAILED
        watch = self._watch
        if result is not None or not watch.complete or watch.first_at is None:
            return Result.FAILED
        in_time = watch.first_at - asked_at <= self._kind.objective_s
        smooth = watch.longest_gap_s <= self._kind.gap_objective_s
        return Result.IN_TIME if in_time and smooth else Result.LATE
