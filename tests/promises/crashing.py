"""Let targets crash when they run one request, and come back under a new name."""

import asyncio

from aiohttp import web

from standins.platform import PlatformTarget, reset_connection, serve
from tests.promises.fleet import PlatformFleet
from trefoilstage.components.views.store import Topic

CRASHING_BODY = b'{"crashes": true}'
AWAY_S = 0.3


class CrashingTargets:
    """End a fleet's targets under one request and start them again."""

    def __init__(self, *, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._runners = {
            number: fleet.runners[number] for number in range(fleet.n_targets)
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self.n_crashes = 0
        for number, target in enumerate(fleet.targets):
            self._arm(number, target)

    async def crash_all(self) -> None:
        """End every target at once, whatever it runs."""
        await asyncio.gather(*(self._crash(number) for number in self._runners))

    async def settle(self) -> None:
        """Wait until every target is back."""
        await asyncio.gather(*self._tasks)

    def _arm(self, number: int, target: PlatformTarget) -> None:
        async def crash() -> None:
            self.n_crashes += 1
            await self._crash(number)

        target.crashes_on = CRASHING_BODY
        target.crash = crash

    async def _crash(self, number: int) -> None:
        runner = self._runners[number]
        for site in list(runner.sites):
            await site.stop()
        end_connections(runner)
        task = asyncio.create_task(self._start_again(number, runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_again(self, number: int, runner: web.AppRunner) -> None:
        fleet = self._fleet
        await runner.cleanup()
        await asyncio.sleep(AWAY_S)
        old = fleet.targets[number]
        target = PlatformTarget(
            name=f"{old.name}+", event_interval_s=old.event_interval_s, runs=old.runs
        )
        self._runners[number], _ = await serve(target.make_app(), fleet.ports[number])
        fleet.runners.append(self._runners[number])
        fleet.targets[number] = target
        self._arm(number, target)
        await fleet.store.put(Topic.TARGETS, old.name, None)
        await fleet.list_target(number)


def end_connections(runner: web.AppRunner) -> None:
    """Reset every connection of a server, as its process ends."""
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            reset_connection(connection.transport)
