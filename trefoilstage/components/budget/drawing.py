"""Obtain tokens from the log, or say at once why there are none."""

import asyncio
from dataclasses import dataclass

from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.peers import BudgetPeers
from trefoilstage.components.budget.policy import DrawPolicy
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal, Rejected, Verdict
from trefoilstage.ledger.records import Draw
from trefoilstage.timer import TimerService

ASK_S = 0.3
LOG_LOST_WAIT_S = 0.2
RETRY_AFTER_HELD_S = 2.0
RETRY_AFTER_EXHAUSTED_S = 30.0
RETRY_AFTER_LOG_S = 2.0
LOG_REFUSAL = Refusal(reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class DrawResult:
    """Hold the verdict on a draw and what it was to make usable."""

    tokens: int
    verdict: Verdict
    limited: bool = False


class Drawing:
    """Draw for the requests that wait, one record an account at a time."""

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
        self._tasks: dict[str, asyncio.Task[DrawResult]] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self._asked_until: dict[str, float] = {}
        self._asking: set[asyncio.Task[None]] = set()

    async def obtain(
        self, pool: AccountPool, tokens: int, deadline: float, patience: float
    ) -> Refusal | None:
        """Make tokens usable if they can be had; return why not otherwise."""
        if self._count_missing(pool, tokens) > 0:
            if not self._accounts.is_log_reachable(pool):
                return LOG_REFUSAL
            returned = await self._wait_for_returns(pool, tokens, patience)
            return None if returned else self._refuse(pool)
        result = await self._wait_for_draw(pool, tokens, deadline)
        if result is None:
            return LOG_REFUSAL
        # A fixed share that is used up has no use for what others give back.
        return self._refuse(pool) if result.limited else None

    def note_change(self, pool: AccountPool) -> None:
        """Let the requests that wait for tokens look again."""
        self._get_changed(pool).set()

    def _get_changed(self, pool: AccountPool) -> asyncio.Event:
        return self._changed.setdefault(pool.account, asyncio.Event())

    def _count_missing(self, pool: AccountPool, tokens: int) -> int:
        free = self._accounts.get_account(pool).free
        return tokens - self._accounts.count_usable(pool) - max(0, free)

    async def _wait_for_returns(
        self, pool: AccountPool, tokens: int, patience: float
    ) -> bool:
        """Ask the peers for unheld tokens; tell whether enough came in time."""
        changed = self._get_changed(pool)
        unsubscribe = self._streams.ledgers[pool.number].subscribe(
            lambda *_: changed.set()
        )
        try:
            async with asyncio.timeout(max(0.0, patience - self._timer.now())):
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
        if now < self._asked_until.get(pool.account, 0.0):
            return
        self._asked_until[pool.account] = now + ASK_S
        task = asyncio.create_task(self._peers.ask_holders(pool))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    def draw_ahead(self, pool: AccountPool) -> None:
        """Draw before the last tokens are held, so that no request waits."""
        situation = self._accounts.describe(pool)
        low = self._policy.count_low_mark(situation)
        if self._accounts.count_usable(pool) >= low or situation.free < low:
            return
        self._start(pool, low)

    def _refuse(self, pool: AccountPool) -> Refusal:
        # Tokens held by running requests may come back within seconds; with
        # none held, only a top-up helps and asking again soon is in vain.
        held = self._accounts.get_account(pool).held > 0
        return Refusal(
            reason=Reason.BUDGET_EXHAUSTED,
            retry_after_s=RETRY_AFTER_HELD_S if held else RETRY_AFTER_EXHAUSTED_S,
        )

    async def _wait_for_draw(
        self, pool: AccountPool, tokens: int, deadline: float
    ) -> DrawResult | None:
        wait_s = max(0.0, deadline - self._timer.now())
        # While the log is known to be out, no wait brings tokens: refuse soon.
        if not self._accounts.is_log_reachable(pool):
            wait_s = min(wait_s, LOG_LOST_WAIT_S)
        pool.waiting += tokens
        task = self._start(pool, tokens)
        try:
            done, _ = await asyncio.wait({task}, timeout=wait_s)
        finally:
            pool.waiting -= tokens
        return task.result() if done else None

    def _start(self, pool: AccountPool, tokens: int) -> asyncio.Task[DrawResult]:
        task = self._tasks.get(pool.account)
        if task is None or task.done():
            task = asyncio.create_task(self._draw(pool, tokens))
            self._tasks[pool.account] = task
        return task

    async def _draw(self, pool: AccountPool, tokens: int) -> DrawResult:
        usable = max(0, self._accounts.count_usable(pool))
        minimum = max(1, tokens - usable)
        shortfall = max(minimum, pool.waiting - usable)
        situation = self._accounts.describe(pool)
        amount = self._policy.size_draw(situation, shortfall)
        if amount < minimum:
            verdict: Verdict = Rejected(reason=Reason.BUDGET_EXHAUSTED)
            return DrawResult(tokens=tokens, verdict=verdict, limited=True)
        witness = self._peers.pick_witness(pool.lost_witness)
        record = pool.make_draw(amount=amount, minimum=minimum, witness=witness)
        verdict = await self._streams.submit_ledger(pool.number, record).future
        granted = verdict.amount if isinstance(verdict, Accepted) else 0
        pool.note_draw(record.draw, granted, self._accounts.get_ledger(pool).draws)
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
