"""Start the processes of a scenario and apply its faults."""

import asyncio
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Self

from bench.scenario import FaultKind, FaultTable, Scenario, Setting, WorkspaceTable
from standins.launcher import Launcher, LaunchError, RunningProcess, poll_until
from standins.proxy import FaultProxy

READY_TIMEOUT_S = 60.0
BASE_FILE = "10-bench.toml"
WORKSPACES_PER_FILE = 500
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Describe one workspace of a scenario: its budget, its key and its load."""

    name: str
    budget: str
    secret: str
    load: WorkspaceTable


def list_workspaces(scenario: Scenario) -> list[Workspace]:
    """Return every workspace of a scenario; each table describes `count` workspaces."""
    return [
        Workspace(
            name=f"{table.name}-{number}",
            budget=table.name if table.shared_budget else f"{table.name}-{number}",
            secret=f"key-of-{table.name}-{number}",
            load=table,
        )
        for table in scenario.workspaces
        for number in range(table.count)
    ]


def render_base_file(scenario: Scenario, engine_urls: list[str]) -> str:
    """Return a configuration file with the site, the model and the targets."""
    engines = scenario.engines
    lines = [
        f'[sites.main]\ndata_center = "{scenario.data_centers[0]}"',
        f"ceiling_watts = {scenario.ceiling_watts}",
        "[models.assistant]\nprompt_bytes_per_token = 4\nmax_output_tokens = 4096",
    ]
    for number, url in enumerate(engine_urls):
        lines += [
            f'[targets.engine-{number}]\nmodel = "assistant"\nsite = "main"',
            f'url = "{url}"\nmax_concurrent = {engines.max_running}',
            f"idle_watts = {engines.idle_watts}",
            f"watts_per_request = {engines.watts_per_request}",
            "checks_fencing = true\nfences_cancelled = true",
        ]
    return "\n".join(lines) + "\n"


def render_workspaces_file(workspaces: Sequence[Workspace]) -> str:
    """Return a configuration file with workspaces and their budgets."""
    lines: list[str] = []
    budgets: set[str] = set()
    for item in workspaces:
        digest = hashlib.sha256(item.secret.encode()).hexdigest()
        lines += [
            f'[workspaces.{item.name}]\nbudget = "{item.budget}"',
            f'priority = {item.load.priority}\nkey_sha256 = ["{digest}"]',
        ]
        if item.budget not in budgets:
            budgets.add(item.budget)
            lines += [
                f"[budgets.{item.budget}]\ntokens = {item.load.tokens}",
                f'preference = "{item.load.preference}"',
            ]
    return "\n".join(lines) + "\n"


@dataclass(kw_only=True, slots=True)
class BenchFleet:
    """Start and stop the processes and proxies of one run.

    `prepaid_tokens` is each budget's limit including top-ups; `top_ups` lists the
    accepted ones as (wall-clock seconds, budget, tokens).
    """

    scenario: Scenario
    settings: dict[str, Setting]
    launcher: Launcher = field(default_factory=Launcher)
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    engines: list[RunningProcess] = field(default_factory=list)
    hosts: dict[str, RunningProcess] = field(default_factory=dict)
    log: RunningProcess = field(init=False)
    n_hosts_started: int = 0
    prepaid_tokens: dict[str, int] = field(default_factory=dict)
    top_ups: list[tuple[float, str, int]] = field(default_factory=list)

    async def __aenter__(self) -> Self:
        await self.launcher.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies.values()))
        await self.launcher.__aexit__()

    async def _start(self) -> None:
        launcher = self.launcher
        scenario = self.scenario
        self.log = await launcher.start_standin("log", "log")
        await self.control_log(down=False)
        await self._add_proxy("log", self.log.ports["port"])
        for number in range(scenario.engines.count):
            await self._start_engine(number)
        await asyncio.gather(*(self.start_host() for _ in range(scenario.n_hosts)))
        urls = [engine.url for engine in self.engines]
        await self._publish_initial_file(BASE_FILE, render_base_file(scenario, urls))
        workspaces = list_workspaces(scenario)
        for start in range(0, len(workspaces), WORKSPACES_PER_FILE):
            part = workspaces[start : start + WORKSPACES_PER_FILE]
            name = f"20-workspaces-{start:05}.toml"
            await self._publish_initial_file(name, render_workspaces_file(part))
        for item in workspaces:
            self.prepaid_tokens[item.budget] = item.load.tokens
        await poll_until(self._is_ready, "the fleet to be ready", READY_TIMEOUT_S)

    async def _publish_initial_file(self, name: str, content: str) -> None:
        verdict = await self.publish(name, content)
        if not verdict["accepted"]:
            raise LaunchError(f"configuration rejected: {verdict}")

    async def _start_engine(self, number: int) -> None:
        table = self.scenario.engines
        options = [
            "--tokens-per-s",
            str(table.tokens_per_s),
            "--max-running",
            str(table.max_running),
            "--idle-watts",
            str(table.idle_watts),
            "--watts-per-request",
            str(table.watts_per_request),
            "--checks-fencing",
        ]
        for key, value in table.options.items():
            options += [f"--{key.replace('_', '-')}", str(value)]
        name = f"engine-{number}"
        self.engines.append(await self.launcher.start_standin(name, "engine", *options))

    async def start_host(self) -> RunningProcess:
        """Start a host behind a proxy, with its own source address for cuts."""
        number = self.n_hosts_started
        self.n_hosts_started += 1
        name = f"host-{number}"
        address = f"127.0.{2 + number // 250}.{1 + number % 250}"
        proxy = await self._add_proxy(name, 0)
        proxy.upstream_address = address
        centers = self.scenario.data_centers
        host = await self.launcher.start_host(
            name,
            centers[number % len(centers)],
            log_url=self.proxies["log"].url,
            address=address,
            advertised_peer_url=f"ws://127.0.0.1:{proxy.port}",
            **{**self.scenario.settings, **self.settings},
        )
        proxy.upstream_port = host.ports["peer_port"]
        self.hosts[name] = host
        return host

    async def _add_proxy(self, name: str, port: int) -> FaultProxy:
        proxy = FaultProxy(upstream_port=port)
        await proxy.start()
        self.proxies[name] = proxy
        return proxy

    async def _is_ready(self) -> bool:
        n_budgets = len(self.prepaid_tokens)
        answers = await asyncio.gather(
            *(self._is_host_ready(host, n_budgets) for host in self.hosts.values())
        )
        return all(answers)

    async def _is_host_ready(self, host: RunningProcess, n_budgets: int) -> bool:
        status = await self.launcher.get_json(f"{host.operator_url}/status")
        if status["phase"] != "serving" or status["revision"] < 0:
            return False
        budgets = await self.launcher.get_json(f"{host.operator_url}/budgets")
        return len(budgets) >= n_budgets

    async def control_log(self, *, down: bool) -> None:
        """Take the log down or bring it up, and set its rate of appends."""
        body = {"down": down, "appends_per_s": self.scenario.appends_per_s}
        await self.launcher.post_json(f"{self.log.url}/control", body)

    async def publish(self, name: str, content: str) -> Any:
        """Publish a configuration file through the oldest running host."""
        host = next(iter(self.hosts.values()))
        return await self.launcher.post_json(
            f"{host.operator_url}/config/publish",
            {
                "operation": f"bench-{name}-{self.n_hosts_started}",
                "name": name,
                "content": content,
            },
        )

    async def apply_fault(self, fault: FaultTable, now: float) -> None:
        """Apply one fault; `now` is in wall-clock seconds."""
        match fault.kind:
            case FaultKind.KILL_HOST | FaultKind.REPLACE_HOST:
                await self._kill_oldest_host()
                if fault.kind is FaultKind.REPLACE_HOST:
                    await self.start_host()
            case FaultKind.CUT_DATA_CENTER:
                self._cut_data_center(fault.data_center)
            case FaultKind.HEAL:
                for proxy in self.proxies.values():
                    proxy.heal()
            case FaultKind.LOG_DOWN | FaultKind.LOG_UP:
                await self.control_log(down=fault.kind is FaultKind.LOG_DOWN)
            case FaultKind.ENGINE:
                url = f"{self.engines[fault.engine].url}/control"
                await self.launcher.post_json(url, fault.control)
            case _:
                await self._change_configuration(fault, now)

    async def _change_configuration(self, fault: FaultTable, now: float) -> None:
        if fault.kind is FaultKind.TOP_UP:
            await self._top_up(fault, now)
            return
        content = fault.content
        if fault.kind is FaultKind.CEILING:
            content = f"[sites.main]\nceiling_watts = {fault.amount}\n"
        await self.publish(f"50-at-{int(fault.at_s * MS_PER_S):06}.toml", content)

    async def _kill_oldest_host(self) -> None:
        name = next(iter(self.hosts))
        del self.hosts[name]
        await self.launcher.kill(name)

    def _cut_data_center(self, data_center: str) -> None:
        centers = self.scenario.data_centers
        cut_hosts = {
            name
            for name in self.hosts
            if centers[int(name.rsplit("-", 1)[1]) % len(centers)] == data_center
        }
        for name, host in self.hosts.items():
            unreachable_hosts = (
                self.hosts.keys() - cut_hosts if name in cut_hosts else cut_hosts
            )
            for unreachable_host in unreachable_hosts:
                self.proxies[unreachable_host].cut(host.address)
            if name in cut_hosts:
                self.proxies["log"].cut(host.address)

    async def _top_up(self, fault: FaultTable, now: float) -> None:
        body = {"operation": f"bench-top-up-{fault.at_s}", "amount": fault.amount}
        for host in self.hosts.values():
            url = f"{host.operator_url}/budgets/{fault.budget}/top-up"
            verdict = await self.launcher.post_json(url, body)
            if verdict["accepted"]:
                self.prepaid_tokens[fault.budget] += fault.amount
                self.top_ups.append((now, fault.budget, fault.amount))
                return
