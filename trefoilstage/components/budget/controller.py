"""Hold tokens for requests from this host's draws."""

import asyncio
import random
from dataclasses import dataclass, field

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.pool import (
    NO_WITNESS,
    BoundProposal,
    DrawPool,
    Hold,
)
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import Bound, BoundReply
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal, Rejected, Verdict
from trefoilstage.ledger.records import Draw, Return, Settle
from trefoilstage.ledger.state import DrawState
from trefoilstage.timer import TimerService

SETTLE_S = 0.5
RATE_DECAY = 0.8
RETRY_AFTER_EXHAUSTED_S = 5.0
RETRY_AFTER_LOG_S = 2.0


@dataclass(kw_only=True, slots=True, eq=False)
class AccountPool:
    """Hold this host's draws on one account and its recent demand."""

    account: str
    number: int
    current: DrawPool | None = None
    retired: list[DrawPool] = field(default_factory=list)
    drawing: asyncio.Task[Verdict | None] | None = None
    bounding: asyncio.Task[None] | None = None
    demand: float = 0.0
    demand_rate: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Name the tokens held for one request."""

    request: str
    account: str
    draw: str
    tokens: int


class BudgetController(Service):  # type: ignore[misc]
    """Draw, hold, settle and give back tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        links: PeerLinks,
        timer: TimerService,
        horizon_s: float,
        admission_wait_s: float,
        witness_timeout_s: float,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._links = links
        self._timer = timer
        self._horizon_s = horizon_s
        self._admission_wait_s = admission_wait_s
        self._witness_timeout_s = witness_timeout_s
        self._generator = generator
        self._pools: dict[str, AccountPool] = {}
        self._n_draws = 0

    async def on_start(self) -> None:
        """Start settling."""
        self._unsubscribe = self._timer.subscribe(
            name="settle", interval_s=SETTLE_S, callback=self._tick
        )

    async def on_stop(self) -> None:
        """Stop settling."""
        self._unsubscribe()

    async def reserve(
        self, *, request: str, key: str, account: str, tokens: int
    ) -> Reservation | Refusal:
        """Hold the most a request may spend, or say why that can't be."""
        pool = self._get_pool(account)
        pool.demand += tokens
        deadline = self._timer.now() + self._admission_wait_s
        hold = Hold(request=request, key=key, tokens=tokens)
        while True:
            draw = self._find_draw(pool, tokens)
            if draw is None:
                refusal = await self._wait_for_draw(pool, tokens, deadline)
                if refusal is not None:
                    return refusal
                continue
            draw.add_hold(hold)
            if await self._confirm(pool, draw, hold, deadline):
                return Reservation(
                    request=request, account=account, draw=draw.draw, tokens=tokens
                )
            # Not confirmed means not sent to any target, so nothing was spent.
            draw.settle_hold(request, 0)
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
        pool = self._pools[reservation.account]
        draws = [pool.current, *pool.retired]
        for draw in draws:
            if draw is not None and draw.draw == reservation.draw:
                draw.settle_hold(reservation.request, min(tokens, reservation.tokens))

    def give_back(self, account: str) -> None:
        """Return what no request holds of an account at once."""
        pool = self._get_pool(account)
        draw = pool.current
        state = None if draw is None else self._get_state(pool, draw)
        if draw is not None and state is not None and not draw.returning:
            self._return_idle(pool, draw, state)

    def list_pools(self) -> list[AccountPool]:
        """Return this host's pools by account."""
        return [self._pools[name] for name in sorted(self._pools)]

    async def return_all(self) -> None:
        """Settle and close every draw; call it when no request is left."""
        for pool in self._pools.values():
            self._retire(pool)
        await self._tick()

    def _get_pool(self, account: str) -> AccountPool:
        number = self._streams.pick_number(account)
        default = AccountPool(account=account, number=number)
        return self._pools.setdefault(account, default)

    def _get_state(self, pool: AccountPool, draw: DrawPool) -> DrawState | None:
        return self._blackboard.ledgers[pool.number].draws.get(draw.draw)

    def _find_draw(self, pool: AccountPool, tokens: int) -> DrawPool | None:
        draw = pool.current
        if draw is None:
            return None
        state = self._get_state(pool, draw)
        if state is None or state.status != "open":
            if state is not None:
                self._retire(pool)
            return None
        return draw if draw.count_usable(state.amount) >= tokens else None

    def _retire(self, pool: AccountPool) -> None:
        if pool.current is not None:
            pool.current.retired = True
            pool.retired.append(pool.current)
            pool.current = None

    async def _wait_for_draw(
        self, pool: AccountPool, tokens: int, deadline: float
    ) -> Refusal | None:
        if pool.drawing is None or pool.drawing.done():
            pool.drawing = asyncio.create_task(self._draw(pool, tokens))
        remaining = deadline - self._timer.now()
        drawing = pool.drawing
        done, _ = await asyncio.wait({drawing}, timeout=max(0.0, remaining))
        if not done:
            return Refusal(
                reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S
            )
        verdict = drawing.result()
        if isinstance(verdict, Rejected) and verdict.reason in (
            Reason.BUDGET_EXHAUSTED,
            Reason.UNKNOWN_ACCOUNT,
        ):
            return Refusal(
                reason=Reason.BUDGET_EXHAUSTED, retry_after_s=RETRY_AFTER_EXHAUSTED_S
            )
        return None

    async def _draw(self, pool: AccountPool, tokens: int) -> Verdict | None:
        draw = pool.current or self._open_draw(pool)
        state = self._get_state(pool, draw)
        usable = draw.count_usable(state.amount) if state is not None else 0
        minimum = max(1, tokens - usable)
        wanted = max(minimum, int(pool.demand_rate * self._horizon_s))
        record = Draw(
            draw=draw.draw,
            account=pool.account,
            amount=wanted,
            minimum=minimum,
            witness=draw.witness,
        )
        verdict = await self._streams.submit_ledger(pool.number, record).future
        self._log_draw(record, verdict)
        return verdict

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

    def _open_draw(self, pool: AccountPool) -> DrawPool:
        self._n_draws += 1
        pool.current = DrawPool(
            draw=f"{self._blackboard.incarnation}/{self._n_draws}",
            account=pool.account,
            witness=self._pick_witness(),
        )
        return pool.current

    def _pick_witness(self) -> str:
        peers = self._blackboard.list_live_peers()
        near = [
            entry
            for entry in peers
            if entry.data_center == self._blackboard.data_center
        ]
        choices = near or peers
        if not choices:
            return NO_WITNESS
        return self._generator.choice(choices).incarnation

    async def _confirm(
        self, pool: AccountPool, draw: DrawPool, hold: Hold, deadline: float
    ) -> bool:
        while not hold.confirmed:
            if draw.retired or self._timer.now() >= deadline:
                return False
            if pool.bounding is None or pool.bounding.done():
                pool.bounding = asyncio.create_task(self._send_bound(pool, draw))
            await asyncio.wait({pool.bounding})
        return True

    async def _send_bound(self, pool: AccountPool, draw: DrawPool) -> None:
        proposal = draw.propose_bound()
        if proposal is None:
            return
        allowed = await self._ask_witness(pool, draw, proposal)
        if allowed:
            draw.confirm_bound(proposal)
            return
        log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
        if pool.current is draw:
            self._retire(pool)

    async def _ask_witness(
        self, pool: AccountPool, draw: DrawPool, proposal: BoundProposal
    ) -> bool:
        for entry in self._blackboard.config.hosts.values():
            if entry.incarnation == draw.witness:
                break
        else:
            return False
        message = Bound(
            draw=draw.draw,
            stream=pool.number,
            holder=self._blackboard.incarnation,
            sequence=proposal.sequence,
            level=proposal.level,
            opened=proposal.opened,
            closed=proposal.closed,
        )
        try:
            reply = await self._links.get_link(entry.peer_url).call(
                message, timeout_s=self._witness_timeout_s
            )
        except PeerUnavailableError:
            return False
        return isinstance(reply, BoundReply) and reply.allowed

    async def _tick(self) -> None:
        for pool in list(self._pools.values()):
            rate = pool.demand / SETTLE_S
            pool.demand_rate = max(rate, pool.demand_rate * RATE_DECAY)
            pool.demand = 0.0
            for draw in [pool.current, *pool.retired]:
                if draw is not None:
                    self._settle_draw(pool, draw)
            pool.retired = [draw for draw in pool.retired if draw.holds]

    def _settle_draw(self, pool: AccountPool, draw: DrawPool) -> None:
        final = draw.retired and not draw.holds
        requests = draw.take_unbilled()
        if final or requests or draw.spent != draw.settled:
            draw.settled = draw.spent
            record = Settle(
                draw=draw.draw, spent=draw.spent, final=final, requests=requests
            )
            self._streams.submit_ledger(pool.number, record)
            return
        state = self._get_state(pool, draw)
        if state is not None and pool.demand_rate < 1.0 and not draw.returning:
            self._return_idle(pool, draw, state)

    def _return_idle(self, pool: AccountPool, draw: DrawPool, state: DrawState) -> None:
        idle = draw.count_usable(state.amount)
        if idle <= 0 or state.status != "open":
            return
        draw.returning = idle
        record = Return(draw=draw.draw, amount=idle)
        ticket = self._streams.submit_ledger(pool.number, record)

        def clear(_: object) -> None:
            draw.returning = 0

        ticket.future.add_done_callback(clear)
