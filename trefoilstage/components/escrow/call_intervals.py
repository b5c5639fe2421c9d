"""Decide how often a home reads and writes accounts, to spare the store."""

from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.fleet_board import FleetBoard

# An account without free tokens is read again at this interval, to find tokens that
# other hosts returned.
EXHAUSTED_REREAD_INTERVAL_S = 0.5

# When all hosts of a large fleet start, each home would otherwise write a roster at
# every stock check. For a request from an unlisted host, it writes one immediately.
ROSTER_UPDATE_INTERVAL_S = 1.0
# While a large fleet starts, each host knows only some of the others and considers
# itself the home of many workspaces; the draws would exceed what the store accepts.
# Unless a request waits for it, an account is first read when the live hosts have not
# changed for this long.
STABLE_FLEET_S = 1.0
# Attempts to recover an ended home's tokens are repeated at this interval, because a
# witness may be out of reach.
RECOVERY_RETRY_INTERVAL_S = 0.5


class CallIntervals:
    """Track when accounts were last read, recovered and given a new roster."""

    def __init__(self, *, board: FleetBoard, account_store: AccountStore) -> None:
        self._board = board
        self._account_store = account_store
        self._next_recovery_at: dict[str, float] = {}
        self._roster_written_at: dict[str, float] = {}

    def may_reread(self, workspace: str) -> bool:
        """Return whether an account that lacks tokens may be read again."""
        return self._account_store.get_age_s(workspace) >= EXHAUSTED_REREAD_INTERVAL_S

    def is_fleet_changing(self, now: float) -> bool:
        """Return whether the live hosts of a large fleet changed recently."""
        has_changed_recently = now - self._board.live_changed_at < STABLE_FLEET_S
        return has_changed_recently and self._board.is_too_large_to_broadcast()

    def may_update_roster(self, workspace: str, now: float) -> bool:
        """Return whether a roster may be written without a waiting request."""
        written_at = self._roster_written_at.get(workspace, float("-inf"))
        return (
            not self._board.is_too_large_to_broadcast()
            or now - written_at >= ROSTER_UPDATE_INTERVAL_S
        )

    def record_roster_written(self, workspace: str, now: float) -> None:
        """Record that an account was written, with its roster."""
        self._roster_written_at[workspace] = now

    def take_recovery(self, workspace: str, now: float) -> bool:
        """Return whether a recovery may be tried now, and count the attempt."""
        if now < self._next_recovery_at.get(workspace, 0.0):
            return False
        self._next_recovery_at[workspace] = now + RECOVERY_RETRY_INTERVAL_S
        return True
