"""Decide when a home makes no draws, as the store fails."""

from trefoilstage.components.views.store import StoreUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# After a failed draw the home makes no calls for the account for this long: each call
# is charged, and requests are refused immediately instead of waiting for a draw that
# fails.
FAILED_DRAW_PAUSE_S = 0.3


class DrawPauses:
    """Track failed draws by account."""

    def __init__(self, *, board: FleetBoard, timer: TimerService) -> None:
        self._board = board
        self._timer = timer
        self._paused_until: dict[str, float] = {}

    def is_paused(self, workspace: str) -> bool:
        """Return whether no draw can succeed, so that no request waits for one."""
        if self._board.store.out_of_reach:
            return True
        return self._timer.now() < self._paused_until.get(workspace, 0.0)

    def record_failure(self, workspace: str, error: StoreUnavailableError) -> None:
        """Pause the draws of an account after one that failed."""
        now = self._timer.now()
        self._paused_until[workspace] = now + FAILED_DRAW_PAUSE_S
        self._board.store.record_failure(now, str(error))
        log_event(Event.ESCROW_DRAW_FAILED, workspace=workspace, error=str(error))
