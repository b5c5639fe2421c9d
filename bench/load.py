"""Send an open-loop load and record the outcome of each attempt."""

import asyncio
import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import aiohttp

from bench.fleet import BenchFleet, Workspace, list_workspaces
from bench.scenario import Scenario

PREFIX_FILL_CHARACTERS = "abcdefghijklmnopqrstuvwxyz "
DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """Describe one planned request; `at_s` counts from the start of the load."""

    at_s: float
    workspace: Workspace
    prompt: str
    output_tokens: int
    idempotency_key: str


@dataclass(kw_only=True, slots=True)
class Outcome:
    """Describe the outcome of one attempt to send a request.

    `sent_at` and `ended_at` are wall-clock seconds. `effect` is empty unless the host
    ended the attempt with a typed error.
    """

    workspace: str
    budget: str
    priority: int
    idempotency_key: str
    sent_at: float
    worst_case_tokens: int
    status: int = 0
    reason: str = ""
    effect: str = ""
    ended_at: float = 0.0
    first_token_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)
    is_complete: bool = False
    has_retry_after: bool = False


def plan_arrivals(scenario: Scenario) -> list[Arrival]:
    """Return the requests of a scenario by arrival time, sampled with its seed."""
    generator = random.Random(scenario.seed)
    arrivals = [
        arrival
        for workspace in list_workspaces(scenario)
        for arrival in plan_workspace_arrivals(scenario, workspace, generator)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def plan_workspace_arrivals(
    scenario: Scenario, workspace: Workspace, generator: random.Random
) -> Iterator[Arrival]:
    """Yield the requests of one workspace: a Poisson process with a surge.

    Arrivals are sampled at the peak rate and thinned outside the surge.
    """
    load = workspace.load
    if load.requests_per_s <= 0:
        return
    peak_per_s = load.requests_per_s * load.surge_factor
    at_s = 0.0
    number = 0
    while True:
        at_s += generator.expovariate(peak_per_s)
        if at_s >= scenario.duration_s:
            return
        is_in_surge = (
            load.surge_at_s is not None
            and load.surge_at_s <= at_s < load.surge_at_s + load.surge_s
        )
        if not is_in_surge and generator.random() > 1.0 / load.surge_factor:
            continue
        number += 1
        yield Arrival(
            at_s=at_s,
            workspace=workspace,
            prompt=make_prompt(workspace, generator),
            output_tokens=generator.randint(
                load.output_tokens.low, load.output_tokens.high
            ),
            idempotency_key=f"{workspace.name}-{number}",
        )


def make_prompt(workspace: Workspace, generator: random.Random) -> str:
    """Return a prompt; other requests may share its prefix."""
    load = workspace.load
    size = generator.randint(load.prompt_bytes.low, load.prompt_bytes.high)
    text = f"{generator.getrandbits(64):x} ".ljust(size, "x")
    if load.n_prefixes == 0:
        return text
    prefix = generator.randrange(load.n_prefixes)
    return (
        f"dossier {prefix} ".ljust(
            load.prefix_bytes, PREFIX_FILL_CHARACTERS[prefix % 26]
        )
        + text
    )


class LoadGenerator:
    """Send the planned requests at their times, however slowly the fleet responds."""

    def __init__(self, *, fleet: BenchFleet, arrivals: list[Arrival]) -> None:
        self._fleet = fleet
        self._arrivals = arrivals
        self._random = random.Random(fleet.scenario.seed + 1)
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Send all requests and wait until each has ended."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            started = time.monotonic()
            tasks: set[asyncio.Task[None]] = set()
            for arrival in self._arrivals:
                await asyncio.sleep(max(0.0, started + arrival.at_s - time.monotonic()))
                tasks.add(
                    asyncio.create_task(self._send_with_retries(session, arrival))
                )
            await asyncio.gather(*tasks)

    async def _send_with_retries(
        self, session: aiohttp.ClientSession, arrival: Arrival
    ) -> None:
        for _ in range(arrival.workspace.load.retries + 1):
            outcome = self._make_outcome(arrival)
            self.outcomes.append(outcome)
            try:
                async with asyncio.timeout(arrival.workspace.load.patience_s):
                    await self._send_once(session, arrival, outcome)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                outcome.reason = outcome.reason or type(error).__name__
            outcome.ended_at = time.time()
            if outcome.is_complete:
                return

    def _make_outcome(self, arrival: Arrival) -> Outcome:
        workspace = arrival.workspace
        n_output = workspace.load.max_tokens or arrival.output_tokens
        return Outcome(
            workspace=workspace.name,
            budget=workspace.budget,
            priority=workspace.load.priority,
            idempotency_key=arrival.idempotency_key,
            sent_at=time.time(),
            worst_case_tokens=-(-(len(arrival.prompt) + 16) // 4) + n_output,
        )

    async def _send_once(
        self, session: aiohttp.ClientSession, arrival: Arrival, outcome: Outcome
    ) -> None:
        host = self._random.choice(list(self._fleet.hosts.values()))
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.output_tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {arrival.workspace.secret}",
            "Idempotency-Key": arrival.idempotency_key,
        }
        started = time.monotonic()
        async with session.post(
            f"{host.caller_url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            outcome.status = response.status
            outcome.has_retry_after = "Retry-After" in response.headers
            if response.status != 200:
                record_refusal(outcome, await response.read())
                return
            await read_stream(response.content, outcome, started)


async def read_stream(
    content: aiohttp.StreamReader, outcome: Outcome, started: float
) -> None:
    """Read an event stream and record the times of its events."""
    last_event_at = started
    async for line in content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            outcome.is_complete = True
            return
        if data.startswith(b'{"error"'):
            record_refusal(outcome, data)
            return
        now = time.monotonic()
        if outcome.first_token_s is None:
            outcome.first_token_s = now - started
        else:
            outcome.gaps_s.append(now - last_event_at)
        last_event_at = now


def record_refusal(outcome: Outcome, body: bytes) -> None:
    """Record the reason and effect of a refusal, "untyped" if it has none."""
    try:
        error = json.loads(body)["error"]
        outcome.reason = error["reason"]
        outcome.effect = error["effect"]
    except (ValueError, KeyError, TypeError):
        outcome.reason = "untyped"
