"""Run small fleets for tests and send requests to them as a caller does."""

import asyncio
import hashlib
import itertools
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from pydantic import TypeAdapter

from standins.launcher import Launcher, LaunchError, RunningProcess, poll_until
from standins.proxy import FaultProxy
from tests.answers import CallerAnswer
from tests.saved_output import save_process_output
from trefoilstage.components.log_client.checkpoints import (
    PackedState,
    compress_state,
    dump_state,
)
from trefoilstage.util.hashing import hash_idempotency_key, rank_by_rendezvous

ROOT = Path(__file__).parent.parent
SECRET = "brest-school-key"
OTHER_SECRET = "quimper-crew-key"


def make_config(engines: list[str], services: list[str], *, tokens: int) -> str:
    """Return a configuration with the given engine and service URLs."""
    lines = [
        "[workspaces.brest-school]",
        'budget = "brest"',
        f'key_sha256 = ["{hashlib.sha256(SECRET.encode()).hexdigest()}"]',
        "[workspaces.quimper-crew]",
        'budget = "quimper"',
        f'key_sha256 = ["{hashlib.sha256(OTHER_SECRET.encode()).hexdigest()}"]',
        f"[budgets.brest]\ntokens = {tokens}",
        f"[budgets.quimper]\ntokens = {tokens}",
        '[sites.brest]\ndata_center = "brest"\nceiling_watts = 4000',
        "[models.assistant]\nprompt_bytes_per_token = 4",
    ]
    for number, url in enumerate(engines):
        lines += [
            f"[targets.engine-{number}]",
            f'model = "assistant"\nsite = "brest"\nurl = "{url}"',
            "idle_watts = 100\nwatts_per_request = 20\nfences_cancelled = true",
        ]
    if services:
        urls = ", ".join(f'"{url}"' for url in services)
        lines += [
            f"[services.booking]\nurls = [{urls}]",
            '[services.booking.operations.confirm]\npath = "/confirm"',
            '[services.booking.operations.permit]\npath = "/permit"',
            "idempotent = true",
            '[services.booking.operations.move]\npath = "/move"\nmethod = "PUT"',
            '[services.booking.operations.paid]\npath = "/paid"\ncost_tokens = 100',
        ]
    return "\n".join(lines) + "\n"


