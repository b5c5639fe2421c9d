"""Bring a job to a target: get a place, stream, retry."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.admission.controller import AdmissionController, Place
from trefoilstage.components.power.controller import PowerController
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.client import (
    TargetBrokenError,
    TargetClient,
    TargetRefusedError,
)
from trefoilstage.components.targets.models import Chunk, Delivery, Generation, Job
from trefoilstage.components.targets.standing import StandingKeeper
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.timer import TimerService

MAX_TRIES = 3
RETRY_AFTER_FAILURE_S = 1.0
NO_TARGET = Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_FAILURE_S)

BROKEN = Refusal(
    reason=Reason.TARGET_FAILED,
    effect=Effect.UNKNOWN,
    retry_after_s=RETRY_AFTER_FAILURE_S,
)


class Dispatcher:
    """Run jobs on targets within their room and their sites' power."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        targets: TargetClient,
        admission: AdmissionController,
        power: PowerController,
        router: Router,
        standing: StandingKeeper,
        timer: TimerService,
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._admission = admission
        self._power = power
        self._router = router
        self._standing = standing
        self._timer = timer

    async def run(self, job: Job, delivery: Delivery) -> AsyncIterator[Chunk]:
        """Yield a job's chunks; a failure is left in delivery.refusal."""
        excluded: frozenset[str] = frozenset()
        begun = False
        n_failed = 0
        ticket = self._admission.make_ticket(job)
        while n_failed < MAX_TRIES:
            place = await self._admission.admit(
                job, ticket, excluded=excluded, retry=n_failed > 0
            )
            if isinstance(place, Refusal):
                delivery.refusal = place
                return
            if not await self._is_confirmed(job, place):
                excluded |= {place.candidate.name}
                n_failed += 1
                delivery.refusal = NO_TARGET
                continue
            delivery.refusal = None
            try:
                async with aclosing(self._send(job, place, delivery)) as chunks:
                    async for chunk in chunks:
                        begun = True
                        yield chunk
                return
            except TargetRefusedError as error:
                self._note_refusal(job, place, error)
                # A full target ran nothing and is no fault: the request waits
                # on in its place. Counted as a retry, it would use up the
                # retry budget in an overload and be refused with room near.
                if not error.is_busy:
                    excluded |= {place.candidate.name}
                    n_failed += 1
                elif self._timer.now() >= ticket.give_up_at:
                    break
            except TargetBrokenError as error:
                self._note_failure(job, place, error)
                is_late = isinstance(error.__cause__, TimeoutError)
                if begun or is_late or not await self._ran_nothing(job, place):
                    delivery.refusal = BROKEN
                    return
                delivery.target = ""
                excluded |= {place.candidate.name}
                n_failed += 1
        delivery.refusal = delivery.refusal or Refusal(
            reason=Reason.OVERLOADED, retry_after_s=RETRY_AFTER_FAILURE_S
        )

    async def _ran_nothing(self, job: Job, place: Place) -> bool:
        """Tell whether the target says that a failed job spent nothing, for good."""
        answer = await self._targets.cancel(place.candidate.config, job.request)
        return answer is not None and answer.ended and not answer.usage.total

    async def _is_confirmed(self, job: Job, place: Place) -> bool:
        confirmed = False
        try:
            confirmed = await self._standing.confirm(place.candidate.name)
        finally:
            if not confirmed:
                self._end(job, place, ended=True, served=False)
        return confirmed

    async def cancel(self, request: str, delivery: Delivery) -> int | None:
        """End a job and return what it spent, None if that can't be known."""
        if not delivery.target:
            return 0
        target = self._blackboard.configuration.targets.get(delivery.target)
        if target is None:
            return None
        answer = await self._targets.cancel(target, request)
        if answer is None or not answer.ended:
            return None
        return answer.usage.total

    async def _send(
        self, job: Job, place: Place, delivery: Delivery
    ) -> AsyncGenerator[Chunk, None]:
        name = place.candidate.name
        delivery.target = name
        ended = False
        unread = place.n_new_tokens
        self._router.record_prompt_sent(name, place.blocks, unread)
        try:
            generation = self._make_generation(job, place)
            stream = self._targets.generate(place.candidate.config, generation)
            async with aclosing(stream) as chunks:
                async for chunk in chunks:
                    self._router.record_prompt_read(name, unread)
                    unread = 0
                    delivery.usage = chunk.usage or delivery.usage
                    yield chunk
            ended = True
            self._router.get_status(name).health.note_answer()
        except TargetRefusedError:
            ended = True
            delivery.target = ""
            raise
        finally:
            self._router.record_prompt_read(name, unread)
            self._end(job, place, ended=ended, served=delivery.usage is not None)

    def _end(self, job: Job, place: Place, *, ended: bool, served: bool) -> None:
        self._router.get_status(place.candidate.name).health.note_dropped()
        # Only the target's own word ends a request there. A broken stream or
        # a caller that left says nothing of it, and its watts flow on.
        if ended:
            self._power.release(place.hold)
        else:
            self._power.release_when_ended(place.hold, place.candidate.config)
        self._admission.leave(job, place, served=served)

    def _make_generation(self, job: Job, place: Place) -> Generation:
        return Generation(
            request=job.request,
            workspace=job.workspace,
            model=job.model,
            body=job.body,
            priority=job.priority,
            incarnation=self._blackboard.incarnation,
            fencing=place.hold.fencing,
            revision=max(0, self._blackboard.config.revision),
            timeout_s=job.deadline_s,
        )

    def _note_refusal(self, job: Job, place: Place, error: TargetRefusedError) -> None:
        status = self._router.get_status(place.candidate.name)
        if error.is_busy:
            status.health.note_busy(self._timer.now())
        elif error.is_fenced:
            self._power.renew(place.candidate.config.site)
        elif not error.is_leaving:
            self._note_failure(job, place, error)

    def _note_failure(self, job: Job, place: Place, error: Exception) -> None:
        name = place.candidate.name
        status = self._router.get_status(name)
        status.failures += 1
        if status.health.note_failure(self._timer.now()):
            log_event(Event.TARGET_EJECTED, target=name, failures=status.failures)
        log_event(
            Event.TARGET_FAILED,
            target=name,
            request=job.request,
            workspace=job.workspace,
            error=str(error),
        )
