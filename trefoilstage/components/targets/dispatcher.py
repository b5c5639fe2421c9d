"""Bring a job to a target: choose, hold watts, stream, retry."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.power.controller import PowerController, PowerHold
from trefoilstage.components.routing.choice import (
    Candidate,
    list_candidates,
    pick_target,
)
from trefoilstage.components.targets.client import (
    TargetBrokenError,
    TargetClient,
    TargetRefusedError,
)
from trefoilstage.components.targets.models import Chunk, Delivery, Generation, Job
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

MAX_TRIES = 3
RETRY_AFTER_OVERLOAD_S = 1.0


class Dispatcher:
    """Run jobs on targets within their sites' power."""

    def __init__(
        self, *, blackboard: Blackboard, targets: TargetClient, power: PowerController
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._power = power

    async def run(self, job: Job, delivery: Delivery) -> AsyncIterator[Chunk]:
        """Yield a job's chunks; a failure is left in delivery.refusal."""
        excluded: frozenset[str] = frozenset()
        refusal = Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_OVERLOAD_S)
        for _ in range(MAX_TRIES):
            candidate = self._pick(job, excluded)
            if candidate is None:
                break
            hold = await self._power.hold(job.request, candidate.name, candidate.config)
            if isinstance(hold, Refusal):
                refusal = hold
                excluded |= self._list_site(candidate.config.site)
                continue
            try:
                stream = self._send(job, candidate, hold, delivery)
                async with aclosing(stream) as chunks:
                    async for chunk in chunks:
                        yield chunk
                return
            except TargetRefusedError as error:
                self._note_failure(job, candidate, error)
                if error.is_fenced:
                    self._power.renew(candidate.config.site)
                excluded |= {candidate.name}
            except TargetBrokenError as error:
                self._note_failure(job, candidate, error)
                delivery.refusal = Refusal(
                    reason=Reason.TARGET_FAILED,
                    effect=Effect.UNKNOWN,
                    retry_after_s=RETRY_AFTER_OVERLOAD_S,
                )
                return
        delivery.refusal = refusal

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
        self, job: Job, candidate: Candidate, hold: PowerHold, delivery: Delivery
    ) -> AsyncGenerator[Chunk, None]:
        status = self._targets.get_status(candidate.name)
        status.active += 1
        delivery.target = candidate.name
        ended = False
        try:
            generation = self._make_generation(job, hold)
            async for chunk in self._targets.generate(candidate.config, generation):
                delivery.usage = chunk.usage or delivery.usage
                yield chunk
            ended = True
        except TargetRefusedError:
            ended = True
            delivery.target = ""
            raise
        finally:
            status.active -= 1
            # Only the target's own word ends a request there. A broken stream
            # or a caller that left says nothing of it, and its watts flow on.
            if ended:
                self._power.release(hold)
            else:
                self._power.release_when_ended(hold, candidate.config)

    def _make_generation(self, job: Job, hold: PowerHold) -> Generation:
        return Generation(
            request=job.request,
            workspace=job.workspace,
            model=job.model,
            body=job.body,
            priority=job.priority,
            incarnation=self._blackboard.incarnation,
            fencing=hold.fencing,
            revision=max(0, self._blackboard.config.revision),
            timeout_s=job.deadline_s,
        )

    def _pick(self, job: Job, excluded: frozenset[str]) -> Candidate | None:
        targets = self._blackboard.configuration.targets
        candidates = [
            candidate
            for candidate in list_candidates(targets, job.model)
            if not job.urls or candidate.config.url in job.urls
        ]
        return pick_target(candidates, self._blackboard.targets, excluded)

    def _list_site(self, site: str) -> frozenset[str]:
        return frozenset(
            name
            for name, target in self._blackboard.configuration.targets.items()
            if target.site == site
        )

    def _note_failure(self, job: Job, candidate: Candidate, error: Exception) -> None:
        self._targets.get_status(candidate.name).failures += 1
        log_event(
            Event.TARGET_FAILED,
            target=candidate.name,
            request=job.request,
            workspace=job.workspace,
            error=str(error),
        )
