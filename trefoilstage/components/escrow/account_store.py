"""Read and write account records in the store, with one writer per offset."""

from collections.abc import Collection, Mapping
from dataclasses import replace

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
    split_position,
)
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import hash_to_bucket


class AccountStore:
    """Read and write account records, and track the end offset of each partition.

    A write succeeds only if its partition still ends at the offset that this host
    read, so that no two hosts draw the same tokens. A write without a reply was
    either stored at that offset, and is then read back, or can never be stored.
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
        self._end_offsets: dict[int, int] = {}
        self._read_at: dict[str, float] = {}

    def can_write(self, workspace: str) -> bool:
        """Return whether an account may be written without reading it first.

        An account that was never read looks empty, and a write would drop the draws
        of other hosts.
        """
        return (
            workspace in self._read_at
            and self._get_partition(workspace) in self._end_offsets
        )

    def get_age_s(self, workspace: str) -> float:
        """Return the seconds since an account was read."""
        read_at = self._read_at.get(workspace, float("-inf"))
        return self._timer.now() - read_at

    def forget_end_offset(self, workspace: str) -> None:
        """Forget a partition's end, so that it is read again before the next write."""
        self._end_offsets.pop(self._get_partition(workspace), None)

    def forget_stored(self) -> None:
        """Forget what the store has, which came back from an older copy."""
        self._end_offsets.clear()
        self._rosters.forget_written()

    async def read_roster(self, holder: Holder) -> Mapping[str, str] | None:
        """Return the requesters that a holder lists, None if the roster is missing."""
        return await self._rosters.read(holder.roster)

    async def write_roster(self, members: Mapping[str, str]) -> None:
        """Store an ended home's roster, which a restored store lacks."""
        await self._rosters.write(members)

    async def refresh(self, workspace: str) -> None:
        """Read the records of an account's partition.

        Raise StoreUnavailableError if a record cannot be decoded.
        """
        partition = self._get_partition(workspace)
        batch = await self._store.list_newest(Topic.ACCOUNTS, partition)
        for record in batch.records:
            account = self._accounts.get(record.key)
            if account is None or record.value is None:
                continue
            try:
                account.update_record(ACCOUNT_CODEC.decode(record.value), record.offset)
            except MalformedMessageError as error:
                # The balance is unknown, so no more tokens are drawn from the account.
                log_event(
                    Event.RECORD_MALFORMED, topic=Topic.ACCOUNTS, error=str(error)
                )
                raise StoreUnavailableError("malformed account record") from error
        listed = {record.key for record in batch.records}
        for account in self._accounts.values():
            is_here = self._get_partition(account.workspace) == partition
            if is_here and account.workspace not in listed:
                account.record_missing(batch.end_offset)
        self._end_offsets[partition] = batch.end_offset
        self._read_at[workspace] = self._timer.now()
        self._accounts[workspace].resolve_pending(batch.end_offset)

    async def change(
        self, account: EscrowAccount, change: StockChange, members: Mapping[str, str]
    ) -> bool:
        """Draw, return or lock tokens; return whether the write was stored."""
        roster = await self._rosters.write(members)
        end_offset = self._end_offsets.get(self._get_partition(account.workspace))
        if end_offset is None:
            # A write to another account of the partition failed meanwhile.
            return False
        record = account.make_record(change, members, roster)
        account.start_change(change, end_offset)
        try:
            return await self.put(account, record)
        except StoreRefusedError:
            account.drop_last_change()
            raise

    async def put(self, account: EscrowAccount, record: AccountRecord) -> bool:
        """Write a record; return whether it was stored."""
        if not self._is_based_on_present_era(account):
            return False
        return await self._put(account, record)

    async def put_reconciled(
        self,
        account: EscrowAccount,
        record: AccountRecord,
        rosters: Collection[Mapping[str, str]],
    ) -> bool:
        """Write what all hosts know of an account; return whether it was stored."""
        for members in rosters:
            await self._rosters.write(members)
        names = [holder.roster for holder in record.holders.values()]
        await self._rosters.write_cached(names)
        return self.can_write(account.workspace) and await self._put(account, record)

    async def _put(self, account: EscrowAccount, record: AccountRecord) -> bool:
        partition = self._get_partition(account.workspace)
        end_offset = self._end_offsets[partition]
        record = replace(record, era=split_position(end_offset)[0])
        offset = await self._store.put(
            Topic.ACCOUNTS,
            account.workspace,
            ACCOUNT_CODEC.encode(record),
            partition=partition,
            expected_end_offset=end_offset,
        )
        if offset is None:
            # An earlier write without a reply may be stored at this offset. Tokens that
            # it returned stay reserved until the record is read again.
            return False
        # The partition has grown, so earlier writes can no longer be stored.
        self._end_offsets[partition] = offset + 1
        account.record_own_write(record, offset)
        return True

    def _is_based_on_present_era(self, account: EscrowAccount) -> bool:
        """Return whether the account was read since the store came back older.

        A write that is based on an earlier record would drop what others drew since.
        """
        end_offset = self._end_offsets[self._get_partition(account.workspace)]
        era, _ = split_position(end_offset)
        read_in, _ = split_position(max(0, account.record_offset))
        return account.restored is None and read_in == era

    def _get_partition(self, workspace: str) -> int:
        return hash_to_bucket(workspace, self._n_partitions)
