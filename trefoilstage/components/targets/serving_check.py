"""Check that a target is still serving before new requests are sent to it."""

import asyncio
from dataclasses import dataclass

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.models import Role
from trefoilstage.configuration.schema import TargetConfig, TargetState
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.timer import TimerService

# A configuration change must be in force within 5 s. In the rest of the 5 s, the last
# confirmation arrives and the request is sent.
CONFIRMATION_VALID_S = 3.0


@dataclass(kw_only=True, slots=True)
class Confirmation:
    """Describe a target's last confirmation that it is serving."""

    requested_at: float = float("-inf")  # when the confirmed health check was sent


class ServingCheck:
    """Allow requests to a target only while it was recently confirmed as serving.

    A read of the configuration log, directly or through a peer, confirms all targets.
    A host that can't read the log asks the target for its role, which is kept current
    by the hosts that read the log.
    """

    def __init__(
        self, *, blackboard: Blackboard, targets: TargetClient, timer: TimerService
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._timer = timer
        self._confirmations: dict[str, Confirmation] = {}
        self._pending_checks: dict[str, asyncio.Task[None]] = {}

    async def confirm(self, name: str) -> bool:
        """Return whether new requests may be sent to a target now."""
        target = self._blackboard.configuration.targets.get(name)
        if target is None or target.state is not TargetState.SERVING:
            return False
        if not self._is_confirmed(name):
            await asyncio.wait({self._start_check(name, target)})
        return self._is_serving(name) and self._is_confirmed(name)

    def _is_serving(self, name: str) -> bool:
        target = self._blackboard.configuration.targets.get(name)
        return target is not None and target.state is TargetState.SERVING

    def _is_confirmed(self, name: str) -> bool:
        # Both times precede the response, and the clock advances while the process is
        # suspended. A host that was suspended or cut off therefore finds its
        # confirmation expired, even if it did not notice the interruption.
        last_read = self._blackboard.streams[CONFIG_STREAM].last_read
        confirmation = self._confirmations.setdefault(name, Confirmation())
        confirmed_at = max(last_read, confirmation.requested_at)
        return self._timer.now() - confirmed_at <= CONFIRMATION_VALID_S

    def _start_check(self, name: str, target: TargetConfig) -> asyncio.Task[None]:
        task = self._pending_checks.get(name)
        if task is None or task.done():
            task = asyncio.create_task(self._check_target(name, target))
            self._pending_checks[name] = task
        return task

    async def _check_target(self, name: str, target: TargetConfig) -> None:
        requested_at = self._timer.now()
        response = await self._targets.get_health(target)
        if response is not None and response.role is Role.SERVING:
            self._confirmations[name] = Confirmation(requested_at=requested_at)
