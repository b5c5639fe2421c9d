"""Make free again what ended homes had drawn and not granted."""

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.components.escrow.record import Holder, Used
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.helpers.events import Event, log_event


class Reclaimer:
    """Retire ended homes from accounts' records, as their witnesses tell."""

    def __init__(self, *, records: AccountStore, recovery: EscrowRecovery) -> None:
        self._records = records
        self._recovery = recovery

    def has_ended_holder(self, account: EscrowAccount) -> bool:
        """Tell whether an account's record names a home that has ended."""
        return any(
            self._recovery.has_ended(holder.host, incarnation)
            for incarnation, holder in account.record.holders.items()
        )

    async def reclaim(self, account: EscrowAccount) -> None:
        """Retire one ended home whose use is known, or raise StoreUnavailableError."""
        await self._records.refresh(account.workspace)
        for incarnation, holder in account.record.holders.items():
            if not self._recovery.has_ended(holder.host, incarnation):
                continue
            served = await self._records.find_served(holder)
            if served is None:
                continue
            verdict = await self._recovery.find_used(
                account.workspace, incarnation, holder, served
            )
            # Meanwhile another home may have done it, or a late write landed.
            same = account.record.holders.get(incarnation) == holder
            if isinstance(verdict, Used) and same:
                await self._retire(account, incarnation, holder, verdict)
                return

    async def _retire(
        self, account: EscrowAccount, incarnation: str, holder: Holder, used: Used
    ) -> None:
        if not self._records.is_known(account.workspace):
            return
        record = account.record.retire(incarnation, used)
        if await self._records.put(account, record):
            log_event(
                Event.ESCROW_RECOVERED,
                workspace=account.workspace,
                holder=incarnation,
                drawn=holder.drawn,
                used=used.tokens,
                reported_spent=holder.spent,
                locked=holder.locked,
                witnessed=used.witnessed,
            )
