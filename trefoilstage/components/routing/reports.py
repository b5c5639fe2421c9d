"""Fetch load reports and cache events from targets; both arrive with a lag."""

import asyncio

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.timer import TimerService

POLL_INTERVAL_S = 1.0
RECENT_USE_S = 10.0


class ReportController(Service):
    """Poll each target that this host used recently."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        targets: TargetClient,
        router: Router,
        timer: TimerService,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._targets = targets
        self._router = router
        self._timer = timer
        self._next_events: dict[str, int] = {}  # the next event to read, by target

    async def on_start(self) -> None:
        """Start polling."""
        self._unsubscribe = self._timer.subscribe(
            name="reports", interval_s=POLL_INTERVAL_S, callback=self._poll
        )

    async def on_stop(self) -> None:
        """Stop polling."""
        self._unsubscribe()

    async def _poll(self) -> None:
        used_since = self._timer.now() - RECENT_USE_S
        targets = self._blackboard.configuration.targets
        recent_targets = [
            (name, targets[name])
            for name, status in self._blackboard.targets.items()
            if name in targets and status.last_used >= used_since
        ]
        await asyncio.gather(
            *(self._poll_target(name, target) for name, target in recent_targets)
        )

    async def _poll_target(self, name: str, target: TargetConfig) -> None:
        report = await self._targets.get_load(target)
        if report is not None:
            load = self._router.get_status(name).load
            load.record_report(self._timer.now(), report.running, report.lag_s)
        first_event = self._next_events.get(name, 0)
        page = await self._targets.get_cache_events(target, first_event)
        if page is None:
            return
        # A target numbers its events from zero again after a restart.
        self._next_events[name] = page.next if page.next >= first_event else 0
        for event in page.events:
            self._router.record_cache_event(name, event)
