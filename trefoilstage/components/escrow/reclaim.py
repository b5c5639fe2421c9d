"""Make the tokens that ended homes had drawn and not granted free to be drawn."""

from collections.abc import Mapping

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.components.escrow.record import Holder, HolderUsage
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.helpers.events import Event, log_event


class Reclaimer:
    """Retire ended homes in account records, once it is known what they granted."""

    def __init__(
        self,
        *,
        account_store: AccountStore,
        recovery: EscrowRecovery,
    ) -> None:
        self._account_store = account_store
        self._recovery = recovery

    def may_reclaim(self, account: EscrowAccount) -> bool:
        """Return whether an account's record is complete and names an ended home."""
        return account.restored is None and any(
            self._recovery.has_ended(holder.host, incarnation)
            for incarnation, holder in account.record.holders.items()
        )

    async def reclaim(self, account: EscrowAccount) -> None:
        """Retire one ended home whose usage is known.

        Raise StoreUnavailableError if the store does not respond.
        """
        await self._account_store.refresh(account.workspace)
        if account.restored is not None:
            return
        for incarnation, holder in account.record.holders.items():
            if not self._recovery.has_ended(holder.host, incarnation):
                continue
            roster = await self._find_roster(holder)
            usage = await self._recovery.find_usage(
                account.workspace, incarnation, holder, roster
            )
            # Another home may have retired the ended one, or a delayed write of the
            # ended one may have been stored.
            is_unchanged = account.record.holders.get(incarnation) == holder
            if isinstance(usage, HolderUsage) and is_unchanged:
                await self._retire(account, incarnation, holder, usage)
                return

    async def _find_roster(self, holder: Holder) -> Mapping[str, str] | None:
        """Return the hosts that an ended home listed, None if nobody knows them."""
        roster = await self._account_store.read_roster(holder)
        if roster is None:
            roster = self._recovery.find_known_roster(holder)
            if roster is not None:
                # A witness may be out of reach until the hosts known here have changed.
                await self._account_store.write_roster(roster)
        return roster

    async def _retire(
        self,
        account: EscrowAccount,
        incarnation: str,
        holder: Holder,
        usage: HolderUsage,
    ) -> None:
        if not self._account_store.can_write(account.workspace):
            return
        record = account.record.retire(incarnation, usage)
        if await self._account_store.put(account, record):
            log_event(
                Event.ESCROW_RECOVERED,
                workspace=account.workspace,
                holder=incarnation,
                drawn=holder.drawn,
                used=usage.tokens,
                reported_spent=holder.spent,
                locked=holder.locked,
                witnessed=usage.witnessed,
            )
