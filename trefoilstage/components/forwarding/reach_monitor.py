"""Probe targets while it is in doubt whether this host reaches any."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

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
Listener = Callable[[], None]


class ReachMonitor(Service):
    """Update on the board whether this host reaches the targets."""

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
        self._confirmed = asyncio.Event()  # set when a connection succeeds
        self._check: asyncio.Task[bool] | None = None

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call a listener when the reach is lost or back; return an unsubscribe."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    @property
    def is_confirmed(self) -> bool:
        """Return whether nothing speaks against this host's links to the targets."""
        return self._board.reach.state is Reach.CONFIRMED

    @property
    def is_lost(self) -> bool:
        """Return whether no probed target accepts connections of this host."""
        return self._board.reach.state is Reach.LOST

    async def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Return whether the reach is confirmed, now or within some time."""
        if not self.is_confirmed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._confirmed.wait()
        return self.is_confirmed

    def record_outcome(self, target: TargetEntry, outcome: SendOutcome) -> None:
        """Record what a send over this host's own links shows of them."""
        if outcome.connected:
            self._record_connected()
        elif isinstance(outcome, NotRun) and outcome.unreachable:
            self.record_failure(target, timed_out=outcome.timed_out)
        elif isinstance(outcome, InvalidAnswer) and outcome.head is None:
            self.record_failure(target)

    def record_failure(self, target: TargetEntry, *, timed_out: bool = False) -> None:
        """Record that a connection to a target failed or broke."""
        now = self._timer.now()
        reach = self._board.reach
        if reach.record_failure(target.incarnation, now, timed_out=timed_out):
            self._confirmed.clear()
            self.add_future(self._probe_until_confirmed())

    async def check(self) -> bool:
        """Return whether any target that is probed now accepts; share a check."""
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._probe_targets())
        return await asyncio.shield(self._check)

    async def check_within(self, timeout_s: float) -> bool:
        """Return whether a target that is probed now accepts within some time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.check()
        except TimeoutError:
            return False

    def _record_connected(self) -> None:
        self._confirmed.set()
        if self._board.reach.record_connected():
            log_event(Event.TARGETS_IN_REACH, host=self._board.host)
            self._notify()

    async def _probe_until_confirmed(self) -> None:
        while not await self.check() and not self.is_confirmed:
            if self._board.reach.record_lost():
                log_event(
                    Event.TARGETS_OUT_OF_REACH,
                    host=self._board.host,
                    failed=",".join(sorted(self._board.reach.failed_at)),
                )
                self._notify()
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    async def _probe_targets(self) -> bool:
        """Probe some targets at once; return as soon as one accepts."""
        probes = [
            asyncio.ensure_future(self._probe.connect(entry.address))
            for entry in self._pick_targets()
        ]
        try:
            for probed in asyncio.as_completed(probes):
                if await probed is ProbeResult.ACCEPTED:
                    self._record_connected()
                    return True
        finally:
            for probe in probes:
                probe.cancel()
        return False

    def _pick_targets(self) -> list[TargetEntry]:
        """Return targets to probe, preferably some that are not known to fail."""
        entries = [item.entry for item in self._board.targets.listed.values()]
        self._generator.shuffle(entries)
        failed: Iterable[str] = self._board.reach.failed_at
        return sorted(entries, key=lambda entry: entry.incarnation in failed)[:N_PROBED]
