"""Processes and HTTP calls of the demo's fleet."""

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

from standins.launcher import Launcher, LaunchError, RunningProcess, poll_until

EXAMPLE_FOLDER = Path(__file__).parent.parent / "examples" / "armor" / "config"
WORKSPACE = "school-brest"
BUDGET = "schools"
MODEL = "assistant"
DATA_CENTERS_BY_HOST = {
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
    """Indicate that a check of the demo failed."""


@dataclass(kw_only=True, slots=True)
class Answer:
    """Describe the answer to one request as its caller received it."""

    status: int
    body: bytes
    retry_after_s: float | None

    @property
    def is_complete_stream(self) -> bool:
        """Return whether the event stream ended with its end marker."""
        return self.status == HTTP_OK and self.body.endswith(END_OF_STREAM)


@dataclass(kw_only=True, slots=True)
class DemoFleet:
    """Start the processes, call the hosts and count tokens by idempotency key."""

    launcher: Launcher
    secret: str = field(default_factory=lambda: secrets.token_urlsafe(24))
    hosts: dict[str, RunningProcess] = field(default_factory=dict)
    engines: list[RunningProcess] = field(default_factory=list)
    service: RunningProcess = field(init=False)
    request_ids_by_key: dict[str, set[str]] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the stand-ins, then the hosts."""
        async with asyncio.TaskGroup() as group:
            log = group.create_task(self.launcher.start_standin("log", "log"))
            host_list = group.create_task(self.launcher.start_standin("hosts", "hosts"))
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
                        data_center,
                        log_url=log.result().url,
                        host_list_url=host_list.result().url,
                    )
                )
                for name, data_center in DATA_CENTERS_BY_HOST.items()
            ]
        self.hosts = {task.result().name: task.result() for task in hosts}
        data_centers = sorted(set(DATA_CENTERS_BY_HOST.values()))
        print_step(
            "fleet",
            f"{len(DATA_CENTERS_BY_HOST)} hosts in {' and '.join(data_centers)}, "
            f"{N_ENGINES} engines, a booking service, the log, the host list",
        )

    async def publish_example(self) -> None:
        """Publish the example and wait until every host has applied it."""
        started = time.monotonic()
        files = {
            path.name: path.read_text()
            for path in sorted(EXAMPLE_FOLDER.glob("*.toml"))
        }
        files["90-demo.toml"] = self._make_override()
        url = f"{self.get_first_host().operator_url}/config/publish"
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
        await poll_until(lambda: self._is_ready(revision), "all hosts to be ready")
        duration_s = time.monotonic() - started
        print_step(
            "configuration",
            f"{len(files)} files accepted, in force on "
            f"{len(DATA_CENTERS_BY_HOST)} hosts after {duration_s:.1f} s",
        )

    def _make_override(self) -> str:
        """Return a configuration file that sets the local addresses.

        It sorts after the example's files, so its values override theirs.
        """
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
        budget = await self.get_budget(self.get_first_host())
        return budget is not None and budget["paid"] > 0

    async def count_tokens_by_key(self) -> int:
        """Return the tokens that the engines counted.

        A key that ran more than once counts with its most expensive run.
        """
        tokens: dict[str, int] = {}
        for engine in self.engines:
            meter = await self.launcher.get_json(f"{engine.url}/meter")
            for run in meter["requests"]:
                used = run["prompt_tokens"] + run["completion_tokens"]
                tokens[run["request"]] = max(used, tokens.get(run["request"], 0))
        known = set().union(*self.request_ids_by_key.values())
        expect(set(tokens) <= known, "an engine ran what no caller asked for")
        return sum(
            max(tokens.get(request, 0) for request in requests)
            for requests in self.request_ids_by_key.values()
        )

    async def _is_settled(self, n_tokens: int) -> bool:
        budgets = [await self.get_budget(host) for host in self.hosts.values()]
        return all(
            budget is not None
            and budget["spent"] == n_tokens
            and budget["doubtful"] == 0
            and budget["paid"] == budget["spent"] + budget["held"] + budget["free"]
            for budget in budgets
        )

    async def wait_until_settled(self) -> int:
        """Wait until every host shows the engines' token count, and return it."""
        n_tokens = await self.count_tokens_by_key()
        try:
            await poll_until(lambda: self._is_settled(n_tokens), "the spend to settle")
        except LaunchError as error:
            budgets = [await self.get_budget(host) for host in self.hosts.values()]
            raise DemoError(f"{n_tokens} executed by key, but {budgets}") from error
        return n_tokens

    def get_first_host(self) -> RunningProcess:
        """Return the first running host."""
        return next(iter(self.hosts.values()))

    async def get_json(self, host: RunningProcess, path: str) -> Any:
        """Return the JSON at a path of a host's operator interface."""
        return await self.launcher.get_json(f"{host.operator_url}{path}")

    async def get_budget(self, host: RunningProcess) -> dict[str, Any] | None:
        """Return the budget of the demo's workspace as one host reports it."""
        budgets = await self.get_json(host, "/budgets")
        found = [item for item in budgets if item["name"] == BUDGET]
        return found[0] if found else None

    def post_chat(self, host: RunningProcess, key: str) -> Any:
        """Send a streaming chat request with an idempotency key."""
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

    async def chat(self, host: RunningProcess, key: str) -> Answer:
        """Send a chat request and read the whole answer."""
        async with self.post_chat(host, key) as response:
            self.record_run(key, response)
            return await read_answer(response)

    async def book(self, host: RunningProcess, key: str) -> Answer:
        """Confirm a booking with an idempotency key."""
        async with self.launcher.session.post(
            f"{host.caller_url}/services/booking/confirm",
            json={"strip": 7},
            headers=self._make_headers(key),
        ) as response:
            return await read_answer(response)

    def record_run(self, key: str, response: aiohttp.ClientResponse) -> None:
        """Record the id of a request that ran for a key."""
        request = response.headers.get("X-Request-Id", "")
        if request:
            self.request_ids_by_key.setdefault(key, set()).add(request)


async def read_answer(response: aiohttp.ClientResponse) -> Answer:
    """Read a whole answer; a refusal has the time to wait before a retry."""
    refused = response.status != HTTP_OK
    wait_s = float(response.headers.get("Retry-After", DEFAULT_RETRY_S))
    return Answer(
        status=response.status,
        body=await response.read(),
        retry_after_s=wait_s if refused else None,
    )


def list_targets() -> Iterator[str]:
    """Yield the targets of the example in name order."""
    for path in sorted(EXAMPLE_FOLDER.glob("*.toml")):
        yield from sorted(tomllib.loads(path.read_text()).get("targets", {}))


def expect(condition: bool, message: str) -> None:
    """Raise DemoError unless a condition holds."""
    if not condition:
        raise DemoError(message)


def print_step(topic: str, message: str) -> None:
    """Print the result of one step."""
    print(f"  ok  {topic:<14} {message}", flush=True)
