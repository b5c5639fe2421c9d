"""Hold tokens for requests from this host's draws."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.accounts import SETTLE_S, Accounts
from trefoilstage.components.budget.drawing import Drawing
from trefoilstage.components.budget.messages import Starved, StarvedReply
from trefoilstage.components.budget.peers import BudgetPeers
from trefoilstage.components.budget.policy import RETURN_WAIT_S, DrawPolicy
from trefoilstage.components.budget.pool import NO_WITNESS, DrawPool, Hold
from trefoilstage.components.budget.witness_client import WitnessClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal, Verdict
from trefoilstage.ledger.records import Return, Settle
from trefoilstage.timer import TimerService

CLOSE_POLL_S = 0.05
RETURN_S = 0.1
ASKED_S = 1.0
RETRY_AFTER_WITNESS_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Name the tokens held for one request."""

    request: str
    account: str
    draw: str
    number: int
    tokens: int
    workspace: str = ""
    targets: tuple[str, ...] = ()

    def allows(self, url: str) -> bool:
        """Tell whether the request may be sent to a target's address."""
        # A target that joined after the hold was made is unknown to the
        # witness: what ran there would be given out a second time.
        return not self.targets or url in self.targets


class BudgetController(Service):
    """Draw, hold, settle and give back tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        server: PeerServer,
        accounts: Accounts,
        drawing: Drawing,
        peers: BudgetPeers,
        witnesses: WitnessClient,
        timer: TimerService,
        policy: DrawPolicy,
        admission_wait_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._accounts = accounts
        self._drawing = drawing
        self._peers = peers
        self._witnesses = witnesses
        self._timer = timer
        self._policy = policy
        self._admission_wait_s = admission_wait_s
        self._pools: dict[str, AccountPool] = {}
        server.register(Starved, self._answer_starved)

    async def on_start(self) -> None:
        """Start settling."""
        self._unsubscribe = self._timer.subscribe(
            name="settle", interval_s=SETTLE_S, callback=self._tick
        )

        self._unsubscribe_return = self._timer.subscribe(
            name="return", interval_s=RETURN_S, callback=self._return_asked
        )

    async def on_stop(self) -> None:
        """Stop settling."""
        self._unsubscribe()
        self._unsubscribe_return()

    async def reserve(
        self,
        *,
        request: str,
        key: str,
        account: str,
        tokens: int,
        workspace: str = "",
        targets: Sequence[str] = (),
    ) -> Reservation | Refusal:
        """Hold the most a request may spend, or say why that can't be.

        The targets are the addresses that the request may be sent to, given
        only if each of them turns a cancelled request away for good.
        """
        pool = self._get_pool(account)
        pool.demand += tokens
        deadline = self._timer.now() + self._admission_wait_s
        wait_s = RETURN_WAIT_S[self._accounts.get_preference(pool)]
        patience = min(deadline, self._timer.now() + wait_s)
        while True:
            if self._accounts.count_usable(pool) < tokens:
                refusal = await self._drawing.obtain(pool, tokens, deadline, patience)
                if refusal is not None:
                    return refusal
                continue
            draw = pool.open_draw(NO_WITNESS)
            hold = draw.add_hold(
                request=request, key=key, tokens=tokens, targets=targets
            )
            self._drawing.draw_ahead(pool)
            if await self._confirm(pool, draw, hold, deadline):
                return Reservation(
                    request=request,
                    account=account,
                    draw=draw.draw,
                    number=hold.number,
                    tokens=tokens,
                    workspace=workspace,
                    targets=tuple(targets),
                )
            if self._timer.now() >= deadline:
                return Refusal(
                    reason=Reason.BUDGET_UNCONFIRMED,
                    retry_after_s=RETRY_AFTER_WITNESS_S,
                )

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation with what the target really spent."""
        if tokens > reservation.tokens:
            log_event(
                Event.USAGE_ABOVE_RESERVATION,
                request=reservation.request,
                workspace=reservation.workspace,
                used=tokens,
                reserved=reservation.tokens,
            )
        pool = self._pools[reservation.account]
        draw = pool.find_draw(reservation.draw)
        if draw is not None:
            self._drawing.note_change(pool)
            draw.settle_hold(reservation.number, min(tokens, reservation.tokens))

    def count_usable(self, account: str) -> int:
        """Return what this host may hold of an account without the log."""
        pool = self._get_pool(account)
        return self._accounts.count_usable(pool)

    async def stock(self, account: str, amount: int) -> bool:
        """Draw until an amount is usable; tell whether it is."""
        pool = self._get_pool(account)
        deadline = self._timer.now() + self._admission_wait_s
        while self._accounts.count_usable(pool) < amount:
            refusal = await self._drawing.obtain(pool, amount, deadline, deadline)
            if refusal is not None:
                return False
        return True

    def give_back(self, account: str) -> None:
        """Return what no request holds of an account at once."""
        pool = self._get_pool(account)
        self._give_back(pool, self._accounts.count_usable(pool))

    def renew(self, account: str) -> None:
        """Hold the next requests in a new draw, which no older fence covers."""
        self._get_pool(account).retire()

    async def return_all(self, timeout_s: float) -> None:
        """Settle and close every draw; call it when no request is left."""
        deadline = self._timer.now() + timeout_s
        while self._timer.now() < deadline:
            for pool in self._pools.values():
                pool.retire()
                self._settle(pool)
            if not any(pool.retired for pool in self._pools.values()):
                return
            await asyncio.sleep(CLOSE_POLL_S)

    def _get_pool(self, account: str) -> AccountPool:
        pool = self._pools.get(account)
        if pool is None:
            pool = AccountPool(
                account=account,
                number=self._streams.pick_number(account),
                prefix=self._blackboard.incarnation,
                returnable=account.startswith(SITE_ACCOUNT_PREFIX),
            )
            self._pools[account] = pool
        return pool

    async def _answer_starved(self, message: Starved) -> PeerMessage:
        pool = self._pools.get(message.account)
        if pool is None:
            return StarvedReply(returned=0)
        pool.asked_until = self._timer.now() + ASKED_S
        return StarvedReply(
            returned=self._give_back(pool, self._accounts.count_usable(pool))
        )

    async def _return_asked(self) -> None:
        # What a peer lacks comes free in small parts, as requests end below
        # their worst case. Kept here, each part is too little for a request.
        for pool in self._pools.values():
            if self._timer.now() < pool.asked_until:
                self._give_back(pool, self._accounts.count_usable(pool))

    def _give_back(self, pool: AccountPool, amount: int) -> int:
        record = pool.make_return(amount)
        draw = pool.current
        if record is None or draw is None:
            return 0
        self._submit_return(pool, draw, record)
        return amount

    def _submit_return(self, pool: AccountPool, draw: DrawPool, record: Return) -> None:
        def note(future: asyncio.Future[Verdict]) -> None:
            draw.returning = 0
            if not future.cancelled() and isinstance(future.result(), Accepted):
                pool.drawn -= record.amount

        ticket = self._streams.submit_ledger(pool.number, record)
        ticket.future.add_done_callback(note)

    async def _confirm(
        self, pool: AccountPool, draw: DrawPool, hold: Hold, deadline: float
    ) -> bool:
        try:
            while not hold.confirmed:
                if draw.retired or self._timer.now() >= deadline:
                    break
                await self._witnesses.update(pool, draw, deadline)
        except asyncio.CancelledError:
            draw.settle_hold(hold.number, 0)
            raise
        if not hold.confirmed:
            # Not confirmed means not sent to any target: nothing was spent.
            draw.settle_hold(hold.number, 0)
        return hold.confirmed

    async def _tick(self) -> None:
        for pool in list(self._pools.values()):
            pool.note_interval(SETTLE_S)
            self._settle(pool)
            self._review_witness(pool)
            self._return_surplus(pool)

    def _settle(self, pool: AccountPool) -> None:
        draws = self._accounts.get_ledger(pool).draws
        for draw, record in list(pool.make_settlements(draws)):
            self._submit_settlement(pool, draw, record)
        pool.drop_closed(draws)

    def _submit_settlement(
        self, pool: AccountPool, draw: DrawPool, record: Settle
    ) -> None:
        def note(_: asyncio.Future[Verdict]) -> None:
            draw.settling = False

        draw.settling = True
        ticket = self._streams.submit_ledger(pool.number, record)
        ticket.future.add_done_callback(note)

    def _review_witness(self, pool: AccountPool) -> None:
        draw = pool.current
        if draw is None:
            return
        # A draw opened while this host was alone, or whose witness is gone,
        # would be lost whole if this host died; a new one is covered.
        reachable = self._accounts.is_log_reachable(pool)
        if reachable and self._peers.has_better_witness(draw.witness):
            log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
            pool.retire()
        elif draw.unwitnessed:
            self._witnesses.start_update(pool, draw)

    def _return_surplus(self, pool: AccountPool) -> None:
        usable = self._accounts.count_usable(pool)
        surplus = self._policy.count_surplus(self._accounts.describe(pool), usable)
        self._give_back(pool, min(surplus, usable))
