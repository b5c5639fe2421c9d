"""A drill of the store in which one host's process is killed; used by two cases."""

import asyncio
import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from stand_ins_2 import Caller, Deployment, Head, Server, stream_events

PROMPT_TOKENS, OUTPUT_TOKENS = 380, 20
MAX_TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
REQUESTS_PER_S = 28
COPY_AT_SHARE = 0.62  # of all budgets
COPY_AGE_S = 3.0  # when the store goes away
AWAY_S = 1.3
KILL_AFTER_S = 0.3
RESTART_AFTER_S = 1.0
QUIET_S = 6.0  # without a request served: the budgets are used up
ZONES = {"front-a": "hall-a", "front-b": "hall-b", "front-c": "hall-c"}


def make_configuration(n_tenants: int, prepaid: int) -> dict[str, Any]:
    """Return a configuration with a stream route and some tenants."""
    route = {
        "name": "ask",
        "host": "club.example",
        "path_prefix": "/ask/",
        "kind": "stream",
        "service": "llm",
        "timeout_ms": 3_000,
        "target_latency_ms": 400,
        "max_attempts": 1,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "llm", "engine": {"slots": 64, "stride": 1}}],
        "limits": {},
        "tenants": [
            {"name": f"club-{n}", "api_keys": [f"key-{n}"], "prepaid": prepaid}
            for n in range(n_tenants)
        ],
    }


def make_servers() -> list[Server]:
    """Return two model servers whose events have one token each."""

    async def work(server: Server, head: Head, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)
        await stream_events(head, writer, OUTPUT_TOKENS, 0.0)

    return [
        Server(name=f"s-{n}", service="llm", zone="hall-a", work=work) for n in range(2)
    ]


@dataclass(frozen=True, kw_only=True)
class Refused:
    """Describe a 402: when, and what its tenant surely had left."""

    at: float
    tenant: str
    left: int


@dataclass(kw_only=True)
class Callers:
    """Send requests of all tenants, and count what each of them was given."""

    deployment: Deployment
    n_tenants: int
    prepaid: int
    fronts: tuple[str, ...]  # that get the callers' connections
    spent: Counter[str] = field(default_factory=Counter)
    pending: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    refused: list[Refused] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self) -> None:
        """Send at a steady rate, to each host of the callers in turn."""
        for number in itertools.count():
            task = asyncio.create_task(self._call(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _call(self, number: int) -> None:
        tenant = f"club-{number % self.n_tenants}"
        front = self.fronts[number // self.n_tenants % len(self.fronts)]
        host = self.deployment.hosts.get(front)
        if host is None or not host.caller_port:
            return  # no connection
        self.pending[tenant] += 1
        answer = await Caller(host.caller_port).call(
            "POST",
            "/ask/it",
            {
                "Host": "club.example",
                "Attempt-Id": f"a{number}",
                "Key": f"key-{number % self.n_tenants}",
                "Deadline-Ms": "3000",
                "Model": "m",
                "Token-Count": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
            },
            b"{}",
        )
        self.pending[tenant] -= 1
        n_events = answer.body.count(b"\n\n")
        if answer.status == 200 and n_events:
            self.spent[tenant] += PROMPT_TOKENS + n_events
        self._note(number, tenant, front, answer.status, n_events)

    def _note(
        self, number: int, tenant: str, front: str, status: int, n_events: int
    ) -> None:
        self.statuses[status] += 1
        # Others under way may have been given all that they ask for.
        left = self.prepaid - self.spent[tenant] - MAX_TOKENS * self.pending[tenant]
        if status == 402:
            self.refused.append(Refused(at=time.monotonic(), tenant=tenant, left=left))
        self.deployment.record.write(
            f"a{number} {tenant} at {front}: {status}, {n_events} events; "
            f"spent {self.spent[tenant]}, surely left {left}"
        )

    async def wait_until_copy(self) -> None:
        """Wait until so much is spent that the copy of the store is made."""
        while self.spent.total() < COPY_AT_SHARE * self.n_tenants * self.prepaid:
            await asyncio.sleep(0.05)

    async def wait_until_used_up(self) -> None:
        """Wait until no request was served for some seconds."""
        total = -1
        while total != self.spent.total():
            total = self.spent.total()
            await asyncio.sleep(QUIET_S)

    def say_result(self) -> None:
        """Write what each tenant was given."""
        record = self.deployment.record
        record.say(f"answers by status: {dict(self.statuses)}")
        for tenant, spent in sorted(self.spent.items()):
            record.say(f"{tenant}: prepaid {self.prepaid}, spent {spent}")


async def play_drill(deployment: Deployment, callers: Callers, spared: str) -> float:
    """Let the store come back from a copy, and kill one host while it is away.

    Returns when all hosts run again. The host killed is the one that last wrote to the
    store under a condition; if that is `spared`, another one is.
    """
    record = deployment.record
    copy = deployment.store.make_copy()
    record.say(f"the copy of the store is made; spent {dict(callers.spent)}")
    await asyncio.sleep(COPY_AGE_S)
    deployment.refuse_at_store(is_refusing=True)
    record.say(f"the store is away; spent {dict(callers.spent)}")
    await asyncio.sleep(KILL_AFTER_S)
    name = deployment.last_writer
    if name == spared:
        name = next(front for front in ZONES if front != spared)
    await deployment.end_host(name)
    record.say(f"{name} is killed")
    killed_at = time.monotonic()
    await asyncio.sleep(AWAY_S - KILL_AFTER_S)
    deployment.store.restore(copy)
    for server in deployment.servers:
        await deployment.write_entry(server)
    await deployment.write_configuration()
    deployment.refuse_at_store(is_refusing=False)
    record.say("the store is back from the copy")
    await asyncio.sleep(max(0.0, killed_at + RESTART_AFTER_S - time.monotonic()))
    await deployment.start_host(name, ZONES[name])
    record.say(f"{name} is ready again")
    return time.monotonic()
