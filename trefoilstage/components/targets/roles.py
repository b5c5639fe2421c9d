"""Send targets the roles that the configuration assigns to them."""

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.models import Role
from trefoilstage.configuration.schema import TargetConfig, TargetState
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

CHECK_INTERVAL_S = 0.25
N_SENDERS = 3
ROLES = {TargetState.SERVING: Role.SERVING, TargetState.LEAVING: Role.LEAVING}


class RoleController(Service):
    """Send the new role to each target whose configured state has changed.

    A host that does not receive the change asks the target before it sends requests,
    and a target that checks revisions refuses hosts with an older configuration.
    """

    def __init__(
        self, *, blackboard: Blackboard, targets: TargetClient, timer: TimerService
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._targets = targets
        self._timer = timer
        self._told: dict[str, TargetState] = {}  # the state last sent, by target

    async def on_start(self) -> None:
        """Start watching the targets' states."""
        self._unsubscribe = self._timer.subscribe(
            name="roles", interval_s=CHECK_INTERVAL_S, callback=self._send_changes
        )

    async def on_stop(self) -> None:
        """Stop watching the targets' states."""
        self._unsubscribe()

    async def _send_changes(self) -> None:
        for name, target in self._blackboard.configuration.targets.items():
            last_sent = self._told.get(name, TargetState.SERVING)
            if target.state is not last_sent and self._is_sender(name):
                await self._send_role(name, target)

    def _is_sender(self, name: str) -> bool:
        # Several hosts send the role, so that it arrives even if one of them can't
        # reach the target. In a large fleet, not every host sends it.
        hosts = [entry.host for entry in self._blackboard.list_live_peers()]
        hosts.append(self._blackboard.host)
        return self._blackboard.host in rank_by_rendezvous(name, hosts)[:N_SENDERS]

    async def _send_role(self, name: str, target: TargetConfig) -> None:
        revision = self._blackboard.config.revision
        if await self._targets.change_role(target, ROLES[target.state], revision):
            self._told[name] = target.state
