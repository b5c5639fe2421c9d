"""Hold tokens for the requests of all hosts, as the home of some workspaces.

The home draws tokens from a workspace's account in the store and keeps a stock of them.
A request gets a hold on tokens and later settles it with what it spent.
"""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.components.escrow.call_intervals import CallIntervals
from trefoilstage.components.escrow.draw_pauses import DrawPauses
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.hold_refusals import find_reason, log_refusal
from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.messages import (
    AccountsReply,
    AskAccounts,
    GrantBasis,
    HoldReply,
    HoldTokens,
    SettledHold,
    SettleHolds,
    SettleReply,
)
from trefoilstage.components.escrow.reclaim import Reclaimer
from trefoilstage.components.escrow.reconciler import AskForAccounts, Reconciler
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.components.escrow.retry_after import estimate_store_return
from trefoilstage.components.escrow.stock import HomeRank, StockChange
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.store import (
    Store,
    StoreUnavailableError,
    split_position,
)
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason
from trefoilstage.timer import TimerService

STOCK_CHECK_INTERVAL_S = 0.1
# A draw takes a read and a write: 10 to 18 ms, and 0.6 s when the store is slow. A
# request that waits for it is late, but a refused one would not be served at all.
DRAW_WAIT_S = 1.0
MAX_WRITE_TRIES = 8
# After the store came back older, the home of an account reconciles it, and other hosts
# read the result. If all of them asked all hosts at once, most calls would be useless.
READ_RECONCILED_AFTER_S = 1.0

GetOwnRank = Callable[[str], HomeRank]


