"""Provide the command line of the daemon, trefoilstaged."""

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import uvloop

from trefoilstage.exceptions import HostCrashedError, SettingsError
from trefoilstage.helpers.events import set_up_event_log
from trefoilstage.host import Host
from trefoilstage.settings import HostSettings, load_settings
from trefoilstage.util.startup import enable_garbage_collector

EXIT_CRASHED = 1
EXIT_BAD_SETTINGS = 2


@cappa.command(name="trefoilstaged")
@dataclass(kw_only=True)
class Daemon:
    """Run one host of the fleet until it receives a signal to stop."""

    settings: Annotated[Path, cappa.Arg(long=True, help="the host's TOML settings")]


async def run_host(settings: HostSettings) -> None:
    """Run a host until a signal or an operator requests a drain."""
    host = Host(settings=settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, host.drain_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, host.write_state_dump)
    try:
        await host.start()
        enable_garbage_collector()
        await host.run()
    finally:
        await host.stop()


def main() -> None:
    """Parse the command line and run the daemon."""
    arguments = cappa.parse(Daemon)
    set_up_event_log()
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        uvloop.run(run_host(settings))
    except (HostCrashedError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_CRASHED)
