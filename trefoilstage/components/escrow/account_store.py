"""Read and write accounts' records in the store, one writer at an offset."""

from collections.abc import Mapping

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.record import (
    ACCOUNT_CODEC,
    AccountRecord,
    Holder,
)
from trefoilstage.components.escrow.rosters import RosterStore
from trefoilstage.components.escrow.stock import StockChange
from trefoilstage.components.views.store import (
    Store,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import pick_stream


class AccountStore:
    """Keep the accounts as the store has them, and where each partition ends.

    A write counts only if its partition ended where this host saw it end, so no two
    hosts draw the same tokens. A write whose answer was lost either took that place,
    and is then read back, or can never land.
    """

    def __init__(
        self,
        *,
        store: Store,
        timer: TimerService,
        n_partitions: int,
        accounts: Mapping[str, EscrowAccount],
    ) -> None:
        self._store = store
        self._timer = timer
        self._n_partitions = n_partitions
        self._accounts = accounts
        self._rosters = RosterStore(store=store, n_partitions=n_partitions)
        self._ends: dict[int, int] = {}
        self._read_at: dict[str, float] = {}

    def is_known(self, workspace: str) -> bool:
        """Tell whether an account may be written without reading it first.

        An account that was never read looks empty, and a write would drop what
        other hosts have drawn.
        """
        return workspace in self._read_at and self._find(workspace) in self._ends

    def get_age(self, workspace: str) -> float:
        """Return the seconds since an account was read."""
        read_at = self._read_at.get(workspace, float("-inf"))
        return self._timer.now() - read_at

    def forget_end(self, workspace: str) -> None:
        """Read a partition again before the next write, after a lost answer."""
        self._ends.pop(self._find(workspace), None)

    async def find_served(self, holder: Holder) -> Mapping[str, str] | None:
        """Return who may have got grants of a holder, None if that can't be told."""
        return await self._rosters.read(holder.roster)

    async def refresh(self, workspace: str) -> None:
        """Read the records of an account's partition."""
        partition = self._find(workspace)
        listing = await self._store.list_newest(Topic.ACCOUNTS, partition)
        for record in listing.records:
            known = self._accounts.get(record.key)
            if known is None or record.value is None:
                continue
            try:
                known.take_record(ACCOUNT_CODEC.decode(record.value), record.offset)
            except MalformedMessageError as error:
                # Unreadable means unknown: nothing more is drawn on it.
                log_event(
                    Event.RECORD_MALFORMED, topic=Topic.ACCOUNTS, error=str(error)
                )
                raise StoreUnavailableError("malformed account record") from error
        self._ends[partition] = listing.end_offset
        self._read_at[workspace] = self._timer.now()
        self._accounts[workspace].take_end(listing.end_offset)

    async def change(
        self, account: EscrowAccount, change: StockChange, served: Mapping[str, str]
    ) -> bool:
        """Draw, give back or lock tokens; tell whether the write counted."""
        roster = await self._rosters.write(served)
        record = account.make_record(change, served, roster)
        account.start_change(change, self._ends[self._find(account.workspace)])
        try:
            return await self.put(account, record)
        except StoreRefusedError:
            account.undo_change()
            raise

    async def put(self, account: EscrowAccount, record: AccountRecord) -> bool:
        """Write a record; tell whether the write counted."""
        partition = self._find(account.workspace)
        end_offset = self._ends[partition]
        offset = await self._store.put(
            Topic.ACCOUNTS,
            account.workspace,
            ACCOUNT_CODEC.encode(record),
            partition=partition,
            at=end_offset,
        )
        if offset is None:
            # An earlier write whose answer was lost may have taken the place. What it
            # gave back stays set aside until the record is read again.
            return False
        # The end has moved on, and with it the place where earlier writes could land.
        account.end_changes()
        self._ends[partition] = offset + 1
        account.take_record(record, offset)
        return True

    def _find(self, workspace: str) -> int:
        return pick_stream(workspace, self._n_partitions)