@dataclass(kw_only=True, slots=True)
class Fleet:
    """Run a fleet with a log, engines, a service and hosts, each behind a proxy."""

    n_hosts: int = 3
    n_engines: int = 1
    tokens: int = 1_000_000
    host_settings: dict[str, Any] = field(default_factory=dict)
    engine_options: tuple[str, ...] = ()
    log_options: tuple[str, ...] = ()
    launcher: Launcher = field(default_factory=Launcher)
    log: RunningProcess = field(init=False)
    service: RunningProcess = field(init=False)
    engines: list[RunningProcess] = field(default_factory=list)
    hosts: list[RunningProcess] = field(default_factory=list)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    data_centers: tuple[str, ...] = ("brest",)
    extra_config: str = ""

    async def __aenter__(self) -> Self:
        # unittest enables the event loop's debug mode, which records a stack for each
        # task and handle. With the proxies of twelve hosts on that loop, single steps
        # took up to 1.9 s on a busy machine, hosts timed out and retried, and the fleet
        # was not ready within 30 s.
        asyncio.get_running_loop().set_debug(False)
        await self.launcher.__aenter__()
        try:
            await self._start()
        except BaseException:
            self._save_process_output()
            await self.launcher.__aexit__()
            raise
        return self

    def _save_process_output(self) -> None:
        save_process_output(
            {item.name: item.lines for item in self.launcher.processes.values()}
        )

    async def __aexit__(self, kind: type[BaseException] | None, *_: object) -> None:
        if kind is not None:
            self._save_process_output()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.launcher.__aexit__()

    async def _start(self) -> None:
        launcher = self.launcher
        self.log = await launcher.start_standin("log", "log", *self.log_options)
        await self._add_proxy("log", self.log.ports["port"])
        self.service = await launcher.start_standin("service", "service")
        await self._add_proxy("service", self.service.ports["port"])
        for number in range(self.n_engines):
            engine = await launcher.start_standin(
                f"engine-{number}", "engine", *self.engine_options
            )
            self.engines.append(engine)
            await self._add_proxy(engine.name, engine.ports["port"])
        names = [f"host-{number}" for number in range(self.n_hosts)]
        self.hosts = list(
            await asyncio.gather(*(self.start_host(name) for name in names))
        )
        await self.publish(
            "10-base.toml",
            make_config(
                [self.proxies[engine.name].url for engine in self.engines],
                [self.proxies["service"].url],
                tokens=self.tokens,
            )
            + self.extra_config,
        )
        await poll_until(self.is_ready, "the fleet to be ready")

    async def start_host(self, name: str) -> RunningProcess:
        """Start one more host behind a proxy, with its own source address."""
        number = int(name.rsplit("-", 1)[1])
        proxy = await self._add_proxy(name, 0)
        proxy.upstream_address = get_address(name)
        host = await self.launcher.start_host(
            name,
            self.data_centers[number % len(self.data_centers)],
            log_url=self.proxies["log"].url,
            address=get_address(name),
            advertised_peer_url=f"ws://127.0.0.1:{proxy.port}",
            **self.host_settings,
        )
        proxy.upstream_port = host.ports["peer_port"]
        return host

    async def _add_proxy(self, name: str, port: int) -> FaultProxy:
        proxy = FaultProxy(upstream_port=port)
        await proxy.start()
        self.proxies[name] = proxy
        return proxy

    def cut(self, sources: list[RunningProcess], names: list[str]) -> None:
        """Block all traffic of hosts through the named proxies, both ways."""
        for name in names:
            self.proxies[name].cut(*(get_address(host.name) for host in sources))

    def cut_network_between(
        self, side: list[RunningProcess], other: list[RunningProcess]
    ) -> None:
        """Block all traffic between two groups of hosts."""
        self.cut(side, [host.name for host in other])
        self.cut(other, [host.name for host in side])

    def heal(self) -> None:
        """Let all traffic pass again."""
        for proxy in self.proxies.values():
            proxy.heal()

    async def publish(self, name: str, content: str, operation: str = "publish") -> Any:
        """Publish a configuration file through the first host."""
        return await self.launcher.post_json(
            f"{self.hosts[0].operator_url}/config/publish",
            {"operation": f"{operation}-{name}", "name": name, "content": content},
        )

    async def is_ready(self) -> bool:
        """Return whether every host serves and knows all accounts and peers."""
        for host in self.hosts:
            status = await self.launcher.get_json(f"{host.operator_url}/status")
            if status["phase"] != "serving" or status["revision"] < 0:
                return False
            known = await self.launcher.get_json(f"{host.operator_url}/hosts")
            if sum(entry["live"] for entry in known) < len(self.hosts):
                return False
            if len(await self.launcher.get_json(f"{host.operator_url}/budgets")) < 2:
                return False
        return True

    async def get_budget(
        self, host: RunningProcess, name: str = "brest"
    ) -> dict[str, Any]:
        """Return a budget as a host's operator API reports it."""
        budgets = await self.launcher.get_json(f"{host.operator_url}/budgets")
        return next(item for item in budgets if item["name"] == name)

    async def list_executed_requests(
        self, engine: RunningProcess | None = None
    ) -> list[dict[str, Any]]:
        """Return the requests on the meter of one engine, or of all engines."""
        meters = [
            await self.launcher.get_json(f"{item.url}/meter")
            for item in ([engine] if engine else self.engines)
        ]
        return [request for meter in meters for request in meter["requests"]]

    async def wait_for_spend(
        self,
        tokens: int,
        *,
        name: str = "brest",
        hosts: list[RunningProcess] | None = None,
    ) -> None:
        """Wait until hosts report a number of tokens as spent from a budget."""
        shown: list[int] = []

        async def is_shown() -> bool:
            budgets = [
                await self.get_budget(host, name) for host in hosts or self.hosts
            ]
            shown[:] = [budget["spent"] for budget in budgets]
            return all(spent == tokens for spent in shown)

        try:
            await poll_until(is_shown, f"{name} to show {tokens} spent", 15.0)
        except LaunchError as error:
            raise AssertionError(f"spent {shown}, expected {tokens}") from error

    async def get_pool(self, host: RunningProcess, account: str) -> Any:
        """Return a host's state of its draws on an account, if it has any."""
        state = await self.launcher.get_json(f"{host.operator_url}/state")
        return state["BudgetController"]["pools"].get(account)

    async def count_executed_tokens(self) -> int:
        """Return the number of tokens on the meters of all engines."""
        meters = [
            await self.launcher.get_json(f"{engine.url}/meter")
            for engine in self.engines
        ]
        return sum(meter["tokens"] for meter in meters)

    async def get_ledger(self, host: RunningProcess) -> dict[str, Any]:
        """Return a host's folded state of the first ledger stream."""
        state = await self.launcher.get_json(f"{host.operator_url}/state")
        return dict(state["blackboard"]["ledgers"]["0"])

    async def list_engine_requests(
        self, engine: RunningProcess
    ) -> list[dict[str, Any]]:
        """Return the requests on an engine's meter."""
        meter = await self.launcher.get_json(f"{engine.url}/meter")
        return list(meter["requests"])

    async def count_refused(self, engine: RunningProcess) -> int:
        """Return the number of requests that an engine has refused."""
        meter = await self.launcher.get_json(f"{engine.url}/meter")
        return int(meter["n_refused"])

    async def list_power_changes(self) -> list[tuple[float, int]]:
        """Return the changes of the engines' total watts as (time, new total)."""
        changes: list[tuple[float, int]] = []
        for engine in self.engines:
            meter = await self.launcher.get_json(f"{engine.url}/meter")
            before = 0
            for change in meter["timeline"]:
                changes.append((change["at"], change["watts"] - before))
                before = change["watts"]
        total = 0
        power: list[tuple[float, int]] = []
        for at, difference in sorted(changes):
            total += difference
            power.append((at, total))
        return power

    async def list_effects(self) -> list[dict[str, Any]]:
        """Return the effects on the service's meter."""
        meter = await self.launcher.get_json(f"{self.service.url}/meter")
        return list(meter["effects"])

    async def chat(
        self,
        host: RunningProcess,
        *,
        max_tokens: int = 10,
        stream: bool = False,
        secret: str = SECRET,
        headers: dict[str, str] | None = None,
        text: str = "Which line holds in force six?",
    ) -> CallerAnswer:
        """Send a chat request and read its whole answer."""
        body = {
            "model": "assistant",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return await self.call(
            host, "/v1/chat/completions", body, secret=secret, headers=headers
        )

    async def book(
        self,
        host: RunningProcess,
        key: str,
        *,
        operation: str = "confirm",
        method: str = "POST",
        secret: str = SECRET,
    ) -> CallerAnswer:
        """Call an operation of the booking service with an idempotency key."""
        return await self.call(
            host,
            f"/services/booking/{operation}",
            {"strip": 7},
            secret=secret,
            headers={"Idempotency-Key": key},
            method=method,
        )

    async def control_standin(self, standin: RunningProcess, **orders: object) -> None:
        """Set a stand-in's speed and faults; settings that are not named are reset."""
        answer = await self.launcher.post_json(f"{standin.url}/control", orders)
        assert answer == {"ok": True}, answer

    async def get_intent(self, host: RunningProcess, key: str) -> dict[str, Any] | None:
        """Return the state of a booking's intent as a host has folded it."""
        state = await self.launcher.get_json(f"{host.operator_url}/state")
        digest = hash_idempotency_key("brest-school", key)
        for ledger in state["blackboard"]["ledgers"].values():
            if digest in ledger["intents"]:
                return dict(ledger["intents"][digest])
        return None

    def find_key_with_home(self, home: RunningProcess) -> str:
        """Return an idempotency key that has the given host as its home."""
        names = [host.name for host in self.hosts]
        for number in itertools.count():
            key = f"briefing-{number}"
            digest = hash_idempotency_key("brest-school", key)
            if rank_by_rendezvous(digest, names)[0] == home.name:
                return key
        raise AssertionError("no key has this host as its home")

    async def call(
        self,
        host: RunningProcess,
        path: str,
        body: object,
        *,
        secret: str = SECRET,
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> CallerAnswer:
        """Send a JSON request as a caller and read the whole answer."""
        async with self.launcher.session.request(
            method,
            f"{host.caller_url}{path}",
            json=body,
            headers={"Authorization": f"Bearer {secret}", **(headers or {})},
        ) as response:
            return CallerAnswer(
                status=response.status,
                body=await response.read(),
                headers=dict(response.headers),
            )


def get_address(name: str) -> str:
    """Return a host's loopback address, by which the proxies identify it."""
    return f"127.0.1.{int(name.rsplit('-', 1)[1]) + 1}"


def pack_state(adapter: TypeAdapter[Any], state: Any) -> PackedState:
    """Return a state as a host packs it into a checkpoint."""
    dumped = dump_state(adapter, state, state.next_offset)
    return asyncio.run(compress_state(dumped))


def read_first_column(page: str, heading: str) -> list[str]:
    """Return the first column of the table under a heading of a document."""
    text = (ROOT / "docs" / page).read_text()
    section = text.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    cells = re.findall(r"(?m)^\| (`[^|]+`) \|", section)
    return [word for cell in cells for word in re.findall(r"`([^`]+)`", cell)]
