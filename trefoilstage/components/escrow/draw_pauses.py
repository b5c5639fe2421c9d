"""Decide when a home makes no draws, as the store fails or came back older."""

from trefoilstage.components.views.store import StoreUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# After a failed draw the home makes no calls for the account for this long: each call
# is charged, and requests are refused immediately instead of waiting for a draw that
# fails.
FAILED_DRAW_PAUSE_S = 0.3
# After the store came back from an older copy, hosts notice within half a second, and
# write their draws again within another. Tokens that look free until then may be drawn.
SETTLE_S = 1.5
# Records lack draws of homes that were slower than that for some time more.
MAKE_GOOD_S = 4.0


class DrawPauses:
    """Track failed draws by account, and the time since the store was restored."""

    def __init__(self, *, board: FleetBoard, timer: TimerService) -> None:
        self._board = board
        self._timer = timer
        self._paused_until: dict[str, float] = {}

    def is_paused(self, workspace: str) -> bool:
        """Return whether no draw can succeed, so that no request waits for one."""
        if self._board.store.out_of_reach:
            return True
        return self._timer.now() < self._paused_until.get(workspace, 0.0)

    def is_settling(self) -> bool:
        """Return whether other homes may not have written their draws again yet."""
        return self._get_restored_s() < SETTLE_S

    def is_made_good(self) -> bool:
        """Return whether all homes had time to write their draws again."""
        return self._get_restored_s() >= MAKE_GOOD_S

    def _get_restored_s(self) -> float:
        """Return the seconds since the store came back from an older copy."""
        return self._timer.now() - self._board.store.restored_at

    def record_failure(self, workspace: str, error: StoreUnavailableError) -> None:
        """Pause the draws of an account after one that failed."""
        now = self._timer.now()
        self._paused_until[workspace] = now + FAILED_DRAW_PAUSE_S
        self._board.store.record_failure(now, str(error))
        log_event(Event.ESCROW_DRAW_FAILED, workspace=workspace, error=str(error))
