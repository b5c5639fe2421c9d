"""Hold tokens for requests from this host's draws."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.messages import Starved, StarvedReply
from trefoilstage.components.budget.policy import (
    RETURN_WAIT_S,
    DrawPolicy,
    Recovery,
    Situation,
)
from trefoilstage.components.budget.pool import NO_WITNESS, DrawPool, Hold
from trefoilstage.components.budget.witness_client import WitnessClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.configuration.schema import Preference
from trefoilstage.const import (
    BUDGET_ACCOUNT_PREFIX,
    SITE_ACCOUNT_PREFIX,
)
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal, Rejected, Verdict
from trefoilstage.ledger.records import Draw, Return, Settle
from trefoilstage.ledger.state import AccountState, DrawState, DrawStatus, LedgerState
from trefoilstage.timer import TimerService

SETTLE_S = 0.5
STARVED_S = 1.0
LOG_LOST_WAIT_S = 0.2
CLOSE_POLL_S = 0.05
RETRY_AFTER_HELD_S = 2.0
RETRY_AFTER_EXHAUSTED_S = 30.0
RETRY_AFTER_LOG_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Name the tokens held for one request."""

    request: str
    account: str
    draw: str
    number: int
    tokens: int
    targets: tuple[str, ...] = ()

    def allows(self, url: str) -> bool:
        """Tell whether the request may be sent to a target's address."""
        # A target that joined after the hold was made is unknown to the
        # witness: what ran there would be given out a second time.
        return not self.targets or url in self.targets


@dataclass(frozen=True, kw_only=True, slots=True)
class DrawResult:
    """Hold the verdict on a draw and the least that it asked for."""

    minimum: int
    verdict: Verdict


