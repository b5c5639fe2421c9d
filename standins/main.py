"""Command line that runs one stand-in as a process."""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa

from standins.common import serve_app
from standins.engine import EngineStandin
from standins.engine_models import EngineControl, EngineOptions
from standins.hosts import HostsControl, HostsStandin
from standins.log import LogStandin
from standins.service import ServiceStandin

LOOPBACK = "127.0.0.1"


@cappa.command(name="log")
@dataclass(kw_only=True)
class LogCommand:
    """Run the stand-in for the platform's log."""

    port: Annotated[int, cappa.Arg(long=True)] = 0
    retention: Annotated[int | None, cappa.Arg(long=True)] = None

    def __call__(self) -> None:
        """Serve."""
        app = LogStandin(retention=self.retention).make_app()
        asyncio.run(serve_app(app, name="log", address=LOOPBACK, port=self.port))


@cappa.command(name="hosts")
@dataclass(kw_only=True)
class HostsCommand:
    """Run the stand-in for the platform's list of hosts."""

    port: Annotated[int, cappa.Arg(long=True)] = 0
    lag_s: Annotated[float, cappa.Arg(long=True)] = 1.0
    silent_s: Annotated[float, cappa.Arg(long=True)] = 10.0

    def __call__(self) -> None:
        """Serve."""
        control = HostsControl(lag_s=self.lag_s, silent_s=self.silent_s)
        app = HostsStandin(control=control).make_app()
        asyncio.run(serve_app(app, name="hosts", address=LOOPBACK, port=self.port))


@cappa.command(name="engine")
@dataclass(kw_only=True)
class EngineCommand:
    """Run the stand-in for a model engine."""

    port: Annotated[int, cappa.Arg(long=True)] = 0
    tokens_per_s: Annotated[float, cappa.Arg(long=True)] = 200.0
    prompt_tokens_per_s: Annotated[float, cappa.Arg(long=True)] = 20_000.0
    batch_slowdown: Annotated[float, cappa.Arg(long=True)] = 0.0
    max_running: Annotated[int, cappa.Arg(long=True)] = 32
    idle_watts: Annotated[int, cappa.Arg(long=True)] = 0
    watts_per_request: Annotated[int, cappa.Arg(long=True)] = 0
    checks_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    forgets_cancels: Annotated[bool, cappa.Arg(long=True)] = False
    keep_running: Annotated[bool, cappa.Arg(long=True)] = False
    cache_blocks: Annotated[int, cappa.Arg(long=True)] = 4096

    def __call__(self) -> None:
        """Serve."""
        control = EngineControl(
            tokens_per_s=self.tokens_per_s,
            prompt_tokens_per_s=self.prompt_tokens_per_s,
            batch_slowdown=self.batch_slowdown,
            max_running=self.max_running,
            keep_running=self.keep_running,
        )
        options = EngineOptions(
            idle_watts=self.idle_watts,
            watts_per_request=self.watts_per_request,
            checks_fencing=self.checks_fencing,
            forgets_cancels=self.forgets_cancels,
            cache_blocks=self.cache_blocks,
        )
        app = EngineStandin(control=control, options=options).make_app()
        asyncio.run(serve_app(app, name="engine", address=LOOPBACK, port=self.port))


@cappa.command(name="service")
@dataclass(kw_only=True)
class ServiceCommand:
    """Run the stand-in for a plain HTTP service."""

    port: Annotated[int, cappa.Arg(long=True)] = 0

    def __call__(self) -> None:
        """Serve."""
        app = ServiceStandin().make_app()
        asyncio.run(serve_app(app, name="service", address=LOOPBACK, port=self.port))


@cappa.command(name="trefoilstage-standin")
@dataclass(kw_only=True)
class Standin:
    """Run one of the stand-ins for outside systems."""

    command: cappa.Subcommands[
        LogCommand | HostsCommand | EngineCommand | ServiceCommand
    ]


def main() -> None:
    """Parse the command line and run a stand-in."""
    cappa.invoke(Standin)
