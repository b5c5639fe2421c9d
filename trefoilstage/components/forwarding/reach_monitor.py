"""Probe targets while it is in doubt whether this host reaches any of a service."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from mode import Service

from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.forwarding.answers import (
    InvalidAnswer,
    NotRun,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.target_reach import Reach
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

PROBE_INTERVAL_S = 0.25
# Few, as hundreds of hosts may lose their links at once. Targets are drawn anew for
# each round, so that some that are down don't hide the others.
N_PROBED = 3
Listener = Callable[[str], None]


class ReachMonitor(Service):
    """Update on the board of which services this host reaches targets."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        timer: TimerService,
        probe: TargetProbe,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._board = board
        self._timer = timer
        self._probe = probe
        self._generator = generator
        self._listeners: list[Listener] = []
        # By service: set when a connection succeeds, and checks under way.
        self._confirmed: dict[str, asyncio.Event] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener when a service is lost or back; return an unsubscribe."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def is_confirmed(self, service: str) -> bool:
        """Return whether nothing speaks against this host's links to a service."""
        return self._board.get_reach(service).state is Reach.CONFIRMED

    def is_lost(self, service: str) -> bool:
        """Return whether no probed target of a service accepts connections."""
        return self._board.get_reach(service).state is Reach.LOST

    async def wait_until_confirmed(self, service: str, timeout_s: float) -> bool:
        """Return whether the reach is confirmed, now or within some time."""
        if not self.is_confirmed(service):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._get_event(service).wait()
        return self.is_confirmed(service)

    def record_outcome(self, target: TargetEntry, outcome: SendOutcome) -> None:
        """Record what a send over this host's own links shows of them."""
        if outcome.connected:
            self._record_connected(target.service)
        elif isinstance(outcome, NotRun) and outcome.unreachable:
            self.record_failure(target, timed_out=outcome.timed_out)
        elif isinstance(outcome, InvalidAnswer) and outcome.head is None:
            self.record_failure(target)

    def record_failure(self, target: TargetEntry, *, timed_out: bool = False) -> None:
        """Record that a connection to a target failed or broke."""
        now = self._timer.now()
        reach = self._board.get_reach(target.service)
        if reach.record_failure(target.incarnation, now, timed_out=timed_out):
            self._get_event(target.service).clear()
            self.add_future(self._probe_until_confirmed(target.service))

    async def check(self, service: str) -> bool:
        """Return whether any target that is probed now accepts; share a check."""
        check = self._checks.get(service)
        if check is None or check.done():
            check = asyncio.create_task(self._probe_targets(service))
            self._checks[service] = check
        return await asyncio.shield(check)

    async def check_within(self, service: str, timeout_s: float) -> bool:
        """Return whether a target that is probed now accepts within some time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.check(service)
        except TimeoutError:
            return False

    def _get_event(self, service: str) -> asyncio.Event:
        return self._confirmed.setdefault(service, asyncio.Event())

    def _record_connected(self, service: str) -> None:
        self._get_event(service).set()
        if self._board.get_reach(service).record_connected():
            log_event(Event.TARGETS_IN_REACH, host=self._board.host, service=service)
            self._notify(service)

    async def _probe_until_confirmed(self, service: str) -> None:
        reach = self._board.get_reach(service)
        while not await self.check(service) and not self.is_confirmed(service):
            if reach.record_lost():
                log_event(
                    Event.TARGETS_OUT_OF_REACH,
                    host=self._board.host,
                    service=service,
                    failed=",".join(sorted(reach.failed_at)),
                )
                self._notify(service)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)

    async def _probe_targets(self, service: str) -> bool:
        """Probe some targets at once; return as soon as one accepts."""
        probes = [
            asyncio.ensure_future(self._probe.connect(entry.address))
            for entry in self._pick_targets(service)
        ]
        try:
            for probed in asyncio.as_completed(probes):
                if await probed is ProbeResult.ACCEPTED:
                    self._record_connected(service)
                    return True
        finally:
            for probe in probes:
                probe.cancel()
        return False

    def _pick_targets(self, service: str) -> list[TargetEntry]:
        """Return targets to probe, preferably some that are not known to fail."""
        listed = (item.entry for item in self._board.targets.listed.values())
        entries = [entry for entry in listed if entry.service == service]
        self._generator.shuffle(entries)
        failed = self._board.get_reach(service).failed_at
        return sorted(entries, key=lambda entry: entry.incarnation in failed)[:N_PROBED]
