"""Fetch the targets' late reports of load and cache events."""

import asyncio

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.timer import TimerService

POLL_S = 1.0
USED_S = 10.0


class ReportController(Service):
    """Ask each target that this host used of late."""

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
        self._next_events: dict[str, int] = {}

    async def on_start(self) -> None:
        """Start asking."""
        self._unsubscribe = self._timer.subscribe(
            name="reports", interval_s=POLL_S, callback=self._poll
        )

    async def on_stop(self) -> None:
        """Stop asking."""
        self._unsubscribe()

    async def _poll(self) -> None:
        oldest = self._timer.now() - USED_S
        targets = self._blackboard.configuration.targets
        used = [
            (name, targets[name])
            for name, status in self._blackboard.targets.items()
            if name in targets and status.last_used >= oldest
        ]
        await asyncio.gather(*(self._poll_target(name, item) for name, item in used))

    async def _poll_target(self, name: str, target: TargetConfig) -> None:
        report = await self._targets.get_load(target)
        if report is not None:
            load = self._router.get_status(name).load
            load.note_report(self._timer.now(), report.running, report.lag_s)
        first = self._next_events.get(name, 0)
        answer = await self._targets.get_cache_events(target, first)
        if answer is None:
            return
        # A target that started anew counts from zero again.
        self._next_events[name] = answer.next if answer.next >= first else 0
        for event in answer.events:
            self._router.note_event(name, event)
