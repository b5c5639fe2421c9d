"""Hold watts of a site for each request until it has ended on its target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.power.lost import (
    LostDraw,
    describe_lost,
    is_mine,
    is_site_draw,
    make_hold_key,
)
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal
from trefoilstage.ledger.records import Release
from trefoilstage.ledger.state import DrawState
from trefoilstage.timer import TimerService

SCAN_S = 0.25
ASK_S = 0.25
LOST_AFTER_FACTOR = 3
RETRY_AFTER_POWER_S = 1.0
# A request that left this host on a closed connection may still be on its way
# for as long as the network keeps a segment (RFC 9293, 2 minutes).
MAX_SEGMENT_LIFETIME_S = 120.0
POWER_EXHAUSTED = Refusal(
    reason=Reason.POWER_EXHAUSTED, retry_after_s=RETRY_AFTER_POWER_S
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerHold:
    """Name the watts held for one request at one target."""

    target: str
    request: str
    fencing: int = 0
    reservation: Reservation | None = None


class PowerController(Service):
    """Hold and give back watts; free those of lost hosts once it is safe."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        budget: BudgetController,
        targets: TargetClient,
        timer: TimerService,
        suspect_after_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._budget = budget
        self._targets = targets
        self._timer = timer
        self._lost_after_s = suspect_after_s * LOST_AFTER_FACTOR
        self._first_missed: dict[str, float] = {}
        self._releasing: dict[str, asyncio.Task[None]] = {}
        self._stocking: dict[str, asyncio.Task[bool]] = {}
        self._listeners: list[Callable[[], None]] = []

    async def on_start(self) -> None:
        """Start looking for lost hosts' watts."""
        self._unsubscribe = self._timer.subscribe(
            name="power", interval_s=SCAN_S, callback=self._scan
        )

    async def on_stop(self) -> None:
        """Stop looking for lost hosts' watts."""
        self._unsubscribe()
        for releasing in self._releasing.values():
            releasing.cancel()
        for stocking in self._stocking.values():
            stocking.cancel()

    async def hold(
        self, request: str, name: str, target: TargetConfig
    ) -> PowerHold | Refusal:
        """Hold a target's watts for a request, or say why that can't be."""
        if target.watts_per_request == 0:
            return PowerHold(target=name, request=request)
        account = f"{SITE_ACCOUNT_PREFIX}{target.site}"
        if self._is_over_ceiling(account):
            return POWER_EXHAUSTED
        if not await self._is_stocked(account, target.watts_per_request):
            return POWER_EXHAUSTED
        key = make_hold_key(name, request)
        reservation = await self._budget.reserve(
            request=request,
            key=key,
            account=account,
            tokens=target.watts_per_request,
            targets=[target.url] if target.fences_cancelled else [],
        )
        if isinstance(reservation, Refusal):
            return POWER_EXHAUSTED
        draw = self._find_draw(reservation)
        if draw is None:
            # The draw was released while the witness was asked: the hold is
            # worth nothing, and nothing has been sent.
            self._budget.settle(reservation, 0)
            return POWER_EXHAUSTED
        return PowerHold(
            target=name, request=request, fencing=draw.opened, reservation=reservation
        )

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener when watts have come in, until unsubscribed."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def _is_stocked(self, account: str, watts: int) -> bool:
        while self._budget.count_usable(account) < watts:
            task = self._start_stocking(account, watts)
            # Free watts are drawn in a moment. Others' may take as long as
            # these need to give them back, and what ends here meanwhile must
            # go to the next request at once; so that is not waited for here.
            if self._count_free(account) < watts:
                return False
            await asyncio.wait({task})
            if not task.result():
                return False
        return True

    def _start_stocking(self, account: str, watts: int) -> asyncio.Task[bool]:
        task = self._stocking.get(account)
        if task is None or task.done():
            task = asyncio.create_task(self._stock(account, watts))
            self._stocking[account] = task
        return task

    async def _stock(self, account: str, watts: int) -> bool:
        stocked = await self._budget.ensure_usable(account, watts)
        if stocked:
            for listener in self._listeners:
                listener()
        return stocked

    def renew(self, site: str) -> None:
        """Draw anew after a target refused this host's draw as fenced.

        A witness cut off from this host alone has its older draw sealed. The
        fence covers this host's other draws as well, sealed or not; requests
        under them would be refused until they are used up.
        """
        self._budget.retire_draw(f"{SITE_ACCOUNT_PREFIX}{site}")

    def release(self, hold: PowerHold) -> None:
        """Give watts back; the target has said that the request ended."""
        if hold.reservation is not None:
            self._budget.settle(hold.reservation, 0)

    def release_when_ended(self, hold: PowerHold, target: TargetConfig) -> None:
        """Keep asking the target to end a request, then give its watts back."""
        if hold.reservation is None:
            return
        task = asyncio.create_task(self._end(hold, target))
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)

    async def _end(self, hold: PowerHold, target: TargetConfig) -> None:
        closed_at = self._timer.now()
        while not await self._has_ended(hold, target, closed_at):
            await asyncio.sleep(ASK_S)
        self.release(hold)

    async def _has_ended(
        self, hold: PowerHold, target: TargetConfig, closed_at: float
    ) -> bool:
        answer = await self._targets.cancel(target, hold.request)
        if answer is None:
            return False
        if answer.ended:
            return True
        # This host sends the request no more; only the network might still
        # bring it. A target that does not remember the cancel would run it.
        quiet_s = self._timer.now() - closed_at
        return answer.state == "unknown" and quiet_s >= MAX_SEGMENT_LIFETIME_S

    def _is_over_ceiling(self, account: str) -> bool:
        # After a ceiling was lowered, what is drawn may exceed it. A free
        # watt of this host's draw must then go back, not to the next request.
        return self._count_free(account) < 0

    def _count_free(self, account: str) -> int:
        number = self._streams.pick_number(account)
        state = self._blackboard.ledgers[number].accounts.get(account)
        return 0 if state is None else state.free

    def _find_draw(self, reservation: Reservation) -> DrawState | None:
        number = self._streams.pick_number(reservation.account)
        return self._blackboard.ledgers[number].draws.get(reservation.draw)

    async def _scan(self) -> None:
        live = self._list_live()
        lost = self._note_missed(live)
        for number, ledger in self._blackboard.ledgers.items():
            for account in ledger.accounts:
                if account.startswith(SITE_ACCOUNT_PREFIX):
                    self._give_back_excess(account)
            for name, draw in list(ledger.draws.items()):
                if not is_site_draw(draw) or name in self._releasing:
                    continue
                if is_mine(draw, self._blackboard.incarnation, live, lost):
                    self._start_release(
                        number, describe_lost(name, draw, ledger.next_offset)
                    )

    def _give_back_excess(self, account: str) -> None:
        if self._is_over_ceiling(account):
            self._budget.return_unheld(account)

    def _list_live(self) -> dict[str, str]:
        live = {
            entry.incarnation: entry.host
            for entry in self._blackboard.list_live_peers()
        }
        live[self._blackboard.incarnation] = self._blackboard.host
        return live

    def _note_missed(self, live: dict[str, str]) -> frozenset[str]:
        now = self._timer.now()
        seen: set[str] = set()
        for ledger in self._blackboard.ledgers.values():
            for draw in ledger.draws.values():
                if is_site_draw(draw):
                    seen |= {draw.holder, draw.witness}
        for incarnation in seen - set(live):
            self._first_missed.setdefault(incarnation, now)
        for incarnation in (seen & set(live)) | (set(self._first_missed) - seen):
            self._first_missed.pop(incarnation, None)
        return frozenset(
            incarnation
            for incarnation, since in self._first_missed.items()
            if now - since >= self._lost_after_s
        )

    def _start_release(self, number: int, lost: LostDraw) -> None:
        task = asyncio.create_task(self._release_lost(number, lost))
        self._releasing[lost.name] = task
        task.add_done_callback(lambda _: self._releasing.pop(lost.name, None))

    async def _release_lost(self, number: int, lost: LostDraw) -> None:
        if not await self._is_over(lost):
            log_event(Event.POWER_IN_DOUBT, draw=lost.name, fencing=lost.fencing)
            await asyncio.sleep(ASK_S)
            return
        record = Release(draw=lost.name, fencing=lost.fencing)
        verdict = await self._streams.submit_ledger(number, record).future
        if isinstance(verdict, Accepted):
            log_event(Event.POWER_RELEASED, draw=lost.name, fencing=lost.fencing)

    async def _is_over(self, lost: LostDraw) -> bool:
        targets = self._blackboard.configuration.targets
        of_site = [name for name in targets if targets[name].site == lost.site]
        for name in sorted(of_site if lost.requests is None else lost.requests):
            # A target that was taken out of the configuration counts as off.
            target = targets.get(name)
            if target is None:
                continue
            requests = None if lost.requests is None else lost.requests[name]
            if not await self._is_over_at(target, lost, requests):
                return False
        return True

    async def _is_over_at(
        self, target: TargetConfig, lost: LostDraw, requests: tuple[str, ...] | None
    ) -> bool:
        fence = await self._targets.fence(target, lost.holder, lost.fencing)
        if fence is None:
            return False
        if target.checks_fencing and fence.checked:
            return fence.active == 0
        if requests is None:
            return False
        # This target would still run what a frozen holder sends on waking. So
        # only a request that it knows to have ended is over; one that it has
        # never seen keeps its watts charged until the holder itself settles.
        answers = [await self._targets.ask(target, request) for request in requests]
        return all(answer is not None and answer.ended for answer in answers)
