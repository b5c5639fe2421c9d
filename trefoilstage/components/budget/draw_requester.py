"""Draw tokens from the log, wait for those of peers, or refuse a request."""

import asyncio
from dataclasses import dataclass

from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.peers import BudgetPeers
from trefoilstage.components.budget.policy import DrawPolicy
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal, Rejected, Verdict
from trefoilstage.ledger.records import Draw
from trefoilstage.timer import TimerService

PEER_ASK_INTERVAL_S = 0.3
UNREACHABLE_LOG_WAIT_S = 0.2
RETRY_AFTER_DRAWN_S = 2.0
RETRY_AFTER_EXHAUSTED_S = 30.0
RETRY_AFTER_LOG_S = 2.0
LOG_UNAVAILABLE_REFUSAL = Refusal(
    reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S
)


@dataclass(frozen=True, kw_only=True, slots=True)
class DrawResult:
    """Describe the verdict on a draw and the amount it was to make usable."""

    tokens: int
    verdict: Verdict
    is_refused_by_policy: bool = False


class DrawRequester:
    """Draw for waiting requests, with at most one draw in flight per account."""

    def __init__(
        self,
        *,
        accounts: Accounts,
        streams: Streams,
        peers: BudgetPeers,
        timer: TimerService,
        policy: DrawPolicy,
    ) -> None:
        self._accounts = accounts
        self._streams = streams
        self._peers = peers
        self._timer = timer
        self._policy = policy
        self._draw_tasks: dict[str, asyncio.Task[DrawResult]] = {}
        self._change_events: dict[str, asyncio.Event] = {}
        self._next_ask_at: dict[str, float] = {}
        self._ask_tasks: set[asyncio.Task[None]] = set()

    async def obtain(
        self, pool: AccountPool, tokens: int, deadline: float, return_deadline: float
    ) -> Refusal | None:
        """Make tokens usable if possible; otherwise return a refusal.

        A draw is awaited until `deadline`, returns of peers until
        `return_deadline`.
        """
        if self._count_missing(pool, tokens) > 0:
            if not self._accounts.is_log_reachable(pool):
                return LOG_UNAVAILABLE_REFUSAL
            returned = await self._wait_for_returns(pool, tokens, return_deadline)
            return None if returned else self._make_refusal(pool)
        result = await self._wait_for_draw(pool, tokens, deadline)
        if result is None:
            return LOG_UNAVAILABLE_REFUSAL
        # This host's fixed share is used up; what peers give back does not raise it.
        return self._make_refusal(pool) if result.is_refused_by_policy else None

    def notify_change(self, pool: AccountPool) -> None:
        """Wake the requests that wait for tokens of an account."""
        self._get_change_event(pool).set()

    def _get_change_event(self, pool: AccountPool) -> asyncio.Event:
        return self._change_events.setdefault(pool.account, asyncio.Event())

    def _count_missing(self, pool: AccountPool, tokens: int) -> int:
        free = self._accounts.get_account(pool).free
        return tokens - self._accounts.count_usable(pool) - max(0, free)

    async def _wait_for_returns(
        self, pool: AccountPool, tokens: int, return_deadline: float
    ) -> bool:
        """Ask the peers for unheld tokens; return whether enough came in time."""
        changed = self._get_change_event(pool)
        unsubscribe = self._streams.ledgers[pool.number].subscribe(
            lambda *_: changed.set()
        )
        try:
            async with asyncio.timeout(max(0.0, return_deadline - self._timer.now())):
                while (missing := self._count_missing(pool, tokens)) > 0:
                    if missing > self._accounts.count_unspent(pool):
                        return False
                    self._ask_peers(pool)
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            return False
        finally:
            unsubscribe()
        return True

    def _ask_peers(self, pool: AccountPool) -> None:
        now = self._timer.now()
        if now < self._next_ask_at.get(pool.account, 0.0):
            return
        self._next_ask_at[pool.account] = now + PEER_ASK_INTERVAL_S
        task = asyncio.create_task(self._peers.ask_holders(pool))
        self._ask_tasks.add(task)
        task.add_done_callback(self._ask_tasks.discard)

    def draw_ahead(self, pool: AccountPool) -> None:
        """Start a draw if the usable amount is below the low-water mark.

        Requests then do not need to wait for the log.
        """
        snapshot = self._accounts.take_snapshot(pool)
        low_water_mark = self._policy.compute_low_water_mark(snapshot)
        if (
            self._accounts.count_usable(pool) >= low_water_mark
            or snapshot.free < low_water_mark
        ):
            return
        self._start_draw(pool, low_water_mark)

    def _make_refusal(self, pool: AccountPool) -> Refusal:
        # Tokens in the hosts' draws may come free within seconds, as requests end. If
        # there are none, only a top-up helps, and an early retry is refused again.
        has_drawn_tokens = self._accounts.get_account(pool).held > 0
        return Refusal(
            reason=Reason.BUDGET_EXHAUSTED,
            retry_after_s=RETRY_AFTER_DRAWN_S
            if has_drawn_tokens
            else RETRY_AFTER_EXHAUSTED_S,
        )

    async def _wait_for_draw(
        self, pool: AccountPool, tokens: int, deadline: float
    ) -> DrawResult | None:
        wait_s = max(0.0, deadline - self._timer.now())
        # While the log is known to be unreachable, waiting yields no tokens.
        if not self._accounts.is_log_reachable(pool):
            wait_s = min(wait_s, UNREACHABLE_LOG_WAIT_S)
        pool.waiting += tokens
        task = self._start_draw(pool, tokens)
        try:
            done, _ = await asyncio.wait({task}, timeout=wait_s)
        finally:
            pool.waiting -= tokens
        return task.result() if done else None

    def _start_draw(self, pool: AccountPool, tokens: int) -> asyncio.Task[DrawResult]:
        task = self._draw_tasks.get(pool.account)
        if task is None or task.done():
            task = asyncio.create_task(self._submit_draw(pool, tokens))
            self._draw_tasks[pool.account] = task
        return task

    async def _submit_draw(self, pool: AccountPool, tokens: int) -> DrawResult:
        usable = max(0, self._accounts.count_usable(pool))
        minimum = max(1, tokens - usable)
        shortfall = max(minimum, pool.waiting - usable)
        snapshot = self._accounts.take_snapshot(pool)
        amount = self._policy.compute_draw(snapshot, shortfall)
        if amount < minimum:
            verdict: Verdict = Rejected(reason=Reason.BUDGET_EXHAUSTED)
            return DrawResult(tokens=tokens, verdict=verdict, is_refused_by_policy=True)
        witness = self._peers.pick_witness(pool.lost_witness)
        record = pool.make_draw(amount=amount, minimum=minimum, witness=witness)
        verdict = await self._streams.submit_ledger(pool.number, record).future
        granted_amount = verdict.amount if isinstance(verdict, Accepted) else 0
        pool.apply_draw_verdict(
            record.draw, granted_amount, self._accounts.get_ledger(pool).draws
        )
        log_draw(record, verdict)
        return DrawResult(tokens=tokens, verdict=verdict)


def log_draw(record: Draw, verdict: Verdict) -> None:
    """Log the verdict on a draw."""
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
