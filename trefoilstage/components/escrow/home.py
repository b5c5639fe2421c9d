"""Hold tokens for the requests of all hosts, as the home of some workspaces."""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.messages import (
    HoldReply,
    HoldTokens,
    SettledHold,
    SettleHolds,
    SettleReply,
)
from trefoilstage.components.escrow.reclaim import Reclaimer
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.components.escrow.stock import HomeRank, StockChange
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.store import Store, StoreUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason
from trefoilstage.timer import TimerService

TICK_S = 0.1
# A draw takes a read and a write: 10 to 18 ms, and 0.6 s when the store is slow. A
# request that waits for it is late; refused, it would not be served at all.
DRAW_WAIT_S = 1.0
MAX_CONFLICTS = 8
# After a failed draw the account is left alone for a moment: each call is priced,
# and requests meanwhile are refused at once instead of waiting in vain.
FAILURE_PAUSE_S = 0.3
# An account that was found used up is looked at again this often, so that tokens
# given back by other hosts are seen.
EXHAUSTED_CHECK_S = 0.5

# When all hosts of a large fleet start, each home would write a list of all of them at
# every tick. A requester that is not on it yet and asks has it written at once.
NAMING_PAUSE_S = 1.0
# While a large fleet starts, each host knows some of the others only and takes itself
# for the home of many workspaces; their draws would pass what the store takes. Without
# a request that waits for it, an account is first read once the live hosts have stayed
# the same this long.
SETTLE_S = 1.0
# Between two tries to recover an ended home's tokens; a witness may be out of reach.
RECOVERY_PAUSE_S = 0.5

