"""Reserve tokens for requests from this host's draws."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.accounts import SETTLE_INTERVAL_S, Accounts
from trefoilstage.components.budget.draw_pool import NO_WITNESS, DrawPool, Hold
from trefoilstage.components.budget.draw_requester import DrawRequester
from trefoilstage.components.budget.messages import Starved, StarvedReply
from trefoilstage.components.budget.peers import BudgetPeers
from trefoilstage.components.budget.policy import PEER_RETURN_WAIT_S, DrawPolicy
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
RETURN_INTERVAL_S = 0.1
KEEP_RETURNING_S = 1.0
RETRY_AFTER_WITNESS_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Identify the tokens held for one request.

    `number` is that of the hold within its draw.
    """

    request: str
    account: str
    draw: str
    number: int
    tokens: int
    workspace: str = ""
    targets: tuple[str, ...] = ()

    def allows(self, url: str) -> bool:
        """Return whether the request may be sent to a target's address."""
        # The witness does not know a target that joined after the hold was made.
        # After a loss of this host, tokens spent there would be granted again.
        return not self.targets or url in self.targets


class BudgetController(Service):
    """Draw, hold, settle and return tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        server: PeerServer,
        accounts: Accounts,
        drawing: DrawRequester,
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
        server.register(Starved, self._handle_starved)

    async def on_start(self) -> None:
        """Start the timers of settlements and returns."""
        self._unsubscribe = self._timer.subscribe(
            name="settle", interval_s=SETTLE_INTERVAL_S, callback=self._tick
        )

        self._unsubscribe_return = self._timer.subscribe(
            name="return",
            interval_s=RETURN_INTERVAL_S,
            callback=self._return_to_starved_peers,
        )

    async def on_stop(self) -> None:
        """Stop the timers of settlements and returns."""
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
        """Hold the most that a request may spend, or return a refusal.

        The targets are the addresses that the request may be sent to, given
        only if each of them permanently rejects a cancelled request.
        """
        pool = self._get_pool(account)
        pool.demand += tokens
        deadline = self._timer.now() + self._admission_wait_s
        return_wait_s = PEER_RETURN_WAIT_S[self._accounts.get_preference(pool)]
        return_deadline = min(deadline, self._timer.now() + return_wait_s)
        while True:
            if self._accounts.count_usable(pool) < tokens:
                refusal = await self._drawing.obtain(
                    pool, tokens, deadline, return_deadline
                )
                if refusal is not None:
                    return refusal
                continue
            draw = pool.get_or_open_draw(NO_WITNESS)
            hold = draw.add_hold(
                request=request, key=key, tokens=tokens, targets=targets
            )
            self._drawing.draw_ahead(pool)
            if await self._confirm_hold(pool, draw, hold, deadline):
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
        """End a reservation with the tokens that the target spent."""
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
            self._drawing.notify_change(pool)
            draw.settle_hold(reservation.number, min(tokens, reservation.tokens))

    def count_usable(self, account: str) -> int:
        """Return the amount that new requests may hold without another draw."""
        pool = self._get_pool(account)
        return self._accounts.count_usable(pool)

    async def ensure_usable(self, account: str, amount: int) -> bool:
        """Draw until an amount is usable; return whether it is."""
        pool = self._get_pool(account)
        deadline = self._timer.now() + self._admission_wait_s
        while self._accounts.count_usable(pool) < amount:
            refusal = await self._drawing.obtain(pool, amount, deadline, deadline)
            if refusal is not None:
                return False
        return True

    def return_unheld(self, account: str) -> None:
        """Give back immediately what no request holds of an account."""
        pool = self._get_pool(account)
        self._return_tokens(pool, self._accounts.count_usable(pool))

    def retire_draw(self, account: str) -> None:
        """Retire the current draw; the next one is opened after all existing fences."""
        self._get_pool(account).retire_current()

    async def return_all(self, timeout_s: float) -> None:
        """Settle and close every draw; call it when no request is running."""
        deadline = self._timer.now() + timeout_s
        while self._timer.now() < deadline:
            for pool in self._pools.values():
                pool.retire_current()
                self._settle(pool)
            if not any(pool.retired for pool in self._pools.values()):
                return
            await asyncio.sleep(CLOSE_POLL_S)

    def _get_pool(self, account: str) -> AccountPool:
        pool = self._pools.get(account)
        if pool is None:
            pool = AccountPool(
                account=account,
                number=self._streams.get_ledger_number(account),
                prefix=self._blackboard.incarnation,
                returnable=account.startswith(SITE_ACCOUNT_PREFIX),
            )
            self._pools[account] = pool
        return pool

    async def _handle_starved(self, message: Starved) -> PeerMessage:
        pool = self._pools.get(message.account)
        if pool is None:
            return StarvedReply(returned=0)
        pool.asked_until = self._timer.now() + KEEP_RETURNING_S
        return StarvedReply(
            returned=self._return_tokens(pool, self._accounts.count_usable(pool))
        )

    async def _return_to_starved_peers(self) -> None:
        # Tokens come free here in small amounts, as requests spend less than they held.
        # Each amount alone is too small for a request of the starved peer.
        for pool in self._pools.values():
            if self._timer.now() < pool.asked_until:
                self._return_tokens(pool, self._accounts.count_usable(pool))

    def _return_tokens(self, pool: AccountPool, amount: int) -> int:
        record = pool.make_return(amount)
        draw = pool.current
        if record is None or draw is None:
            return 0
        self._submit_return(pool, draw, record)
        return amount

    def _submit_return(self, pool: AccountPool, draw: DrawPool, record: Return) -> None:
        def on_verdict(future: asyncio.Future[Verdict]) -> None:
            draw.returning = 0
            if not future.cancelled() and isinstance(future.result(), Accepted):
                pool.drawn -= record.amount

        ticket = self._streams.submit_ledger(pool.number, record)
        ticket.future.add_done_callback(on_verdict)

    async def _confirm_hold(
        self, pool: AccountPool, draw: DrawPool, hold: Hold, deadline: float
    ) -> bool:
        try:
            while not hold.confirmed:
                if draw.retired or self._timer.now() >= deadline:
                    break
                await self._witnesses.send_update(pool, draw, deadline)
        except asyncio.CancelledError:
            draw.settle_hold(hold.number, 0)
            raise
        if not hold.confirmed:
            # An unconfirmed request was sent to no target, so it spent nothing.
            draw.settle_hold(hold.number, 0)
        return hold.confirmed

    async def _tick(self) -> None:
        for pool in list(self._pools.values()):
            pool.update_demand_rate(SETTLE_INTERVAL_S)
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
        def on_verdict(_: asyncio.Future[Verdict]) -> None:
            draw.settling = False

        draw.settling = True
        ticket = self._streams.submit_ledger(pool.number, record)
        ticket.future.add_done_callback(on_verdict)

    def _review_witness(self, pool: AccountPool) -> None:
        draw = pool.current
        if draw is None:
            return
        # If this host is lost, a draw without a live witness is lost in full: one that
        # was opened without live peers, or whose witness is lost. A new draw has a
        # live witness.
        reachable = self._accounts.is_log_reachable(pool)
        if reachable and self._peers.has_better_witness(draw.witness):
            log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
            pool.retire_current()
        elif draw.unwitnessed:
            self._witnesses.start_update(pool, draw)

    def _return_surplus(self, pool: AccountPool) -> None:
        usable = self._accounts.count_usable(pool)
        surplus = self._policy.compute_surplus(
            self._accounts.take_snapshot(pool), usable
        )
        self._return_tokens(pool, min(surplus, usable))
