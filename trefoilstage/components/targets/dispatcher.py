"""Run a job at a target: acquire a slot, stream the response, retry failures."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.admission.controller import AdmissionController, Slot
from trefoilstage.components.power.controller import PowerController
from trefoilstage.components.routing.router import Router
from trefoilstage.components.targets.client import (
    TargetBrokenError,
    TargetClient,
    TargetRefusedError,
)
from trefoilstage.components.targets.models import (
    Chunk,
    GenerationRequest,
    Job,
    JobResult,
)
from trefoilstage.components.targets.serving_check import ServingCheck
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.timer import TimerService

MAX_ATTEMPTS = 3
RETRY_AFTER_FAILURE_S = 1.0
NO_TARGET = Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_FAILURE_S)

TARGET_FAILED = Refusal(
    reason=Reason.TARGET_FAILED,
    effect=Effect.UNKNOWN,
    retry_after_s=RETRY_AFTER_FAILURE_S,
)


class Dispatcher:
    """Run jobs at targets within the targets' capacity and the sites' power limits."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        targets: TargetClient,
        admission: AdmissionController,
        power: PowerController,
        router: Router,
        serving_check: ServingCheck,
        timer: TimerService,
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._admission = admission
        self._power = power
        self._router = router
        self._serving_check = serving_check
        self._timer = timer

    async def run(self, job: Job, job_result: JobResult) -> AsyncIterator[Chunk]:
        """Yield a job's chunks; store a failure in `job_result.refusal`."""
        excluded: frozenset[str] = frozenset()
        has_begun = False
        n_failed = 0
        ticket = self._admission.make_ticket(job)
        while n_failed < MAX_ATTEMPTS:
            slot = await self._admission.admit(
                job, ticket, excluded=excluded, retry=n_failed > 0
            )
            if isinstance(slot, Refusal):
                job_result.refusal = slot
                return
            if not await self._confirm_serving(job, slot):
                excluded |= {slot.candidate.name}
                n_failed += 1
                job_result.refusal = NO_TARGET
                continue
            job_result.refusal = None
            try:
                async with aclosing(
                    self._stream_chunks(job, slot, job_result)
                ) as chunks:
                    async for chunk in chunks:
                        has_begun = True
                        yield chunk
                return
            except TargetRefusedError as error:
                self._record_refusal(job, slot, error)
                # A target at capacity ran nothing and has not failed, so the request
                # keeps its place in the queue. Counted as a retry, it would use up the
                # retry credit in an overload and be refused although a slot may be
                # free soon.
                if not error.is_busy:
                    excluded |= {slot.candidate.name}
                    n_failed += 1
                elif self._timer.now() >= ticket.give_up_at:
                    break
            except TargetBrokenError as error:
                self._record_failure(job, slot, error)
                has_timed_out = isinstance(error.__cause__, TimeoutError)
                if (
                    has_begun
                    or has_timed_out
                    or not await self._has_run_nothing(job, slot)
                ):
                    job_result.refusal = TARGET_FAILED
                    return
                job_result.target = ""
                excluded |= {slot.candidate.name}
                n_failed += 1
        job_result.refusal = job_result.refusal or Refusal(
            reason=Reason.OVERLOADED, retry_after_s=RETRY_AFTER_FAILURE_S
        )

    async def _has_run_nothing(self, job: Job, slot: Slot) -> bool:
        """Return whether the target reports that a failed job ended without tokens."""
        response = await self._targets.cancel(slot.candidate.config, job.request)
        return response is not None and response.ended and not response.usage.total

    async def _confirm_serving(self, job: Job, slot: Slot) -> bool:
        """Return whether the target is confirmed as serving; if not, free the slot."""
        confirmed = False
        try:
            confirmed = await self._serving_check.confirm(slot.candidate.name)
        finally:
            if not confirmed:
                self._finish(job, slot, has_ended=True, served=False)
        return confirmed

    async def cancel(self, request: str, job_result: JobResult) -> int | None:
        """Cancel a job and return the tokens that it spent, None if unknown."""
        if not job_result.target:
            return 0
        target = self._blackboard.configuration.targets.get(job_result.target)
        if target is None:
            return None
        response = await self._targets.cancel(target, request)
        if response is None or not response.ended:
            return None
        return response.usage.total

    async def _stream_chunks(
        self, job: Job, slot: Slot, job_result: JobResult
    ) -> AsyncGenerator[Chunk, None]:
        name = slot.candidate.name
        job_result.target = name
        has_ended = False
        n_unprocessed_tokens = slot.n_new_tokens
        self._router.record_prompt_sent(name, slot.blocks, n_unprocessed_tokens)
        try:
            generation_request = self._make_generation_request(job, slot)
            stream = self._targets.generate(slot.candidate.config, generation_request)
            async with aclosing(stream) as chunks:
                async for chunk in chunks:
                    self._router.record_prompt_processed(name, n_unprocessed_tokens)
                    n_unprocessed_tokens = 0
                    job_result.usage = chunk.usage or job_result.usage
                    yield chunk
            has_ended = True
            self._router.get_status(name).health.record_success()
        except TargetRefusedError:
            has_ended = True
            job_result.target = ""
            raise
        finally:
            self._router.record_prompt_processed(name, n_unprocessed_tokens)
            self._finish(
                job, slot, has_ended=has_ended, served=job_result.usage is not None
            )

    def _finish(self, job: Job, slot: Slot, *, has_ended: bool, served: bool) -> None:
        self._router.get_status(slot.candidate.name).health.record_inconclusive_end()
        # Only the target's own response shows that a request has ended there. After a
        # broken stream or a caller's disconnect, the request may still draw power.
        if has_ended:
            self._power.release(slot.hold)
        else:
            self._power.release_when_ended(slot.hold, slot.candidate.config)
        self._admission.release_slot(job, slot, served=served)

    def _make_generation_request(self, job: Job, slot: Slot) -> GenerationRequest:
        return GenerationRequest(
            request=job.request,
            workspace=job.workspace,
            model=job.model,
            body=job.body,
            priority=job.priority,
            incarnation=self._blackboard.incarnation,
            fencing=slot.hold.fencing,
            revision=max(0, self._blackboard.config.revision),
            timeout_s=job.deadline_s,
        )

    def _record_refusal(self, job: Job, slot: Slot, error: TargetRefusedError) -> None:
        status = self._router.get_status(slot.candidate.name)
        if error.rest_s:
            self._record_rest(slot, error.rest_s)
        elif error.is_busy:
            status.health.record_busy(self._timer.now())
        elif error.is_fenced:
            self._power.retire_draw(slot.candidate.config.site)
        elif not error.is_leaving:
            self._record_failure(job, slot, error)

    def _record_rest(self, slot: Slot, rest_s: float) -> None:
        name = slot.candidate.name
        health = self._router.get_status(name).health
        health.record_rest(rest_s, self._timer.now())
        log_event(Event.TARGET_ASKED_FOR_REST, target=name, rest_s=rest_s)

    def _record_failure(self, job: Job, slot: Slot, error: Exception) -> None:
        name = slot.candidate.name
        status = self._router.get_status(name)
        status.failures += 1
        if status.health.record_failure(self._timer.now()):
            log_event(Event.TARGET_EJECTED, target=name, failures=status.failures)
        log_event(
            Event.TARGET_FAILED,
            target=name,
            request=job.request,
            workspace=job.workspace,
            error=str(error),
        )
