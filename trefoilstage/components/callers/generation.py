"""Run generations: reserve tokens, dispatch to a target, and settle the spend."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.routing.choice import list_candidates
from trefoilstage.components.targets.dispatcher import Dispatcher
from trefoilstage.components.targets.models import Chunk, Job, JobResult, Usage
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX
from trefoilstage.helpers.verdict import Effect, Reason, Refusal


@dataclass(kw_only=True, slots=True)
class GenerationResult:
    """Describe what a generation has produced so far."""

    chunks: list[Chunk] = field(default_factory=list)
    job_result: JobResult = field(default_factory=JobResult)
    refusal: Refusal | None = None

    @property
    def usage(self) -> Usage | None:
        """Return the token usage that the target reported, if any."""
        return self.job_result.usage

    @usage.setter
    def usage(self, usage: Usage | None) -> None:
        self.job_result.usage = usage

    @property
    def target(self) -> str:
        """Return the target that accepted the request, "" if none has."""
        return self.job_result.target

    @property
    def text(self) -> str:
        """Return the answer's text."""
        return "".join(chunk.text for chunk in self.chunks)

    @property
    def finish_reason(self) -> str | None:
        """Return why the answer ended."""
        return self.chunks[-1].finish_reason if self.chunks else None


class GenerationRunner:
    """Run generations within their budgets."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        budget: BudgetController,
        dispatcher: Dispatcher,
    ) -> None:
        self._blackboard = blackboard
        self._budget = budget
        self._dispatcher = dispatcher

    async def run(
        self, caller: Caller, chat: ChatRequest, result: GenerationResult
    ) -> AsyncIterator[Chunk]:
        """Yield an answer's chunks; a failure is stored in result.refusal."""
        configuration = self._blackboard.configuration
        model = configuration.models.get(chat.model)
        if model is None:
            result.refusal = Refusal(reason=Reason.UNKNOWN_MODEL)
            return
        max_output_tokens = chat.compute_max_output_tokens(model.max_output_tokens)
        max_prompt_tokens = chat.compute_max_prompt_tokens(model.prompt_bytes_per_token)
        reservation = await self._reserve(
            caller, chat.model, max_output_tokens + max_prompt_tokens
        )
        if isinstance(reservation, Refusal):
            result.refusal = reservation
            return
        try:
            async for chunk in self._dispatch(
                caller, chat, max_output_tokens, result, reservation
            ):
                yield chunk
        except BaseException:
            # The run was cancelled, or a component raised an error.
            result.refusal = result.refusal or Refusal(
                reason=Reason.CANCELLED, effect=Effect.UNKNOWN
            )
            raise
        finally:
            self._settle(caller, result, reservation)

    async def _reserve(
        self, caller: Caller, model: str, tokens: int
    ) -> Reservation | Refusal:
        reservation_task = asyncio.create_task(
            self._budget.reserve(
                request=caller.request,
                key=caller.key,
                account=f"{BUDGET_ACCOUNT_PREFIX}{caller.budget}",
                tokens=tokens,
                workspace=caller.workspace,
                targets=self._list_fencing_urls(model),
            )
        )
        try:
            return await asyncio.shield(reservation_task)
        except asyncio.CancelledError:
            # A hold whose reservation was cancelled would stay on its draw permanently.
            reservation_task.add_done_callback(self._release_unused_reservation)
            raise

    def _release_unused_reservation(
        self, reservation_task: asyncio.Task[Reservation | Refusal]
    ) -> None:
        if reservation_task.cancelled() or reservation_task.exception() is not None:
            return
        reservation = reservation_task.result()
        if isinstance(reservation, Reservation):
            self._budget.settle(reservation, 0)

    async def _dispatch(
        self,
        caller: Caller,
        chat: ChatRequest,
        max_output_tokens: int,
        result: GenerationResult,
        reservation: Reservation,
    ) -> AsyncIterator[Chunk]:
        job = make_job(caller, chat, max_output_tokens, reservation)
        try:
            async for chunk in self._dispatcher.run(job, result.job_result):
                result.chunks.append(chunk)
                yield chunk
        finally:
            result.refusal = result.job_result.refusal

    def _list_fencing_urls(self, model: str) -> list[str]:
        candidates = list_candidates(self._blackboard.configuration.targets, model)
        # After this host is lost, a request's hold stays doubtful unless every target
        # that may have run the request gives a final report of what it spent.
        if not all(candidate.config.fences_cancelled for candidate in candidates):
            return []
        return [candidate.config.url for candidate in candidates]

    def _settle(
        self, caller: Caller, result: GenerationResult, reservation: Reservation
    ) -> None:
        if result.refusal is None and result.usage is not None:
            self._budget.settle(reservation, result.usage.total)
            return
        # The target is asked to cancel the request, and only the spend that it
        # reports is billed; without a report the whole hold is. A separate task
        # does this, so that the caller does not wait.
        task = asyncio.create_task(self._cancel_and_settle(caller, result, reservation))
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)

    async def _cancel_and_settle(
        self, caller: Caller, result: GenerationResult, reservation: Reservation
    ) -> None:
        spent_tokens = await self._dispatcher.cancel(caller.request, result.job_result)
        self._budget.settle(
            reservation, reservation.tokens if spent_tokens is None else spent_tokens
        )


def make_job(
    caller: Caller, chat: ChatRequest, max_output_tokens: int, reservation: Reservation
) -> Job:
    """Return the job for a chat request; it streams, so that truncation is detected."""
    body = chat.model_dump(exclude_none=True)
    body["stream"] = True
    body["max_tokens"] = max_output_tokens
    body.pop("max_completion_tokens", None)
    contents = tuple(message.content for message in chat.messages)
    return Job(
        request=caller.request,
        workspace=caller.workspace,
        model=chat.model,
        body=json.dumps(body).encode(),
        contents=contents,
        n_prompt_chars=sum(map(len, contents)),
        n_output_tokens=max_output_tokens,
        priority=caller.priority,
        deadline_s=caller.deadline_s,
        urls=reservation.targets,
    )
