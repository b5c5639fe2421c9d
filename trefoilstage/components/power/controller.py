"""Hold watts of a site for each request until it has ended at its target."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.power.lost_draws import (
    LostDraw,
    is_responsible,
    is_site_draw,
    make_hold_key,
    make_lost_draw,
)
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Accepted, Reason, Refusal
from trefoilstage.ledger.records import Release
from trefoilstage.ledger.state import DrawState
from trefoilstage.timer import TimerService

SCAN_INTERVAL_S = 0.25
ASK_INTERVAL_S = 0.25
LOST_AFTER_FACTOR = 3
RETRY_AFTER_POWER_S = 1.0
# A request sent on a connection that is now closed may still arrive for as long
# as the network keeps a segment (RFC 9293, 2 minutes).
MAX_SEGMENT_LIFETIME_S = 120.0
POWER_EXHAUSTED = Refusal(
    reason=Reason.POWER_EXHAUSTED, retry_after_s=RETRY_AFTER_POWER_S
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerHold:
    """Identify the watts held for one request at one target.

    `fencing` is the log offset at which the draw was opened.
    """

    target: str
    request: str
    fencing: int = 0
    reservation: Reservation | None = None


class PowerController(Service):
    """Hold and release watts; release those of lost hosts once it is safe."""

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
        """Start scanning for lost hosts' watts."""
        self._unsubscribe = self._timer.subscribe(
            name="power", interval_s=SCAN_INTERVAL_S, callback=self._scan
        )

    async def on_stop(self) -> None:
        """Stop scanning for lost hosts' watts and cancel running calls."""
        self._unsubscribe()
        for releasing in self._releasing.values():
            releasing.cancel()
        for stocking in self._stocking.values():
            stocking.cancel()

    async def hold(
        self, request: str, name: str, target: TargetConfig
    ) -> PowerHold | Refusal:
        """Hold a target's watts for a request, or return a refusal."""
        if target.watts_per_request == 0:
            return PowerHold(target=name, request=request)
        account = f"{SITE_ACCOUNT_PREFIX}{target.site}"
        if self._is_over_ceiling(account):
            return POWER_EXHAUSTED
        if not await self._ensure_usable(account, target.watts_per_request):
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
            # The draw was released while this host waited for the witness. The
            # hold is void, and nothing has been sent.
            self._budget.settle(reservation, 0)
            return POWER_EXHAUSTED
        return PowerHold(
            target=name, request=request, fencing=draw.opened, reservation=reservation
        )

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call a listener after each draw of watts; return a way to unsubscribe."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def _ensure_usable(self, account: str, watts: int) -> bool:
        while self._budget.count_usable(account) < watts:
            task = self._start_draw(account, watts)
            # Free watts are drawn quickly. Peer hosts may take long to give watts
            # back, so this request does not wait for them: watts released here
            # meanwhile must go to the next request immediately.
            if self._count_free(account) < watts:
                return False
            await asyncio.wait({task})
            if not task.result():
                return False
        return True

    def _start_draw(self, account: str, watts: int) -> asyncio.Task[bool]:
        task = self._stocking.get(account)
        if task is None or task.done():
            task = asyncio.create_task(self._draw_watts(account, watts))
            self._stocking[account] = task
        return task

    async def _draw_watts(self, account: str, watts: int) -> bool:
        is_usable = await self._budget.ensure_usable(account, watts)
        if is_usable:
            for listener in self._listeners:
                listener()
        return is_usable

    def retire_draw(self, site: str) -> None:
        """Retire a site's draw after a target refused it as fenced.

        A witness that lost contact with this host alone sealed an older draw, and
        the target was fenced. The fence also covers this host's other draws, sealed
        or not; the target would refuse their requests until they are used up.
        """
        self._budget.retire_draw(f"{SITE_ACCOUNT_PREFIX}{site}")

    def release(self, hold: PowerHold) -> None:
        """Release watts after the target has reported the end of the request."""
        if hold.reservation is not None:
            self._budget.settle(hold.reservation, 0)

    def release_when_ended(self, hold: PowerHold, target: TargetConfig) -> None:
        """Ask the target until it has ended a request, then release its watts."""
        if hold.reservation is None:
            return
        task = asyncio.create_task(self._release_after_end(hold, target))
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)

    async def _release_after_end(self, hold: PowerHold, target: TargetConfig) -> None:
        closed_at = self._timer.now()
        while not await self._has_ended(hold, target, closed_at):
            await asyncio.sleep(ASK_INTERVAL_S)
        self.release(hold)

    async def _has_ended(
        self, hold: PowerHold, target: TargetConfig, closed_at: float
    ) -> bool:
        answer = await self._targets.cancel(target, hold.request)
        if answer is None:
            return False
        if answer.ended:
            return True
        # This host no longer sends the request, but the network may still deliver
        # it. A target that does not remember the cancellation would run it.
        since_close_s = self._timer.now() - closed_at
        return answer.state == "unknown" and since_close_s >= MAX_SEGMENT_LIFETIME_S

    def _is_over_ceiling(self, account: str) -> bool:
        # After a ceiling was lowered, the drawn watts may exceed it. Unheld watts of
        # this host's draw must then be given back, not held for the next request.
        return self._count_free(account) < 0

    def _count_free(self, account: str) -> int:
        ledger_number = self._streams.get_ledger_number(account)
        state = self._blackboard.ledgers[ledger_number].accounts.get(account)
        return 0 if state is None else state.free

    def _find_draw(self, reservation: Reservation) -> DrawState | None:
        ledger_number = self._streams.get_ledger_number(reservation.account)
        return self._blackboard.ledgers[ledger_number].draws.get(reservation.draw)

    async def _scan(self) -> None:
        live = self._list_live()
        lost = self._update_lost(live)
        for ledger_number, ledger in self._blackboard.ledgers.items():
            for account in ledger.accounts:
                if account.startswith(SITE_ACCOUNT_PREFIX):
                    self._return_excess(account)
            for name, draw in list(ledger.draws.items()):
                if not is_site_draw(draw) or name in self._releasing:
                    continue
                if is_responsible(draw, self._blackboard.incarnation, live, lost):
                    self._start_release(
                        ledger_number, make_lost_draw(name, draw, ledger.next_offset)
                    )

    def _return_excess(self, account: str) -> None:
        if self._is_over_ceiling(account):
            self._budget.return_unheld(account)

    def _list_live(self) -> dict[str, str]:
        live = {
            entry.incarnation: entry.host
            for entry in self._blackboard.list_live_peers()
        }
        live[self._blackboard.incarnation] = self._blackboard.host
        return live

    def _update_lost(self, live: dict[str, str]) -> frozenset[str]:
        now = self._timer.now()
        involved: set[str] = set()
        for ledger in self._blackboard.ledgers.values():
            for draw in ledger.draws.values():
                if is_site_draw(draw):
                    involved |= {draw.holder, draw.witness}
        for incarnation in involved - set(live):
            self._first_missed.setdefault(incarnation, now)
        for incarnation in (involved & set(live)) | (
            set(self._first_missed) - involved
        ):
            self._first_missed.pop(incarnation, None)
        return frozenset(
            incarnation
            for incarnation, since in self._first_missed.items()
            if now - since >= self._lost_after_s
        )

    def _start_release(self, ledger_number: int, lost: LostDraw) -> None:
        task = asyncio.create_task(self._release_lost(ledger_number, lost))
        self._releasing[lost.name] = task
        task.add_done_callback(lambda _: self._releasing.pop(lost.name, None))

    async def _release_lost(self, ledger_number: int, lost: LostDraw) -> None:
        if not await self._confirm_unused(lost):
            log_event(Event.POWER_IN_DOUBT, draw=lost.name, fencing=lost.fencing)
            await asyncio.sleep(ASK_INTERVAL_S)
            return
        record = Release(draw=lost.name, fencing=lost.fencing)
        verdict = await self._streams.submit_ledger(ledger_number, record).future
        if isinstance(verdict, Accepted):
            log_event(Event.POWER_RELEASED, draw=lost.name, fencing=lost.fencing)

    async def _confirm_unused(self, lost: LostDraw) -> bool:
        targets = self._blackboard.configuration.targets
        site_targets = [name for name in targets if targets[name].site == lost.site]
        for name in sorted(site_targets if lost.requests is None else lost.requests):
            # A target that was removed from the configuration counts as switched off.
            target = targets.get(name)
            if target is None:
                continue
            requests = None if lost.requests is None else lost.requests[name]
            if not await self._confirm_unused_at(target, lost, requests):
                return False
        return True

    async def _confirm_unused_at(
        self, target: TargetConfig, lost: LostDraw, requests: tuple[str, ...] | None
    ) -> bool:
        fence = await self._targets.fence(target, lost.holder, lost.fencing)
        if fence is None:
            return False
        if target.checks_fencing and fence.checked:
            return fence.active == 0
        if requests is None:
            return False
        # This target would still run requests that a suspended holder sends after it
        # resumes. So only a request that the target reports as ended has ended. The
        # watts of one that the target never received stay held until the holder itself
        # settles it.
        answers = [
            await self._targets.get_request_status(target, request)
            for request in requests
        ]
        return all(answer is not None and answer.ended for answer in answers)