class EscrowHome(Service):
    """Draw tokens from the store and hold them for requests."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        server: PeerServer,
        timer: TimerService,
        n_partitions: int,
        get_own_rank: GetOwnRank,
        recovery: EscrowRecovery,
        grants: GrantRegistry,
        ask_accounts: AskForAccounts,
        lock: ReserveLock,
    ) -> None:
        super().__init__()
        self._board = board
        self._timer = timer
        self._get_own_rank = get_own_rank
        self._recovery = recovery
        self._lock = lock
        self._accounts: dict[str, EscrowAccount] = {}
        self._account_store = AccountStore(
            store=store,
            timer=timer,
            n_partitions=n_partitions,
            accounts=self._accounts,
        )
        self._pauses = DrawPauses(board=board, timer=timer)
        self._reclaimer = Reclaimer(
            account_store=self._account_store, recovery=recovery
        )
        self._reconciler = Reconciler(
            board=board,
            timer=timer,
            grants=grants,
            accounts=self._accounts,
            account_store=self._account_store,
            ask_accounts=ask_accounts,
        )
        # Draws and recoveries by workspace; those of one account do not overlap.
        self._account_tasks: dict[str, asyncio.Task[None]] = {}
        self._intervals = CallIntervals(board=board, account_store=self._account_store)
        server.register(HoldTokens, self._handle_hold)
        server.register(SettleHolds, self._handle_settle)
        server.register(AskAccounts, self._handle_ask_accounts)

    async def on_start(self) -> None:
        """Start the periodic check of the stocks."""
        self._unsubscribe = self._timer.subscribe(
            name="escrow",
            interval_s=STOCK_CHECK_INTERVAL_S,
            callback=self._check_stocks,
        )

    async def on_stop(self) -> None:
        """Stop the periodic check of the stocks."""
        self._unsubscribe()

    async def hold(
        self,
        workspace: str,
        request: str,
        tokens: int,
        requester: str,
        *,
        repeat: bool = False,
    ) -> Reason | None:
        """Hold tokens for a request; return None, or the reason if refused."""
        account = self._get_account(workspace)
        if account is None:
            return Reason.UNKNOWN_ACCOUNT
        now = self._timer.now()
        if not repeat:
            account.demand.add(tokens, now)
            account.size_demand.add(tokens, now)
        if self._must_leave_to_shorter(account, tokens, now):
            return self._refuse(account, request, tokens)
        if account.hold(request, tokens, requester, now):
            return None
        if self._pauses.is_paused(workspace):
            return self._refuse(account, request, tokens)
        if not account.can_cover(tokens) and not self._intervals.may_reread(workspace):
            return self._refuse(account, request, tokens)
        self._recovery.record_requester(requester)
        account.waiting += tokens
        try:
            await self._wait_for_draw(workspace)
        finally:
            account.waiting -= tokens
        if account.hold(request, tokens, requester, self._timer.now()):
            return None
        return self._refuse(account, request, tokens)

    def forget_stored(self) -> None:
        """Read accounts and write rosters again, as the store came back older."""
        self._account_store.forget_stored()

    def get_basis(self, workspace: str) -> GrantBasis | None:
        """Return what a grant of this host relies on, None if it has made none."""
        account = self._accounts.get(workspace)
        return account.basis if account else None

    def _must_leave_to_shorter(
        self, account: EscrowAccount, tokens: int, now: float
    ) -> bool:
        """Return whether shorter requests need the tokens in this outage."""
        outage_s = self._board.store.get_outage_s(now)
        if outage_s == 0.0:
            return False
        reserve = account.size_demand.compute_reserve(
            tokens, estimate_store_return(outage_s), now
        )
        return account.unused - tokens < reserve

    def settle(self, holds: tuple[SettledHold, ...]) -> None:
        """Count what requests spent of their holds."""
        for item in holds:
            account = self._accounts.get(item.workspace)
            if account is not None:
                account.settle(item.request, item.spent)

    async def return_unused(self) -> None:
        """Return all unused tokens to the accounts, as this host shuts down."""
        for workspace, account in self._accounts.items():
            task = self._account_tasks.get(workspace)
            if task is not None and not task.done():
                await task
            if account.unused > 0 or account.locked > 0:
                await self._change_stock(workspace, plan_full_return)

    def list_accounts(self) -> list[EscrowAccount]:
        """Return the accounts that this host has held tokens for."""
        return list(self._accounts.values())

    def has_locked(self) -> bool:
        """Return whether the store may record tokens of this host as locked."""
        return any(account.locked > 0 for account in self._accounts.values())

    def has_used_locked(self) -> bool:
        """Return whether tokens that the store may record as locked are in use."""
        return any(account.has_used_locked for account in self._accounts.values())

    def get_lock_wait_s(self) -> float:
        """Return the seconds until locked tokens may be used, 0 if they may be now."""
        return max(0.0, self._lock.until - self._timer.now())

    def count_held(self, workspace: str, tokens: int) -> int:
        """Return the tokens held here that may be freed for a request."""
        account = self._accounts.get(workspace)
        return account.count_held_for_live(tokens) if account else 0

    async def _handle_hold(self, message: HoldTokens) -> HoldReply:
        reason = await self.hold(
            message.workspace,
            message.request,
            message.tokens,
            message.requester,
            repeat=message.repeat,
        )
        return HoldReply(
            incarnation=self._board.incarnation,
            refused=reason,
            lock_wait_s=self.get_lock_wait_s(),
            held=(
                self.count_held(message.workspace, message.tokens)
                if reason is Reason.BUDGET_DRAWN
                else 0
            ),
            basis=None if reason else self.get_basis(message.workspace),
        )

    async def _handle_ask_accounts(self, message: AskAccounts) -> AccountsReply:
        return self._reconciler.answer(message)

    async def _handle_settle(self, message: SettleHolds) -> SettleReply:
        # Holds of an earlier incarnation were counted as spent in full.
        if message.incarnation == self._board.incarnation:
            self.settle(message.holds)
        return SettleReply()

    def _get_account(self, workspace: str) -> EscrowAccount | None:
        configuration = self._board.configuration
        config = configuration and configuration.workspaces.get(workspace)
        if not config or config.prepaid_tokens is None:
            return None
        account = self._accounts.get(workspace)
        if account is None:
            account = EscrowAccount(
                workspace=workspace,
                host=self._board.host,
                incarnation=self._board.incarnation,
                lock=self._lock,
            )
            self._accounts[workspace] = account
        account.prepaid = config.prepaid_tokens
        return account

    def _refuse(self, account: EscrowAccount, request: str, tokens: int) -> Reason:
        is_paused = self._pauses.is_paused(account.workspace)
        is_confirmed = not is_paused and account.restored is None
        reason = find_reason(account, tokens, is_confirmed=is_confirmed)
        available = account.get_available(self._timer.now())
        log_refusal(account, request, tokens, reason, available, is_confirmed)
        return reason

    async def _wait_for_draw(self, workspace: str) -> None:
        draw = self._start_draw(workspace)
        try:
            async with asyncio.timeout(DRAW_WAIT_S):
                await asyncio.shield(draw)
        except TimeoutError:
            return

    def _start_draw(self, workspace: str) -> asyncio.Task[None]:
        task = self._account_tasks.get(workspace)
        if task is None or task.done():
            task = asyncio.create_task(self._draw(workspace))
            self._account_tasks[workspace] = task
        return task

    def _needs_write(self, account: EscrowAccount, now: float, rank: HomeRank) -> bool:
        if account.plan_change(now, rank) is not None or account.must_report_spent:
            return True
        if rank is HomeRank.NONE or not self._intervals.may_update_roster(
            account.workspace, now
        ):
            return False
        return self._has_unlisted_requester(account)

    def _start_recovery(self, workspace: str, now: float) -> None:
        task = self._account_tasks.get(workspace)
        if task is not None and not task.done():
            return
        if not self._intervals.take_recovery(workspace, now):
            return
        self._account_tasks[workspace] = asyncio.create_task(self._recover(workspace))

    async def _draw(self, workspace: str) -> None:
        def plan(account: EscrowAccount) -> StockChange | None:
            now = self._timer.now()
            change = account.plan_change(now, self._get_own_rank(workspace))
            if change is None and account.must_report_spent:
                change = StockChange(tokens=0, locked=account.locked)
            return change

        await self._change_stock(workspace, plan)

    async def _change_stock(
        self, workspace: str, plan: Callable[[EscrowAccount], StockChange | None]
    ) -> None:
        """Write a change of the stock; retry if another host has written first."""
        account = self._accounts[workspace]
        refresh = not self._account_store.can_write(workspace) or account.free == 0
        try:
            for _ in range(MAX_WRITE_TRIES):
                if refresh:
                    await self._account_store.refresh(workspace)
                if account.restored and not await self._reconciler.reconcile(account):
                    return
                change = plan(account)
                if change is None:
                    if not self._must_update_roster(account):
                        return
                    change = StockChange(tokens=0, locked=account.locked)
                self._close_lock(change)
                requesters = self._recovery.list_requesters()
                if await self._account_store.change(account, change, requesters):
                    self._intervals.record_roster_written(workspace, self._timer.now())
                    log_event(
                        Event.ESCROW_DRAWN,
                        workspace=workspace,
                        tokens=change.tokens,
                        locked=change.locked,
                        unused=account.unused,
                        free=account.free,
                    )
                    return
                refresh = True
        except StoreUnavailableError as error:
            self._record_store_failure(workspace, error)

    def _close_lock(self, change: StockChange) -> None:
        """Close the lock, so that locked tokens stay unused until the first promise.

        The lock keeper writes no promise once locked tokens are in use. A closed lock
        is not extended: if each attempt to draw extended it, it would open late in an
        outage.
        """
        now = self._timer.now()
        is_open = self._lock.is_open(now)
        if change.locked > 0 and is_open and not self.has_used_locked():
            self._lock.promise(now)

    def _record_store_failure(
        self, workspace: str, error: StoreUnavailableError
    ) -> None:
        self._account_store.forget_end_offset(workspace)
        self._pauses.record_failure(workspace, error)

    def _must_update_roster(self, account: EscrowAccount) -> bool:
        rank = self._get_own_rank(account.workspace)
        may_grant = account.waiting > 0 or rank is not HomeRank.NONE
        return may_grant and self._has_unlisted_requester(account)

    def _has_unlisted_requester(self, account: EscrowAccount) -> bool:
        """Return whether a live host is missing from the account's stored roster.

        If hosts were listed only on their first request, a host that started before
        an outage would get no tokens until the store is back.
        """
        return not all(
            account.is_listed(requester)
            for requester in self._recovery.list_requesters().values()
        )

    async def _recover(self, workspace: str) -> None:
        try:
            await self._reclaimer.reclaim(self._accounts[workspace])
        except StoreUnavailableError as error:
            self._record_store_failure(workspace, error)

    async def _check_stocks(self) -> None:
        configuration = self._board.configuration
        if configuration is None or self._board.store.out_of_reach:
            return
        now = self._timer.now()
        for workspace in configuration.workspaces:
            rank = self._get_own_rank(workspace)
            is_home = rank is not HomeRank.NONE
            account = self._get_account(workspace) if is_home else None
            # Stock is returned when this host is no longer the home.
            account = account or self._accounts.get(workspace)
            if account is None or self._pauses.is_paused(workspace):
                continue
            if account.record_offset < 0 and not self._intervals.may_reread(workspace):
                continue
            is_unread = account.record_offset < 0
            if is_unread and self._intervals.is_fleet_changing(now):
                continue
            if self._is_behind(account):
                self._update_account(account, now, rank)
            elif rank is HomeRank.FIRST and self._reclaimer.may_reclaim(account):
                self._start_recovery(workspace, now)
            elif is_unread or self._needs_write(account, now, rank):
                self._start_draw(workspace)

    def _is_behind(self, account: EscrowAccount) -> bool:
        """Return whether the store came back older since the account was read."""
        if account.restored is not None:
            return True
        read_in, _ = split_position(max(0, account.record_offset))
        is_read = account.record_offset >= 0
        return is_read and read_in < (self._board.store.n_restored or 0)

    def _update_account(
        self, account: EscrowAccount, now: float, rank: HomeRank
    ) -> None:
        """Reconcile an account as its home; other hosts read what the home wrote."""
        is_due = now - self._board.store.restored_at >= READ_RECONCILED_AFTER_S
        may_read = is_due and self._intervals.may_reread(account.workspace)
        if rank is HomeRank.FIRST or may_read:
            self._start_draw(account.workspace)


def plan_full_return(account: EscrowAccount) -> StockChange:
    """Return the change that returns all unused tokens."""
    return StockChange(tokens=-max(0, account.unused), locked=0)
