"""Tell whether a target's standing is known well enough to send to it."""

import asyncio
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.models import Role
from trefoilstage.configuration.schema import TargetConfig, TargetState
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.timer import TimerService

# A change is promised in force within 5 s; the rest of these is left for the
# last answer to come in and for the request to be on its way.
LEASE_S = 3.0


@dataclass(kw_only=True, slots=True)
class Confirmation:
    """Hold when a target last said that it serves."""

    asked_at: float = float("-inf")


class StandingKeeper:
    """Send to a target only while its standing was confirmed of late.

    The log confirms it, read directly or through a peer; without either, the
    target itself is asked, whom any host that reads the log has told.
    """

    def __init__(
        self, *, blackboard: Blackboard, targets: TargetClient, timer: TimerService
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._timer = timer
        self._confirmations: dict[str, Confirmation] = {}
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def confirm(self, name: str) -> bool:
        """Tell whether new work may go to a target now."""
        target = self._blackboard.configuration.targets.get(name)
        if target is None or target.state is not TargetState.SERVING:
            return False
        if not self._is_confirmed(name):
            await asyncio.wait({self._start_asking(name, target)})
        return self._is_serving(name) and self._is_confirmed(name)

    def _is_serving(self, name: str) -> bool:
        target = self._blackboard.configuration.targets.get(name)
        return target is not None and target.state is TargetState.SERVING

    def _is_confirmed(self, name: str) -> bool:
        # Both times are from before the answer was given, and the clock runs
        # on while the process is stopped. So a host that was frozen or cut
        # off finds its lease over, whether it noticed anything or not.
        last_read = self._blackboard.streams[CONFIG_STREAM].last_read
        confirmation = self._confirmations.setdefault(name, Confirmation())
        confirmed_at = max(last_read, confirmation.asked_at)
        return self._timer.now() - confirmed_at <= LEASE_S

    def _start_asking(self, name: str, target: TargetConfig) -> asyncio.Task[None]:
        task = self._asking.get(name)
        if task is None or task.done():
            task = asyncio.create_task(self._ask(name, target))
            self._asking[name] = task
        return task

    async def _ask(self, name: str, target: TargetConfig) -> None:
        asked_at = self._timer.now()
        answer = await self._targets.get_health(target)
        if answer is not None and answer.role is Role.SERVING:
            self._confirmations[name] = Confirmation(asked_at=asked_at)
