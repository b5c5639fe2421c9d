"""A small deployment of model servers and tenants, and its callers."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from stand_ins_2 import Caller, Deployment, Head, Server, stream_events

PROMPT_TOKENS, OUTPUT_TOKENS = 380, 20
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


@dataclass(kw_only=True)
class Callers:
    """Send requests of all tenants, and count what each of them was given."""

    deployment: Deployment
    n_tenants: int
    prepaid: int
    requests_per_s: float
    spent: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def send(self) -> None:
        """Send at a steady rate, to each host of the callers in turn."""
        for number in itertools.count():
            task = asyncio.create_task(self._call(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / self.requests_per_s)

    async def _call(self, number: int) -> None:
        tenant = f"club-{number % self.n_tenants}"
        front = tuple(ZONES)[number // self.n_tenants % len(ZONES)]
        host = self.deployment.hosts.get(front)
        if host is None or not host.caller_port:
            return  # no connection
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
        n_events = answer.body.count(b"\n\n")
        if answer.status == 200 and n_events:
            self.spent[tenant] += PROMPT_TOKENS + n_events
        self.statuses[answer.status] += 1
        self.deployment.record.write(
            f"a{number} {tenant} at {front}: {answer.status}, {n_events} events; "
            f"spent {self.spent[tenant]}"
        )

    async def wait_until_spent(self, share: float) -> None:
        """Wait until a share of all budgets is spent."""
        while self.spent.total() < share * self.n_tenants * self.prepaid:
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
