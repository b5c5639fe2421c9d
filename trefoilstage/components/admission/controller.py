"""Assign slots at targets to requests, the highest priority first."""

import asyncio
import itertools
from dataclasses import dataclass, field

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.admission.queue import QueueTicket, WaitingQueue
from trefoilstage.components.power.controller import PowerController, PowerHold
from trefoilstage.components.routing.choice import Candidate
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.models import Job
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService

TICK_INTERVAL_S = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
TRANSIENT_REASONS = frozenset({Reason.OVERLOADED, Reason.POWER_EXHAUSTED})


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """Describe a request's slot at a target and the watts held for it."""

    candidate: Candidate
    hold: PowerHold
    blocks: tuple[str, ...]  # the hashes of the prompt's blocks
    n_new_tokens: int
    started_at: float


@dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """Signal a waiting request that it is first in the queue, or refused."""

    ticket: QueueTicket
    turn: asyncio.Event = field(default_factory=asyncio.Event)
    refused: bool = False


class AdmissionController(Service):
    """Admit requests while targets and power allow it; queue or refuse the rest."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        power: PowerController,
        router: Router,
        timer: TimerService,
        queue_limit: int,
        queue_wait_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._power = power
        self._router = router
        self._timer = timer
        self._queue_limit = queue_limit
        self._queue_wait_s = queue_wait_s
        self._queues: dict[str, WaitingQueue] = {}
        self._waiters: dict[int, Waiter] = {}
        self._numbers = itertools.count()

    async def on_start(self) -> None:
        """Start the timer that checks the queues, and listen for drawn watts."""
        self._unsubscribe = self._timer.subscribe(
            name="admission", interval_s=TICK_INTERVAL_S, callback=self._tick
        )
        self._unsubscribe_power = self._power.subscribe(self._wake_all_queues)

    async def on_stop(self) -> None:
        """Stop the timer and stop listening for drawn watts."""
        self._unsubscribe_power()
        self._unsubscribe()

    def make_ticket(self, job: Job) -> QueueTicket:
        """Return a ticket: a request's rank and the time until which it may wait."""
        queue = self._get_queue(job.model)
        max_wait_s = job.deadline_s - queue.capacity.mean_duration_s
        return QueueTicket(
            priority=job.priority,
            number=next(self._numbers),
            give_up_at=self._timer.now() + min(self._queue_wait_s, max_wait_s),
        )

    async def admit(
        self, job: Job, ticket: QueueTicket, *, excluded: frozenset[str], retry: bool
    ) -> Slot | Refusal:
        """Return a slot for a request, or a refusal as soon as it is certain."""
        queue = self._get_queue(job.model)
        if not queue.is_first(ticket):
            overloaded = Refusal(reason=Reason.OVERLOADED)
            return await self._wait_in_queue(job, ticket, overloaded, excluded, retry)
        result = await self._take_slot(job, excluded, retry)
        if not is_transient_refusal(result):
            return result
        return await self._wait_in_queue(job, ticket, result, excluded, retry)

    def release_slot(self, job: Job, slot: Slot, *, served: bool) -> None:
        """Release a slot and wake the first request in the queue."""
        now = self._timer.now()
        self._router.record_end(slot.candidate.name, now)
        queue = self._get_queue(job.model)
        if served:
            queue.capacity.record_duration(now - slot.started_at)
        self._wake_first(queue)

    def count_waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(len(queue.tickets) for queue in self._queues.values())

    def _get_queue(self, model: str) -> WaitingQueue:
        return self._queues.setdefault(model, WaitingQueue(limit=self._queue_limit))

    async def _wait_in_queue(
        self,
        job: Job,
        ticket: QueueTicket,
        result: Slot | Refusal,
        excluded: frozenset[str],
        retry: bool,
    ) -> Slot | Refusal:
        queue = self._get_queue(job.model)
        waiter = Waiter(ticket=ticket)
        self._waiters[ticket.number] = waiter
        n_active = self._router.count_active(job.model)
        retry_after_s = queue.estimate_wait(ticket, n_active)
        try:
            self._refuse_tickets(queue.offer(ticket, self._timer.now(), n_active))
            while not waiter.refused:
                await waiter.turn.wait()
                waiter.turn.clear()
                if waiter.refused:
                    break
                result = await self._take_slot(job, excluded, retry)
                if not is_transient_refusal(result):
                    return result
        finally:
            queue.remove(ticket)
            del self._waiters[ticket.number]
            self._wake_first(queue)
        return make_refusal(result, retry_after_s)

    async def _take_slot(
        self, job: Job, excluded: frozenset[str], retry: bool
    ) -> Slot | Refusal:
        refusal: Refusal | None = None
        while True:
            now = self._timer.now()
            choice = self._router.choose_target(job, excluded, now, retry=retry)
            if isinstance(choice, Refusal):
                return refusal or choice
            candidate = choice.candidate
            # The start is counted before the watts are held, so that two requests
            # that wait for watts at the same time do not use the same last slot.
            self._router.record_start(candidate.name, now, retry=retry)
            try:
                hold = await self._power.hold(
                    job.request, candidate.name, candidate.config
                )
            except BaseException:
                self._router.record_unsent(candidate.name, self._timer.now())
                raise
            if not isinstance(hold, Refusal):
                return Slot(
                    candidate=candidate,
                    hold=hold,
                    blocks=choice.blocks,
                    n_new_tokens=choice.n_new_tokens,
                    started_at=self._timer.now(),
                )
            self._router.record_unsent(candidate.name, self._timer.now())
            refusal = hold
            excluded |= self._router.list_targets_at_site(candidate.config.site)

    async def _tick(self) -> None:
        now = self._timer.now()
        for model, queue in self._queues.items():
            n_active = self._router.count_active(model)
            self._refuse_tickets(queue.evict_late(now, n_active))
            self._wake_first(queue)

    def _wake_all_queues(self) -> None:
        for queue in self._queues.values():
            self._wake_first(queue)

    def _wake_first(self, queue: WaitingQueue) -> None:
        if queue.tickets:
            self._waiters[queue.tickets[0].number].turn.set()

    def _refuse_tickets(self, tickets: list[QueueTicket]) -> None:
        for ticket in tickets:
            waiter = self._waiters[ticket.number]
            waiter.refused = True
            waiter.turn.set()


def is_transient_refusal(result: Slot | Refusal) -> bool:
    """Return whether a result is a refusal that may soon no longer apply."""
    return isinstance(result, Refusal) and result.reason in TRANSIENT_REASONS


def make_refusal(result: Slot | Refusal, wait_s: float) -> Refusal:
    """Return a refusal with the estimated wait, within limits, as its retry delay."""
    reason = result.reason if isinstance(result, Refusal) else Reason.OVERLOADED
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Refusal(reason=reason, retry_after_s=retry_after_s)
