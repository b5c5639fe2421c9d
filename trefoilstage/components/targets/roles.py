"""Tell targets the role that the configuration gives them."""

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.models import Role
from trefoilstage.configuration.schema import TargetConfig, TargetState
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

CHECK_S = 0.25
N_TELLERS = 3
ROLES = {TargetState.SERVING: Role.SERVING, TargetState.LEAVING: Role.LEAVING}


class RoleController(Service):
    """Order each target whose state changed to its new role.

    A host that hears nothing of the change asks the target before it sends,
    and a target that checks turns away whoever has an older configuration.
    """

    def __init__(
        self, *, blackboard: Blackboard, targets: TargetClient, timer: TimerService
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._targets = targets
        self._timer = timer
        self._told: dict[str, TargetState] = {}

    async def on_start(self) -> None:
        """Start watching the targets' states."""
        self._unsubscribe = self._timer.subscribe(
            name="roles", interval_s=CHECK_S, callback=self._tell_changes
        )

    async def on_stop(self) -> None:
        """Stop watching the targets' states."""
        self._unsubscribe()

    async def _tell_changes(self) -> None:
        for name, target in self._blackboard.configuration.targets.items():
            known = self._told.get(name, TargetState.SERVING)
            if target.state is not known and self._is_teller(name):
                await self._tell(name, target)

    def _is_teller(self, name: str) -> bool:
        # A few hosts tell it, so that one which is cut off from the target
        # does not keep the change from it, and not all of a large fleet do.
        hosts = [entry.host for entry in self._blackboard.list_live_peers()]
        hosts.append(self._blackboard.host)
        return self._blackboard.host in rank_by_rendezvous(name, hosts)[:N_TELLERS]

    async def _tell(self, name: str, target: TargetConfig) -> None:
        revision = self._blackboard.config.revision
        if await self._targets.change_role(target, ROLES[target.state], revision):
            self._told[name] = target.state
