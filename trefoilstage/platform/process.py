"""Run one host on the platform."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import uvloop

from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.exceptions import SettingsError
from trefoilstage.fleet_host import FleetHost, make_board
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.events import (
    STDOUT_DESCRIPTOR,
    Event,
    log_event,
    set_up_event_log,
)
from trefoilstage.helpers.log_line_writer import LineWriter
from trefoilstage.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
    decode_target,
)
from trefoilstage.platform.headers import HeaderTranslator
from trefoilstage.platform.settings import load_platform_settings
from trefoilstage.platform.settings_file import (
    SETTINGS_PATH_VARIABLE,
    get_settings_path,
)
from trefoilstage.platform.store import StoreClient
from trefoilstage.util.process_start import ProcessStart, read_process_start
from trefoilstage.util.startup import enable_garbage_collector

# A shutdown may leave less.
STOP_TIMEOUT_S = 0.4
# A collection takes 30 ms, which would delay callers that wait for the host to start.
GARBAGE_COLLECTION_DELAY_S = 1.0
EXIT_CRASHED = 1
EXIT_BAD_SETTINGS = 2


async def run_host(
    path: Path,
    settings: FleetSettings,
    process_start: ProcessStart,
    line_writer: LineWriter,
    caller_socket: socket.socket | None,
) -> None:
    """Serve until SIGTERM or SIGINT requests a drain."""
    board = make_board(settings)
    connector = aiohttp.TCPConnector(limit=0, local_addr=(settings.address, 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        host = FleetHost(
            settings=settings,
            store=StoreClient(session=session, url=settings.store_url),
            translator=HeaderTranslator(),
            board_updater=BoardUpdater(
                board=board,
                configuration_key=CONFIGURATION_KEY,
                evacuation_prefix=EVACUATION_PREFIX,
                decode_configuration=decode_configuration,
                decode_target=decode_target,
            ),
            board=board,
            process_start=process_start,
            line_writer=line_writer,
            caller_socket=caller_socket,
        )
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, host.request_drain)
        loop.add_signal_handler(signal.SIGUSR1, host.write_state_dump)
        loop.add_signal_handler(signal.SIGHUP, log_settings_changes, path, settings)
        try:
            await host.start()
            loop.call_later(GARBAGE_COLLECTION_DELAY_S, enable_garbage_collector)
            await host.run()
        finally:
            await stop_host(host, board.shutdown)


def log_settings_changes(path: Path, running: FleetSettings) -> None:
    """Log which settings differ in the file; they take effect at a restart.

    Addresses and limits are fixed at the start, because a host that reopened its ports
    would disconnect its callers.
    """
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, findings=str(error))
        return
    running_values = running.model_dump()
    changed = [name for name, value in settings if value != running_values[name]]
    log_event(Event.SETTINGS_READ, changed=",".join(changed))


async def stop_host(host: FleetHost, schedule: ShutdownSchedule | None) -> None:
    """Stop within STOP_TIMEOUT_S, as lost peers complete no closing handshake."""
    stop_at = asyncio.get_running_loop().time() + STOP_TIMEOUT_S
    if schedule is not None:
        stop_at = min(stop_at, schedule.exit_at)
    try:
        async with asyncio.timeout_at(stop_at):
            await host.stop()
    except TimeoutError:
        log_event(Event.STOP_INCOMPLETE)


def main(caller_socket: socket.socket | None = None) -> None:
    """Run a host with the settings file that the platform names.

    Callers may already be connecting to the socket, if there is one.
    """
    process_start = read_process_start()
    line_writer = set_up_event_log(STDOUT_DESCRIPTOR)
    try:
        path = get_settings_path()
        settings = load_platform_settings(path)
    except KeyError:
        sys.stderr.write(f"{SETTINGS_PATH_VARIABLE} is not set\n")
        sys.exit(EXIT_BAD_SETTINGS)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)
    try:
        uvloop.run(run_host(path, settings, process_start, line_writer, caller_socket))
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_CRASHED)
