"""Fleet of forwarding hosts, as processes, with stand-ins for the platform."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from typing import Self

import aiohttp
from aiohttp import web

from standins.keyed_store import KeyedStore
from standins.launcher import poll_until
from standins.platform import (
    LOOPBACK,
    N_SLOTS,
    StoreServer,
    encode_configuration,
    encode_target,
    start_app,
)
from standins.platform_target import PlatformTarget
from standins.proxy import CutMode, FaultProxy
from tests.saved_output import save_process_output
from trefoilstage.components.views.store import Topic
from trefoilstage.util.stalls import StallDetector

# A test with a smaller budget tests the budget, so it gets no warm-up requests.
MIN_WARM_UP_PREPAID_TOKENS = 1_000_000
HTTP_OK = 200
N_CALLS_KEPT = 1_000
STALL_CHECK_S = 0.05
DATA_CENTER = "brest"
COLD_RATE_FACTOR = 1.5
COLD_RATE_SLACK = 5.0  # requests
ROOT = Path(__file__).parent.parent.parent


@dataclass(kw_only=True, slots=True)
class HostProcess:
    """Describe a running host and its log lines."""

    name: str
    store_server: StoreServer
    process: asyncio.subprocess.Process
    stopped_at: float = float("inf")  # by the first SIGTERM, if the test says so
    caller_port: int = 0
    ready_port: int = 0
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    async def read_lines(self) -> None:
        """Collect the host's log lines until it exits."""
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            self.lines.append(line.decode().rstrip())

    def has_logged(self, *texts: str) -> bool:
        """Return whether one log line contains all texts."""
        return any(all(text in line for text in texts) for line in self.lines)

    def list_times(self, text: str) -> list[float]:
        """Return the times, in seconds, of the log lines that contain a text."""
        lines = [line for line in self.lines if text in line]
        return [float(line.split()[0].partition("=")[2]) for line in lines]

    def find_port(self, name: str) -> int:
        """Return a port that the host has logged, or 0 if it has not."""
        for line in self.lines:
            for word in line.split():
                if word.startswith(f"{name}="):
                    return int(word.partition("=")[2])
        return 0


@dataclass(kw_only=True, slots=True)
class FleetAnswer:
    """Describe an answer as its caller received it.

    `is_whole` is false if the connection broke before the end of the answer.
    """

    status: int
    body: bytes
    headers: dict[str, str]
    is_whole: bool


