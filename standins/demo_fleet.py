"""Run the demo's fleet and keep what its callers saw."""

import asyncio
import hashlib
import secrets
import time
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from standins.launcher import Launcher, LaunchError, Running, wait_for

EXAMPLE = Path(__file__).parent.parent / "examples" / "armor" / "config"
WORKSPACE = "school-brest"
BUDGET = "schools"
MODEL = "assistant"
HOSTS = {
    "brest-1": "brest",
    "brest-2": "brest",
    "quimper-1": "quimper",
    "quimper-2": "quimper",
}
N_ENGINES = 3
MAX_TOKENS = 48
DEFAULT_RETRY_S = 0.5
HTTP_OK = 200
END_OF_STREAM = b"data: [DONE]\n\n"


class DemoError(Exception):
    """Report something that the demo expected and did not see."""


@dataclass(kw_only=True, slots=True)
class Answer:
    """Hold what a caller got to one request."""

    status: int
    body: bytes
    retry_after_s: float | None

    @property
    def is_whole_stream(self) -> bool:
        """Tell whether an event stream came to its explicit end."""
        return self.status == HTTP_OK and self.body.endswith(END_OF_STREAM)


@dataclass(kw_only=True, slots=True)
class DemoFleet:
    """Hold the processes, call the hosts and count by idempotency key."""

    launcher: Launcher
    secret: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    hosts: dict[str, Running] = field(default_factory=dict)
    engines: list[Running] = field(default_factory=list)
    service: Running = field(init=False)
    runs: dict[str, set[str]] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the stand-ins, then the hosts."""
        async with asyncio.TaskGroup() as group:
            log = group.create_task(self.launcher.start_standin("log", "log"))
            listed = group.create_task(self.launcher.start_standin("hosts", "hosts"))
            service = group.create_task(
                self.launcher.start_standin("booking", "service")
            )
            engines = [
                group.create_task(
                    self.launcher.start_standin(f"engine-{number}", "engine")
                )
                for number in range(N_ENGINES)
            ]
        self.service = service.result()
        self.engines = [task.result() for task in engines]
        async with asyncio.TaskGroup() as group:
            hosts = [
                group.create_task(
                    self.launcher.start_host(
                        name,
                        place,
                        log_url=log.result().url,
                        host_list_url=listed.result().url,
                    )
                )
                for name, place in HOSTS.items()
            ]
        self.hosts = {task.result().name: task.result() for task in hosts}
        data_centers = sorted(set(HOSTS.values()))
        report(
            "fleet",
            f"{len(HOSTS)} hosts in {' and '.join(data_centers)}, "
            f"{N_ENGINES} engines, a booking service, the log, the host list",
        )

    async def publish_example(self) -> None:
        """Publish the example and wait until every host has it in force."""
        started = time.monotonic()
        files = {path.name: path.read_text() for path in sorted(EXAMPLE.glob("*.toml"))}
        files["90-demo.toml"] = self._make_override()
        url = f"{self.first_host().operator_url}/config/publish"
        revision = -1
        for name, content in files.items():
            verdict = await self.launcher.post_json(
                url,
                {
                    "operation": secrets.token_hex(8),
                    "name": name,
                    "content": content,
                    "author": "demo",
                },
            )
            expect(verdict["accepted"], f"{name} was rejected: {verdict}")
            revision = verdict["revision"]
        await wait_for(lambda: self._is_ready(revision), "all hosts to be ready")
        duration_s = time.monotonic() - started
        report(
            "configuration",
            f"{len(files)} files accepted, in force on {len(HOSTS)} hosts "
            f"after {duration_s:.1f} s",
        )

    def _make_override(self) -> str:
        """Return a later file that points the example at this machine."""
        digest = hashlib.sha256(self.secret.encode()).hexdigest()
        lines = [f'[workspaces.{WORKSPACE}]\nkey_sha256 = ["{digest}"]']
        lines += [f'[services.booking]\nurls = ["{self.service.url}"]']
        for number, name in enumerate(list_targets()):
            url = self.engines[number % len(self.engines)].url
            lines.append(f'[targets.{name}]\nurl = "{url}"')
        return "\n".join(lines) + "\n"

    async def _is_ready(self, revision: int) -> bool:
        for host in self.hosts.values():
            status = await self.get_json(host, "/status")
            if status["phase"] != "serving" or status["revision"] < revision:
                return False
            known = await self.get_json(host, "/hosts")
            if sum(entry["live"] for entry in known) < len(self.hosts):
                return False
        budget = await self.get_budget(self.first_host())
        return budget is not None and budget["paid"] > 0

    async def count_by_key(self) -> int:
        """Return the engines' own count, each key by the dearest of its runs."""
        tokens: dict[str, int] = {}
        for engine in self.engines:
            meter = await self.launcher.get_json(f"{engine.url}/meter")
            for run in meter["requests"]:
                used = run["prompt_tokens"] + run["completion_tokens"]
                tokens[run["request"]] = max(used, tokens.get(run["request"], 0))
        known = set().union(*self.runs.values())
        expect(set(tokens) <= known, "an engine ran what no caller asked for")
        return sum(
            max(tokens.get(request, 0) for request in requests)
            for requests in self.runs.values()
        )

    async def _is_settled(self, executed: int) -> bool:
        budgets = [await self.get_budget(host) for host in self.hosts.values()]
        return all(
            budget is not None
            and budget["spent"] == executed
            and budget["doubtful"] == 0
            and budget["paid"] == budget["spent"] + budget["held"] + budget["free"]
            for budget in budgets
        )

    async def wait_until_settled(self) -> int:
        """Wait until every host shows what the engines ran; return the tokens."""
        executed = await self.count_by_key()
        try:
            await wait_for(lambda: self._is_settled(executed), "the spend to settle")
        except LaunchError as error:
            budgets = [await self.get_budget(host) for host in self.hosts.values()]
            raise DemoError(f"{executed} executed by key, but {budgets}") from error
        return executed

    def first_host(self) -> Running:
        """Return the first host that lives."""
        return next(iter(self.hosts.values()))

    async def get_json(self, host: Running, path: str) -> Any:
        """Return what a host's operators' interface answers."""
        return await self.launcher.get_json(f"{host.operator_url}{path}")

    async def get_budget(self, host: Running) -> dict[str, Any] | None:
        """Return the budget of the demo's workspace as one host shows it."""
        budgets = await self.get_json(host, "/budgets")
        found = [item for item in budgets if item["name"] == BUDGET]
        return found[0] if found else None

    def post_chat(self, host: Running, key: str) -> Any:
        """Open a streamed chat request under a key."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": f"Draft the {key}."}],
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
        return self.launcher.session.post(
            f"{host.caller_url}/v1/chat/completions",
            json=body,
            headers=self._make_headers(key),
        )

    def _make_headers(self, key: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.secret}", "Idempotency-Key": key}

    async def chat(self, host: Running, key: str) -> Answer:
        """Send a chat request and read its answer to the end."""
        async with self.post_chat(host, key) as response:
            self.note_run(key, response)
            return await read_answer(response)

    async def book(self, host: Running, key: str) -> Answer:
        """Confirm a booking under a key."""
        async with self.launcher.session.post(
            f"{host.caller_url}/services/booking/confirm",
            json={"strip": 7},
            headers=self._make_headers(key),
        ) as response:
            return await read_answer(response)

    def note_run(self, key: str, response: aiohttp.ClientResponse) -> None:
        """Keep the request that ran for a key."""
        request = response.headers.get("X-Request-Id", "")
        if request:
            self.runs.setdefault(key, set()).add(request)


async def read_answer(response: aiohttp.ClientResponse) -> Answer:
    """Return a whole answer; a refusal carries its time to come back."""
    refused = response.status != HTTP_OK
    wait_s = float(response.headers.get("Retry-After", DEFAULT_RETRY_S))
    return Answer(
        status=response.status,
        body=await response.read(),
        retry_after_s=wait_s if refused else None,
    )


def list_targets() -> Iterator[str]:
    """Yield the targets of the example in name order."""
    for path in sorted(EXAMPLE.glob("*.toml")):
        yield from sorted(tomllib.loads(path.read_text()).get("targets", {}))


def expect(condition: bool, message: str) -> None:
    """Raise DemoError unless a condition holds."""
    if not condition:
        raise DemoError(message)


def report(topic: str, text: str) -> None:
    """Print one line of the account."""
    print(f"  ok  {topic:<14} {text}", flush=True)
