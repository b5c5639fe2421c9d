"""Targets that crash when they run one request, or a prompt part, and restart."""

import asyncio
import socket

from aiohttp import web

from standins.common import reserve_port, reset_connection
from standins.platform import start_app
from standins.platform_target import PlatformTarget
from tests.promises.fleet import PlatformFleet
from trefoilstage.components.views.store import Topic

CRASHING_BODY = b'{"crashes": true}'
CRASHING_PART = "dead"  # of prompts
RESTART_DELAY_S = 0.3
MUTE_S = 2.0  # longer than hosts wait for a report
OTHER_VERSIONS = {"v1": "v2", "v2": "v1"}


class CrashingTargets:
    """Crash a fleet's targets on one request and one prompt part; restart them."""

    def __init__(
        self,
        *,
        fleet: PlatformFleet,
        changes_versions: bool = False,
        keeps_ports: bool = False,
    ) -> None:
        self._fleet = fleet
        # Whether crashed targets' ports accept connections that nothing answers.
        self._keeps_ports = keeps_ports
        # Whether each second restart keeps the name and changes the version.
        self._changes_versions = changes_versions
        self._n_restarts = 0
        self._runners = {
            number: fleet.runners[number] for number in range(fleet.n_targets)
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self._reserved: dict[int, socket.socket] = {}  # ports of stopped targets
        self._stopped: set[int] = set()  # numbers of targets until they restart
        self.n_crashes = 0
        for number, target in enumerate(fleet.targets):
            self._set_crash(number, target)

    async def crash_all(self) -> None:
        """Crash all targets at the same time, whatever they run."""
        await asyncio.gather(*(self._crash(number) for number in self._runners))

    async def wait_until_restarted(self) -> None:
        """Wait until all crashed targets are restarted."""
        await asyncio.gather(*self._tasks)

    def _set_crash(self, number: int, target: PlatformTarget) -> None:
        async def crash() -> None:
            self.n_crashes += 1
            await self._crash(number)

        target.crashes_on = CRASHING_BODY
        target.crashing_part = CRASHING_PART
        target.crash = crash

    async def _crash(self, number: int) -> None:
        if number in self._stopped:
            return
        self._stopped.add(number)
        runner = self._runners[number]
        if self._keeps_ports:
            self._fleet.targets[number].is_mute = True
        else:
            await self._stop(number)
        reset_connections(runner)
        task = asyncio.create_task(self._restart(number, runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _stop(self, number: int) -> None:
        for site in list(self._runners[number].sites):
            await site.stop()
        # At once: the stopped target's requests take a while to end.
        self._reserved[number] = reserve_port(self._fleet.ports[number])
        await self._fleet.stop_target_proxies(number)

    async def _restart(self, number: int, runner: web.AppRunner) -> None:
        fleet = self._fleet
        if self._keeps_ports:
            await asyncio.sleep(MUTE_S)
            await self._stop(number)
        await runner.cleanup()
        await asyncio.sleep(RESTART_DELAY_S)
        old = fleet.targets[number]
        self._n_restarts += 1
        keeps_name = self._changes_versions and self._n_restarts % 2 == 0
        target = PlatformTarget(
            name=old.name if keeps_name else f"{old.name}+",
            version=OTHER_VERSIONS[old.version] if keeps_name else old.version,
            names_version=old.names_version,
            started_at_ms=old.started_at_ms + 1,
            n_events=old.n_events,
            event_interval_s=old.event_interval_s,
            runs=old.runs,
            max_running=old.max_running,
            crashes_above_limit=old.crashes_above_limit,
            processing_s=old.processing_s,
        )
        self._runners[number], _ = await start_app(
            target.make_app(), self._reserved.pop(number)
        )
        fleet.runners.append(self._runners[number])
        await fleet.start_target_proxies(number)
        fleet.targets[number] = target
        self._stopped.discard(number)
        self._set_crash(number, target)
        if not keeps_name:
            await fleet.store.put(Topic.TARGETS, old.name, None)
        await fleet.write_target(number)


def reset_connections(runner: web.AppRunner) -> None:
    """Reset every connection of a server, as the end of its process does."""
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            reset_connection(connection.transport)