RankHome = Callable[[str], HomeRank]


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
        rank_home: RankHome,
        recovery: EscrowRecovery,
        lock: ReserveLock,
    ) -> None:
        super().__init__()
        self._board = board
        self._timer = timer
        self._rank_home = rank_home
        self._recovery = recovery
        self._lock = lock
        self._accounts: dict[str, EscrowAccount] = {}
        self._records = AccountStore(
            store=store,
            timer=timer,
            n_partitions=n_partitions,
            accounts=self._accounts,
        )
        self._reclaimer = Reclaimer(records=self._records, recovery=recovery)
        self._draws: dict[str, asyncio.Task[None]] = {}
        self._paused_until: dict[str, float] = {}
        self._recover_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}  # when requesters were written
        server.register(HoldTokens, self._answer_hold)
        server.register(SettleHolds, self._answer_settle)

    async def on_start(self) -> None:
        """Start to keep stocks."""
        self._unsubscribe = self._timer.subscribe(
            name="escrow", interval_s=TICK_S, callback=self._tick
        )

    async def on_stop(self) -> None:
        """Stop keeping stocks."""
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
        """Hold tokens for a request; return why not, or None once they are held."""
        account = self._get_account(workspace)
        if account is None:
            return Reason.UNKNOWN_ACCOUNT
        now = self._timer.now()
        if not repeat:
            account.demand.note(tokens, now)
        if account.hold(request, tokens, requester, now):
            return None
        if self._is_paused(workspace):
            return self._refuse(account, request, tokens)
        if not account.can_cover(tokens) and not self._may_check(workspace):
            return self._refuse(account, request, tokens)
        self._recovery.note_requester(requester)
        account.waiting += tokens
        try:
            await self._wait_for_draw(workspace)
        finally:
            account.waiting -= tokens
        if account.hold(request, tokens, requester, self._timer.now()):
            return None
        return self._refuse(account, request, tokens)

    def settle(self, holds: tuple[SettledHold, ...]) -> None:
        """Count what requests spent of their holds."""
        for item in holds:
            account = self._accounts.get(item.workspace)
            if account is not None:
                account.settle(item.request, item.spent)

    async def return_all(self) -> None:
        """Give back what this host does not need, as it leaves."""
        for workspace, account in self._accounts.items():
            draw = self._draws.get(workspace)
            if draw is not None and not draw.done():
                await draw
            if account.unused > 0 or account.locked > 0:
                await self._change(workspace, make_return)

    def list_accounts(self) -> list[EscrowAccount]:
        """Return the accounts that this host has held tokens for."""
        return list(self._accounts.values())

    def has_locked(self) -> bool:
        """Tell whether the store may say that tokens are locked here."""
        return any(account.locked > 0 for account in self._accounts.values())

    def has_touched_lock(self) -> bool:
        """Tell whether tokens are in use that the store may say are locked."""
        return any(account.is_touched for account in self._accounts.values())

    def get_lock_wait(self) -> float:
        """Return the seconds until locked tokens may be used, 0 if they may be."""
        return max(0.0, self._lock.until - self._timer.now())

    async def _answer_hold(self, message: HoldTokens) -> HoldReply:
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
            lock_wait_s=self.get_lock_wait(),
        )

    async def _answer_settle(self, message: SettleHolds) -> SettleReply:
        # What an earlier incarnation held was counted as spent in full.
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
        confirmed = not self._is_paused(account.workspace)
        covered = account.can_cover(tokens)
        reason = Reason.BUDGET_UNCONFIRMED
        if confirmed and not covered:
            spent = account.is_nearly_spent(tokens)
            reason = Reason.BUDGET_EXHAUSTED if spent else Reason.BUDGET_DRAWN
        log_event(
            Event.HOLD_REFUSED,
            request=request,
            workspace=account.workspace,
            reason=reason,
            tokens=tokens,
            available=account.get_available(self._timer.now()),
            locked=account.locked,
            free=account.free,
            drawn_by_all=account.record.drawn,
            spent_by_all=account.record.spent,
            prepaid=account.prepaid,
            confirmed=confirmed,
        )
        return reason

    def _is_paused(self, workspace: str) -> bool:
        # Nothing can be drawn; who waited would be refused a second later.
        if self._board.store.out_of_reach:
            return True
        return self._timer.now() < self._paused_until.get(workspace, 0.0)

    def _may_check(self, workspace: str) -> bool:
        return self._records.get_age(workspace) >= EXHAUSTED_CHECK_S

    async def _wait_for_draw(self, workspace: str) -> None:
        draw = self._start_draw(workspace)
        try:
            async with asyncio.timeout(DRAW_WAIT_S):
                await asyncio.shield(draw)
        except TimeoutError:
            return

    def _start_draw(self, workspace: str) -> asyncio.Task[None]:
        draw = self._draws.get(workspace)
        if draw is None or draw.done():
            draw = asyncio.create_task(self._draw(workspace))
            self._draws[workspace] = draw
        return draw

    def _wants_record(self, account: EscrowAccount, now: float, rank: HomeRank) -> bool:
        if account.plan_change(now, rank) is not None:
            return True
        if rank is HomeRank.NONE or not self._may_name(account.workspace, now):
            return False
        return self._lacks_requester(account)

    def _is_gathering(self, now: float) -> bool:
        """Tell whether hosts of a large fleet are just coming or going."""
        gathers = now - self._board.live_changed_at < SETTLE_S
        return gathers and self._board.is_large()

    def _may_name(self, workspace: str, now: float) -> bool:
        """Tell whether requesters that did not ask yet may be written."""
        named_at = self._named_at.get(workspace, float("-inf"))
        return not self._board.is_large() or now - named_at >= NAMING_PAUSE_S

    def _start_recovery(self, workspace: str, now: float) -> None:
        draw = self._draws.get(workspace)
        if draw is not None and not draw.done():
            return
        if now < self._recover_at.get(workspace, 0.0):
            return
        self._recover_at[workspace] = now + RECOVERY_PAUSE_S
        self._draws[workspace] = asyncio.create_task(self._recover(workspace))

    async def _draw(self, workspace: str) -> None:
        def plan(account: EscrowAccount) -> StockChange | None:
            return account.plan_change(self._timer.now(), self._rank_home(workspace))

        await self._change(workspace, plan)

    async def _change(
        self, workspace: str, plan: Callable[[EscrowAccount], StockChange | None]
    ) -> None:
        """Draw or give back, tried anew while other hosts write the partition."""
        account = self._accounts[workspace]
        refresh = not self._records.is_known(workspace) or account.free == 0
        try:
            for _ in range(MAX_CONFLICTS):
                if refresh:
                    await self._records.refresh(workspace)
                change = plan(account)
                if change is None:
                    if not self._must_write(account):
                        return
                    change = StockChange(tokens=0, locked=account.locked)
                self._close_lock(change)
                served = self._recovery.list_requesters()
                if await self._records.change(account, change, served):
                    self._named_at[workspace] = self._timer.now()
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
            self._note_failure(workspace, error)

    def _close_lock(self, change: StockChange) -> None:
        """Use no locked tokens before the keeper has written the first promise.

        It promises nothing once they are in use. A lock that is closed stays as it
        is: put off by each try to draw, it would open later in an outage.
        """
        now = self._timer.now()
        is_open = self._lock.is_open(now)
        if change.locked > 0 and is_open and not self.has_touched_lock():
            self._lock.promise(now)

    def _note_failure(self, workspace: str, error: StoreUnavailableError) -> None:
        self._records.forget_end(workspace)
        now = self._timer.now()
        self._paused_until[workspace] = now + FAILURE_PAUSE_S
        self._board.store.note_failure(now, str(error))
        log_event(Event.ESCROW_DRAW_FAILED, workspace=workspace, error=str(error))

    def _must_write(self, account: EscrowAccount) -> bool:
        rank = self._rank_home(account.workspace)
        asked = account.waiting > 0 or rank is not HomeRank.NONE
        return asked and self._lacks_requester(account)

    def _lacks_requester(self, account: EscrowAccount) -> bool:
        """Tell whether a host that may ask is not named in the record yet.

        Named only once it asks, a host that came up before an outage would get
        nothing from the stock until the store is back.
        """
        return not all(
            account.serves(requester)
            for requester in self._recovery.list_requesters().values()
        )

    async def _recover(self, workspace: str) -> None:
        try:
            await self._reclaimer.reclaim(self._accounts[workspace])
        except StoreUnavailableError as error:
            self._note_failure(workspace, error)

    async def _tick(self) -> None:
        configuration = self._board.configuration
        if configuration is None or self._board.store.out_of_reach:
            return
        now = self._timer.now()
        for workspace in configuration.workspaces:
            rank = self._rank_home(workspace)
            home = rank is not HomeRank.NONE
            account = self._get_account(workspace) if home else None
            # A stock that this host is no longer the home for is given back.
            account = account or self._accounts.get(workspace)
            if account is None or self._is_paused(workspace):
                continue
            if account.record_offset < 0 and not self._may_check(workspace):
                continue
            unread = account.record_offset < 0
            if unread and self._is_gathering(now):
                continue
            if rank is HomeRank.FIRST and self._reclaimer.has_ended_holder(account):
                self._start_recovery(workspace, now)
            elif unread or self._wants_record(account, now, rank):
                self._start_draw(workspace)


def make_return(account: EscrowAccount) -> StockChange:
    """Return the change that gives all unused tokens back."""
    return StockChange(tokens=-max(0, account.unused), locked=0)