@dataclass(kw_only=True, slots=True)
class PlatformFleet:
    """Run the hosts, the targets and the store of one test."""

    n_hosts: int = 1
    n_targets: int = 2
    n_versions: int = 1  # of the targets' software, side by side
    prepaid: int = 1_000_000
    grace_s: int = 8
    store: KeyedStore = field(default_factory=KeyedStore)
    targets: list[PlatformTarget] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    runners: list[web.AppRunner] = field(default_factory=list)
    folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )
    n_requests: int = 0
    # The newest calls, with times of the same clock as in the hosts' logs.
    recent_calls: deque[str] = field(default_factory=lambda: deque(maxlen=N_CALLS_KEPT))
    # When this process did not run, from and to, by the steady clock.
    stalls: list[tuple[float, float]] = field(default_factory=list)
    stall_watcher: asyncio.Task[None] = field(init=False)
    # Whether there is a fault-injecting proxy between each host and the store.
    use_proxies: bool = False
    proxies: dict[str, FaultProxy] = field(default_factory=dict)
    # Whether there is a fault-injecting proxy between each host and each target.
    use_target_proxies: bool = False
    target_proxies: dict[str, list[FaultProxy]] = field(default_factory=dict)
    cut_hosts: set[str] = field(default_factory=set)  # from all targets
    stopped_targets: set[int] = field(default_factory=set)
    unlisted_targets: set[int] = field(default_factory=set)
    # Of targets, by number, that are not in the hosts' data centre.
    target_data_centers: dict[int, str] = field(default_factory=dict)
    # Requests a second that a cold target tolerates; without it, no limit is set.
    cold_requests_per_s: float | None = None
    cold_until: dict[int, float] = field(default_factory=dict)  # targets, by number
    contracts: str = ""  # of the platform's settings; empty for none
    host_settings: Mapping[str, object] = field(default_factory=dict)  # more of them
    n_slots: int = N_SLOTS  # of each target
    engine: dict[str, object] = field(default_factory=dict)  # more of its fields
    more_tenants: list[dict[str, object]] = field(default_factory=list)

    async def _watch_stalls(self) -> None:
        """Record stalls of this process, in which the callers and targets run."""
        detector = StallDetector(interval_s=STALL_CHECK_S)
        while True:
            tick_due_at = time.monotonic() + STALL_CHECK_S
            stall = detector.record_tick(time.monotonic(), time.process_time())
            if stall is not None:
                self.recent_calls.append(f"{time.time():.6f} {stall}")
            await asyncio.sleep(STALL_CHECK_S)
            self.stalls.append((tick_due_at, time.monotonic()))

    async def __aenter__(self) -> Self:
        # unittest runs its loop in debug mode, which records a stack for each task and
        # handle. The targets, the store and the callers run on this loop: on a busy
        # machine a target's events were up to 1 s late and exceeded the caller's limit.
        asyncio.get_running_loop().set_debug(False)
        self.stall_watcher = asyncio.create_task(self._watch_stalls())
        for number in range(self.n_targets):
            target = PlatformTarget(
                name=f"i-{number}", version=f"v{number % self.n_versions + 1}"
            )
            runner, port = await start_app(target.make_app())
            self.runners.append(runner)
            self.targets.append(target)
            self.ports.append(port)
            await self.write_target(number)
        await self.write_configuration(1)
        await asyncio.gather(
            *(self.start_host(f"host-{number}") for number in range(self.n_hosts))
        )
        if self.n_hosts == 1 and self.prepaid >= MIN_WARM_UP_PREPAID_TOKENS:
            await self.wait_for_grants()
        return self

    async def wait_for_grants(self) -> None:
        """Send requests until the host has tokens to hold for them.

        A single host is its own home, and adds itself to those that get grants only
        when it first asks for one. On a busy machine that takes longer than a request
        waits.
        """
        while (await self.call("/stream/x")).status != HTTP_OK:
            pass
        for target in self.targets:
            target.runs.clear()
        self.n_requests = 0

    async def __aexit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self.stall_watcher.cancel()
        hosts = list(self.hosts.values())
        for host in hosts:
            await self.kill(host.name)
        if kind is not None:
            lines = {host.name: host.lines for host in hosts}
            save_process_output({**lines, "callers": list(self.recent_calls)})
        target_proxies = chain.from_iterable(self.target_proxies.values())
        for proxy in [*self.proxies.values(), *target_proxies]:
            await proxy.stop()
        for runner in self.runners:
            await runner.cleanup()
        self.folder.cleanup()

    async def write_target(self, number: int, *, state: str = "ready") -> None:
        """Write a target's entry to the store."""
        value = encode_target(
            self.ports[number],
            state=state,
            data_center=self.target_data_centers.get(number, DATA_CENTER),
            cold_s=max(0.0, self.cold_until.get(number, 0.0) - time.monotonic()),
            version=self.targets[number].version,
            started_at_ms=self.targets[number].started_at_ms,
            slots=self.n_slots,
        )
        is_listed = number not in self.unlisted_targets
        name = self.targets[number].name
        await self.store.put(Topic.TARGETS, name, value if is_listed else None)

    async def write_configuration(
        self,
        version: int,
        limits: Mapping[str, object] | None = None,
        route_changes: Mapping[str, Mapping[str, object] | None] | None = None,
    ) -> None:
        """Write a version of the configuration to the store."""
        value = encode_configuration(
            version,
            prepaid=self.prepaid,
            cold_requests_per_s=self.cold_requests_per_s,
            engine={"slots": self.n_slots, **self.engine},
            more_tenants=self.more_tenants,
            limits=limits,
            route_changes=route_changes,
        )
        await self.store.put(Topic.CONFIGURATION, "config", value)

    async def evacuate(self, data_center: str) -> None:
        """Tell the hosts to send nothing more to the targets of a data centre."""
        await self.store.put(Topic.CONFIGURATION, f"evacuate/{data_center}", b"{}")

    async def end_evacuation(self, data_center: str) -> None:
        """Let the hosts use the targets of a data centre again."""
        await self.store.put(Topic.CONFIGURATION, f"evacuate/{data_center}", None)

    async def start_host(self, name: str, *, caller_port: int = 0) -> HostProcess:
        """Start a host and wait until it is ready and has listed all targets."""
        host = await self.launch_host(name, caller_port=caller_port)
        await poll_until(
            lambda: (
                host.has_logged("host_ready")
                and all(
                    host.has_logged("target_listed", target.name)
                    for number, target in enumerate(self.targets)
                    if number not in self.unlisted_targets
                )
            ),
            f"{name} to be ready",
        )
        host.caller_port = host.find_port("caller_port")
        host.ready_port = host.find_port("ready_port")
        return host

    async def launch_host(self, name: str, *, caller_port: int) -> HostProcess:
        """Launch a host's process."""
        target_ports = await self._put_target_proxies(name)
        store_server = StoreServer(store=self.store, target_ports=target_ports)
        runner, port = await start_app(store_server.make_app())
        self.runners.append(runner)
        if self.use_proxies:
            port = await self._put_proxy(name, port)
        path = Path(self.folder.name) / f"{name}.conf"
        path.write_text(
            f"node_name={name}\nzone={DATA_CENTER}\nlisten.front={LOOPBACK}:{caller_port}\n"
            f"listen.ready={LOOPBACK}:0\ninternal_ports=0,0\n"
            f"platform.address={LOOPBACK}:{port}\nplatform.parts=3\n"
            f"bounds.grace_s={self.grace_s}\n"
            f"bounds.cold_over={COLD_RATE_FACTOR}\n"
            f"bounds.cold_slack={COLD_RATE_SLACK}\n"
            + (f"contracts={self.contracts}\n" if self.contracts else "")
            + "".join(f"{name}={value}\n" for name, value in self.host_settings.items())
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "trefoilstage.platform",
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "TREFOILSTAGE_CONFIG": str(path)},
            cwd=ROOT,
        )
        host = HostProcess(name=name, store_server=store_server, process=process)
        host.reader = asyncio.create_task(host.read_lines())
        self.hosts[name] = host
        return host

    async def _put_proxy(self, name: str, port: int) -> int:
        if name in self.proxies:
            await self.proxies[name].stop()
        proxy = FaultProxy(upstream_port=port)
        await proxy.start()
        self.proxies[name] = proxy
        return proxy.port

    async def _put_target_proxies(self, name: str) -> dict[int, int]:
        """Return the ports at which a host reaches the targets, by target's port."""
        if not self.use_target_proxies:
            return {}
        if name not in self.target_proxies:
            proxies = [FaultProxy(upstream_port=port) for port in self.ports]
            for proxy in proxies:
                await proxy.start()
            self.target_proxies[name] = proxies
        return {proxy.upstream_port: proxy.port for proxy in self.target_proxies[name]}

    async def stop_target_proxies(self, number: int) -> None:
        """Refuse all hosts' connections to a target that is down."""
        self.stopped_targets.add(number)
        for proxies in self.target_proxies.values():
            await proxies[number].stop()

    async def start_target_proxies(self, number: int) -> None:
        """Let the hosts that are not cut connect to a target again."""
        self.stopped_targets.discard(number)
        for name, proxies in self.target_proxies.items():
            if name not in self.cut_hosts:
                await proxies[number].start()

    async def cut_from_targets(self, name: str, mode: CutMode) -> None:
        """Cut a host's links to all targets."""
        self.cut_hosts.add(name)
        for proxy in self.target_proxies[name]:
            if mode is CutMode.HANG:
                proxy.hang()
            elif mode is CutMode.RESET:
                await proxy.stop()
            else:
                proxy.stop_listening()

    async def reconnect_to_targets(self, name: str) -> None:
        """Restore a host's links to the targets."""
        self.cut_hosts.discard(name)
        for number, proxy in enumerate(self.target_proxies[name]):
            proxy.heal()
            if number not in self.stopped_targets:
                await proxy.start()

    async def kill(self, name: str) -> None:
        """Kill a host with SIGKILL and wait until it has exited."""
        host = self.hosts.pop(name)
        if host.process.returncode is None:
            host.process.send_signal(signal.SIGKILL)
        await host.process.wait()
        if host.reader is not None:
            await host.reader

    async def call(
        self,
        path: str,
        *,
        host: str = "host-0",
        method: str = "POST",
        tokens: tuple[int, int] | None = None,
        key: str = "key",
        attempt: str = "",
        body: bytes = b"{}",
        more_headers: Mapping[str, str] | None = None,
    ) -> FleetAnswer:
        """Send a request as a caller does, with an API key and an attempt id."""
        self.n_requests += 1
        number, began = self.n_requests, time.time()
        outcome = "no answer"
        try:
            answer = await self._call(
                path, host, method, tokens, key, attempt, body, more_headers or {}
            )
            outcome = f"{answer.status} whole={answer.is_whole}"
            return answer
        except aiohttp.ClientError as error:
            outcome = repr(error)
            raise
        finally:
            self.recent_calls.append(
                f"attempt-{number} {method} {path} {host} began={began:.6f} "
                f"ended={time.time():.6f} {outcome}"
            )

    async def _call(
        self,
        path: str,
        host: str,
        method: str,
        tokens: tuple[int, int] | None,
        key: str,
        attempt: str,
        sent: bytes,
        more_headers: Mapping[str, str],
    ) -> FleetAnswer:
        # Only model calls spend tokens.
        default = (100, 10) if path.startswith("/stream") else (0, 0)
        n_prompt, n_output = tokens or default
        headers = {
            "Host": "club.example",
            "Attempt-Id": attempt or f"attempt-{self.n_requests}",
            "Deadline-Ms": "5000",
            "Key": key,
            "Token-Count": f"{n_prompt},{n_output}",
            "Prompt-Prefix": f"aa:50,{self.n_requests:x}:50",
            **more_headers,
        }
        url = f"http://{LOOPBACK}:{self.hosts[host].caller_port}{path}"
        body = b""
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, headers=headers, data=sent) as response,
        ):
            is_whole = True
            try:
                async for data in response.content.iter_any():
                    body += data
            except aiohttp.ClientError:
                is_whole = False
            return FleetAnswer(
                status=response.status,
                body=body,
                headers=dict(response.headers),
                is_whole=is_whole,
            )

    def count_runs(self) -> int:
        """Return how many requests the targets have run."""
        return sum(len(target.runs) for target in self.targets)
