"""Start and stop a fleet and its stand-ins as processes on loopback."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import aiohttp

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
CONDITION_TIMEOUT_S = 30.0
POLL_S = 0.02
N_LAST_LINES = 20


class LaunchError(Exception):
    """Indicate that a process did not start or a condition was not met in time."""


@dataclass(kw_only=True, slots=True, eq=False)
class RunningProcess:
    """Describe a started process, its ports and the lines that it wrote."""

    name: str
    process: asyncio.subprocess.Process
    ports: dict[str, int] = field(default_factory=dict)
    address: str = LOOPBACK
    lines: list[str] = field(default_factory=list)
    reader: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Return the URL of a stand-in."""
        return f"http://{self.address}:{self.ports['port']}"

    @property
    def caller_url(self) -> str:
        """Return the URL of a host's caller interface."""
        return f"http://{self.address}:{self.ports['caller_port']}"

    @property
    def operator_url(self) -> str:
        """Return the URL of a host's operator interface."""
        return f"http://{self.address}:{self.ports['operator_port']}"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(number)


class Launcher:
    """Start the processes of one fleet, and kill those that still run at exit."""

    def __init__(self) -> None:
        self.processes: dict[str, RunningProcess] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> Self:
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(self.kill(name) for name in list(self.processes)))
        await self.session.close()
        self._folder.cleanup()

    async def start_standin(
        self, name: str, kind: str, *options: str
    ) -> RunningProcess:
        """Start a stand-in and wait until it has printed its port."""
        return await self._start(name, "standins", kind, *options)

    async def start_host(
        self, name: str, data_center: str, *, log_url: str, **extra: object
    ) -> RunningProcess:
        """Start a host and wait until it has printed its ports."""
        settings = {
            "host": name,
            "data_center": data_center,
            "log_url": log_url,
            **extra,
        }
        path = Path(self._folder.name) / f"{name}.toml"
        lines = [f"{key} = {format_toml(value)}" for key, value in settings.items()]
        path.write_text("\n".join(lines) + "\n")
        host = await self._start(name, "trefoilstage", "--settings", str(path))
        host.address = str(extra.get("address", LOOPBACK))
        return host

    async def _start(self, name: str, module: str, *options: str) -> RunningProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *options,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        running_process = RunningProcess(name=name, process=process)
        running_process.reader = asyncio.create_task(read_lines(running_process))
        self.processes[name] = running_process
        await poll_until(
            lambda: bool(running_process.ports) or process.returncode is not None,
            f"{name} to listen",
        )
        if not running_process.ports:
            await running_process.reader
            last_lines = "\n".join(running_process.lines[-N_LAST_LINES:])
            raise LaunchError(f"{name} exited during startup:\n{last_lines}")
        return running_process

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        running_process = self.processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            running_process.process.kill()
        await running_process.process.wait()
        if running_process.reader is not None:
            await running_process.reader

    async def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminate a process with SIGTERM and return its exit code."""
        running_process = self.processes[name]
        running_process.process.terminate()
        code = await asyncio.wait_for(running_process.process.wait(), timeout_s)
        del self.processes[name]
        return code

    async def get_json(self, url: str) -> Any:
        """Return the JSON at a URL."""
        async with self.session.get(url) as response:
            return await response.json()

    async def post_json(self, url: str, body: object) -> Any:
        """Post JSON and return the JSON answer."""
        async with self.session.post(url, json=body) as response:
            return await response.json()


async def read_lines(running_process: RunningProcess) -> None:
    """Collect a process's stderr lines, and the ports from the first that has any."""
    stream = running_process.process.stderr
    if stream is None:
        return
    async for raw in stream:
        line = raw.decode(errors="replace").rstrip()
        running_process.lines.append(line)
        if not running_process.ports and "port=" in line:
            running_process.ports.update(parse_ports(line))


def parse_ports(line: str) -> dict[str, int]:
    """Return the ports named in a line."""
    pairs = (word.split("=", 1) for word in line.split() if "=" in word)
    return {key: int(value) for key, value in pairs if key.endswith("port")}


def format_toml(value: object) -> str:
    """Return a scalar as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value) if isinstance(value, int | float) else f'"{value}"'


async def poll_until(
    condition: Any, description: str, timeout_s: float = CONDITION_TIMEOUT_S
) -> None:
    """Wait until a condition is true; it may be a coroutine function.

    Raise LaunchError after the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        if loop.time() >= deadline:
            raise LaunchError(
                f"timed out after {timeout_s} s waiting for {description}"
            )
        await asyncio.sleep(POLL_S)