class BudgetController(Service):  # type: ignore[misc]
    """Draw, hold, settle and give back tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        links: PeerLinks,
        server: PeerServer,
        witnesses: WitnessClient,
        timer: TimerService,
        policy: DrawPolicy,
        recovery: Recovery,
        admission_wait_s: float,
        starved_wait_s: float,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._links = links
        self._witnesses = witnesses
        self._timer = timer
        self._policy = policy
        self._recovery = recovery
        self._admission_wait_s = admission_wait_s
        self._starved_wait_s = starved_wait_s
        self._generator = generator
        self._pools: dict[str, AccountPool] = {}
        self._drawing: dict[str, asyncio.Task[DrawResult]] = {}
        self._starved_until: dict[str, float] = {}
        server.register(Starved, self._answer_starved)

    async def on_start(self) -> None:
        """Start settling."""
        self._unsubscribe = self._timer.subscribe(
            name="settle", interval_s=SETTLE_S, callback=self._tick
        )

    async def on_stop(self) -> None:
        """Stop settling."""
        self._unsubscribe()

    async def reserve(
        self,
        *,
        request: str,
        key: str,
        account: str,
        tokens: int,
        targets: Sequence[str] = (),
    ) -> Reservation | Refusal:
        """Hold the most a request may spend, or say why that can't be.

        The targets are the addresses that the request may be sent to, given
        only if each of them turns a cancelled request away for good.
        """
        pool = self._get_pool(account)
        pool.demand += tokens
        deadline = self._timer.now() + self._admission_wait_s
        while True:
            if pool.count_usable(self._get_ledger(pool).draws) < tokens:
                refusal = await self._obtain(pool, tokens, deadline)
                if refusal is not None:
                    return refusal
                continue
            draw = pool.open_draw(NO_WITNESS)
            hold = draw.add_hold(
                request=request, key=key, tokens=tokens, targets=targets
            )
            self._draw_ahead(pool)
            if await self._confirm(pool, draw, hold, deadline):
                return Reservation(
                    request=request,
                    account=account,
                    draw=draw.draw,
                    number=hold.number,
                    tokens=tokens,
                    targets=tuple(targets),
                )
            if self._timer.now() >= deadline:
                return Refusal(
                    reason=Reason.BUDGET_UNCONFIRMED, retry_after_s=RETRY_AFTER_LOG_S
                )

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """End a reservation with what the target really spent."""
        if tokens > reservation.tokens:
            log_event(
                Event.USAGE_ABOVE_RESERVATION,
                request=reservation.request,
                used=tokens,
                reserved=reservation.tokens,
            )
        draw = self._pools[reservation.account].find_draw(reservation.draw)
        if draw is not None:
            draw.settle_hold(reservation.number, min(tokens, reservation.tokens))

    def count_usable(self, account: str) -> int:
        """Return what this host may hold of an account without the log."""
        pool = self._get_pool(account)
        return pool.count_usable(self._get_ledger(pool).draws)

    async def stock(self, account: str, amount: int) -> bool:
        """Draw until an amount is usable; tell whether it is."""
        deadline = self._timer.now() + self._admission_wait_s
        while self.count_usable(account) < amount:
            refusal = await self._obtain(self._get_pool(account), amount, deadline)
            if refusal is not None:
                return False
        return True

    def give_back(self, account: str) -> None:
        """Return what no request holds of an account at once."""
        pool = self._get_pool(account)
        self._give_back(pool, pool.count_usable(self._get_ledger(pool).draws))

    def renew(self, account: str) -> None:
        """Hold the next requests in a new draw, which no older fence covers."""
        self._get_pool(account).retire()

    def list_pools(self) -> list[AccountPool]:
        """Return this host's pools by account."""
        return [self._pools[name] for name in sorted(self._pools)]

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

    def _get_ledger(self, pool: AccountPool) -> LedgerState:
        return self._blackboard.ledgers[pool.number]

    def _get_account(self, pool: AccountPool) -> AccountState:
        accounts = self._get_ledger(pool).accounts
        return accounts.get(pool.account) or AccountState()

    def _get_preference(self, pool: AccountPool) -> Preference:
        name = pool.account.removeprefix(BUDGET_ACCOUNT_PREFIX)
        budget = self._blackboard.configuration.budgets.get(name)
        return budget.preference if budget else Preference.AVOID_OVERSPEND

    def _describe(self, pool: AccountPool) -> Situation:
        account = self._get_account(pool)
        return Situation(
            paid=account.paid,
            free=account.free,
            drawn=pool.drawn,
            held=pool.held,
            demand_rate=max(pool.demand_rate, pool.demand / SETTLE_S),
            n_hosts=max(1, len(self._blackboard.config.hosts)),
            returnable=pool.returnable,
            preference=self._get_preference(pool),
        )

    async def _obtain(
        self, pool: AccountPool, tokens: int, deadline: float
    ) -> Refusal | None:
        now = self._timer.now()
        if self._get_account(pool).free < tokens and now < self._starved_until.get(
            pool.account, 0.0
        ):
            return self._refuse(pool)
        task = self._start_drawing(pool, tokens)
        # While the log is known to be out, no wait brings tokens: refuse soon.
        if not self._streams.ledgers[pool.number].status.reachable:
            deadline = min(deadline, now + LOG_LOST_WAIT_S)
        pool.waiting += tokens
        try:
            done, _ = await asyncio.wait({task}, timeout=max(0.0, deadline - now))
        finally:
            pool.waiting -= tokens
        if not done:
            return Refusal(
                reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S
            )
        result = task.result()
        if isinstance(result.verdict, Accepted) or tokens < result.minimum:
            return None
        if result.verdict.reason is Reason.UNKNOWN_ACCOUNT:
            return self._refuse(pool)
        if result.verdict.reason is not Reason.BUDGET_EXHAUSTED:
            return None
        if await self._ask_back(pool, tokens):
            return None
        self._starved_until[pool.account] = self._timer.now() + STARVED_S
        return self._refuse(pool)

    def _refuse(self, pool: AccountPool) -> Refusal:
        # Tokens held by running requests may come back within seconds; with
        # none held, only a top-up helps and asking again soon is in vain.
        held = self._get_account(pool).held > 0
        return Refusal(
            reason=Reason.BUDGET_EXHAUSTED,
            retry_after_s=RETRY_AFTER_HELD_S if held else RETRY_AFTER_EXHAUSTED_S,
        )

    def _start_drawing(
        self, pool: AccountPool, minimum: int
    ) -> asyncio.Task[DrawResult]:
        task = self._drawing.get(pool.account)
        if task is None or task.done():
            task = asyncio.create_task(self._draw(pool, minimum))
            self._drawing[pool.account] = task
        return task

    def _draw_ahead(self, pool: AccountPool) -> None:
        situation = self._describe(pool)
        low = self._policy.count_low_mark(situation)
        usable = pool.count_usable(self._get_ledger(pool).draws)
        starved = self._timer.now() < self._starved_until.get(pool.account, 0.0)
        if usable < low and not starved and situation.free >= low:
            self._start_drawing(pool, low)

    async def _draw(self, pool: AccountPool, tokens: int) -> DrawResult:
        draws = self._get_ledger(pool).draws
        usable = max(0, pool.count_usable(draws))
        minimum = max(1, tokens - usable)
        shortfall = max(minimum, pool.waiting - usable)
        amount = self._policy.size_draw(self._describe(pool), shortfall)
        if amount < minimum:
            verdict: Verdict = Rejected(reason=Reason.BUDGET_EXHAUSTED)
            return DrawResult(minimum=tokens, verdict=verdict)
        record = pool.make_draw(
            amount=amount, minimum=minimum, witness=self._pick_witness()
        )
        verdict = await self._streams.submit_ledger(pool.number, record).future
        granted = verdict.amount if isinstance(verdict, Accepted) else 0
        pool.note_draw(record.draw, granted, self._get_ledger(pool).draws)
        self._log_draw(record, verdict)
        return DrawResult(minimum=tokens, verdict=verdict)

    def _log_draw(self, record: Draw, verdict: Verdict) -> None:
        if isinstance(verdict, Accepted):
            log_event(
                Event.DRAW_GRANTED,
                account=record.account,
                draw=record.draw,
                amount=verdict.amount,
            )
            return
        log_event(
            Event.DRAW_REJECTED,
            account=record.account,
            draw=record.draw,
            reason=verdict.reason,
        )

    async def _ask_back(self, pool: AccountPool, tokens: int) -> bool:
        """Ask the peers for unheld tokens; tell whether enough is free now."""
        ledger = self._get_ledger(pool)
        missing = tokens - self._get_account(pool).free
        if missing > self._count_elsewhere(pool, ledger):
            return False
        changed = asyncio.Event()
        unsubscribe = self._streams.ledgers[pool.number].subscribe(
            lambda *_: changed.set()
        )
        wait_s = RETURN_WAIT_S[self._get_preference(pool)]
        deadline = self._timer.now() + min(wait_s, self._starved_wait_s)
        asking = asyncio.create_task(self._ask_peers(pool))
        try:
            while self._get_account(pool).free < tokens:
                changed.clear()
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
        except TimeoutError:
            return False
        finally:
            unsubscribe()
            await asyncio.wait({asking}, timeout=0)
        return True

    def _count_elsewhere(self, pool: AccountPool, ledger: LedgerState) -> int:
        return sum(
            draw.amount - draw.spent
            for draw in ledger.draws.values()
            if self._is_foreign(draw, pool)
        )

    def _is_foreign(self, draw: DrawState, pool: AccountPool) -> bool:
        foreign = draw.holder != self._blackboard.incarnation
        return foreign and draw.account == pool.account

    async def _ask_peers(self, pool: AccountPool) -> None:
        ledger = self._get_ledger(pool)
        holders = {
            draw.holder
            for draw in ledger.draws.values()
            if self._is_foreign(draw, pool) and draw.status is DrawStatus.OPEN
        }
        peers = self._blackboard.list_live_peers()
        calls = [
            self._ask_peer(entry.peer_url, pool.account)
            for entry in peers
            if entry.incarnation in holders
        ]
        await asyncio.gather(*calls)

    async def _ask_peer(self, url: str, account: str) -> None:
        try:
            await self._links.get_link(url).call(
                Starved(account=account), timeout_s=self._starved_wait_s
            )
        except PeerUnavailableError:
            return

    async def _answer_starved(self, message: Starved) -> PeerMessage:
        pool = self._pools.get(message.account)
        if pool is None:
            return StarvedReply(returned=0)
        return StarvedReply(
            returned=self._give_back(
                pool, pool.count_usable(self._get_ledger(pool).draws)
            )
        )

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

    def _pick_witness(self) -> str:
        peers = self._blackboard.list_live_peers()
        if self._recovery is Recovery.COUNT_AS_SPENT or not peers:
            return NO_WITNESS
        near = [
            entry
            for entry in peers
            if entry.data_center == self._blackboard.data_center
        ]
        return self._generator.choice(near or peers).incarnation

    async def _confirm(
        self, pool: AccountPool, draw: DrawPool, hold: Hold, deadline: float
    ) -> bool:
        try:
            while not hold.confirmed:
                if draw.retired or self._timer.now() >= deadline:
                    break
                await self._witnesses.update(pool, draw)
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
        draws = self._get_ledger(pool).draws
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
        if draw is None or self._recovery is Recovery.COUNT_AS_SPENT:
            return
        live = {entry.incarnation for entry in self._blackboard.list_live_peers()}
        # A draw opened while this host was alone, or whose witness is gone,
        # would be lost whole if this host died; a new one is covered.
        if live and draw.witness not in live:
            log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
            pool.retire()
        elif draw.unwitnessed:
            self._witnesses.start_update(pool, draw)

    def _return_surplus(self, pool: AccountPool) -> None:
        usable = pool.count_usable(self._get_ledger(pool).draws)
        surplus = self._policy.count_surplus(self._describe(pool), usable)
        self._give_back(pool, min(surplus, usable))
