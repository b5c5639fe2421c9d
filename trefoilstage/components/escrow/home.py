"""Hold tokens for the requests of all hosts, as the home of some workspaces."""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.escrow.account import EscrowAccount, HomeRank
from trefoilstage.components.escrow.messages import (
    HoldReply,
    HoldTokens,
    SettledHold,
    SettleHolds,
    SettleReply,
)
from trefoilstage.components.escrow.record import ACCOUNT_CODEC, AccountRecord
from trefoilstage.components.escrow.recovery import EscrowRecovery, Unknown
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.store import (
    Store,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import pick_stream

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
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._timer = timer
        self._n_partitions = n_partitions
        self._rank_home = rank_home
        self._recovery = recovery
        self._accounts: dict[str, EscrowAccount] = {}
        self._draws: dict[str, asyncio.Task[None]] = {}
        self._ends: dict[int, int] = {}  # where each partition ended last
        self._paused_until: dict[str, float] = {}
        self._checked_at: dict[str, float] = {}
        self._recover_at: dict[str, float] = {}
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
        self, workspace: str, request: str, tokens: int, requester: str
    ) -> Reason | None:
        """Hold tokens for a request; return why not, or None once they are held."""
        account = self._get_account(workspace)
        if account is None:
            return Reason.UNKNOWN_ACCOUNT
        now = self._timer.now()
        account.demand.note(tokens, now)
        if account.hold(request, tokens, requester):
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
        if account.hold(request, tokens, requester):
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
            if account.available > 0:
                await self._change(workspace, lambda item: -max(0, item.available))

    def list_accounts(self) -> list[EscrowAccount]:
        """Return the accounts that this host has held tokens for."""
        return list(self._accounts.values())

    async def _answer_hold(self, message: HoldTokens) -> HoldReply:
        reason = await self.hold(
            message.workspace, message.request, message.tokens, message.requester
        )
        return HoldReply(incarnation=self._board.incarnation, refused=reason)

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
            available=account.available,
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
        checked_at = self._checked_at.get(workspace, float("-inf"))
        return self._timer.now() - checked_at >= EXHAUSTED_CHECK_S

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
        if account.want_change(now, rank):
            return True
        return rank is not HomeRank.NONE and self._lacks_requester(account)

    def _start_recovery(self, workspace: str, now: float) -> None:
        draw = self._draws.get(workspace)
        if draw is not None and not draw.done():
            return
        if now < self._recover_at.get(workspace, 0.0):
            return
        self._recover_at[workspace] = now + RECOVERY_PAUSE_S
        self._draws[workspace] = asyncio.create_task(self._recover(workspace))

    async def _draw(self, workspace: str) -> None:
        def get_amount(account: EscrowAccount) -> int:
            rank = self._rank_home(workspace)
            return account.want_change(self._timer.now(), rank)

        await self._change(workspace, get_amount)

    async def _change(
        self, workspace: str, get_amount: Callable[[EscrowAccount], int]
    ) -> None:
        """Draw or give back, tried anew while other hosts write the partition.

        A write counts only if the partition ended where this host saw it end, so
        no two hosts draw the same tokens. A write whose answer was lost either
        took that place, and is then read back, or can never land.
        """
        account = self._accounts[workspace]
        partition = pick_stream(workspace, self._n_partitions)
        # Without its record read, an account looks empty, and a write would drop
        # what other hosts have drawn.
        unread = workspace not in self._checked_at
        refresh = unread or partition not in self._ends or account.free == 0
        try:
            for _ in range(MAX_CONFLICTS):
                if refresh:
                    await self._refresh(account, partition)
                amount = get_amount(account)
                rank = self._rank_home(workspace)
                idle = account.waiting == 0 and rank is HomeRank.NONE
                if amount == 0 and (idle or not self._lacks_requester(account)):
                    return
                if await self._write(account, partition, amount):
                    log_event(
                        Event.ESCROW_DRAWN,
                        workspace=workspace,
                        tokens=amount,
                        available=account.available,
                        free=account.free,
                    )
                    return
                refresh = True
        except StoreUnavailableError as error:
            # The next change reads first: the write may have taken effect.
            self._ends.pop(partition, None)
            now = self._timer.now()
            self._paused_until[workspace] = now + FAILURE_PAUSE_S
            self._board.store.note_failure(now, str(error))
            log_event(Event.ESCROW_DRAW_FAILED, workspace=workspace, error=str(error))

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
        """Draw back what an ended home had drawn and not granted."""
        account = self._accounts[workspace]
        partition = pick_stream(workspace, self._n_partitions)
        try:
            await self._refresh(account, partition)
            for incarnation, holder in account.record.holders.items():
                if not self._recovery.has_ended(holder.host, incarnation):
                    continue
                verdict = await self._recovery.find_used(workspace, incarnation, holder)
                if isinstance(verdict, Unknown):
                    continue
                record = account.record.retire(incarnation, verdict.tokens)
                if await self._put(account, partition, record):
                    log_event(
                        Event.ESCROW_RECOVERED,
                        workspace=workspace,
                        holder=incarnation,
                        drawn=holder.drawn,
                        used=verdict.tokens,
                    )
                return
        except StoreUnavailableError as error:
            self._ends.pop(partition, None)
            self._board.store.note_failure(self._timer.now(), str(error))

    def _has_ended_holder(self, account: EscrowAccount) -> bool:
        return any(
            self._recovery.has_ended(holder.host, incarnation)
            for incarnation, holder in account.record.holders.items()
        )

    async def _refresh(self, account: EscrowAccount, partition: int) -> None:
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
        self._checked_at[account.workspace] = self._timer.now()
        account.take_end(listing.end_offset)

    async def _write(self, account: EscrowAccount, partition: int, amount: int) -> bool:
        record = account.make_draw(amount, self._recovery.list_requesters())
        if amount < 0:
            account.start_return(-amount, self._ends[partition])
        return await self._put(account, partition, record)

    async def _put(
        self, account: EscrowAccount, partition: int, record: AccountRecord
    ) -> bool:
        end_offset = self._ends[partition]
        try:
            offset = await self._store.put(
                Topic.ACCOUNTS,
                account.workspace,
                ACCOUNT_CODEC.encode(record),
                partition=partition,
                at=end_offset,
            )
        except StoreRefusedError:
            account.end_return()
            raise
        account.end_return()
        if offset is None:
            return False
        self._ends[partition] = offset + 1
        account.take_record(record, offset)
        return True

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
            if rank is HomeRank.FIRST and self._has_ended_holder(account):
                self._start_recovery(workspace, now)
            elif unread or self._wants_record(account, now, rank):
                self._start_draw(workspace)
