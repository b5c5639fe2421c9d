"""Run one generation: hold tokens, choose a target, stream, settle."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.routing.choice import list_candidates
from trefoilstage.components.targets.dispatcher import Dispatcher
from trefoilstage.components.targets.models import Chunk, Delivery, Job, Usage
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX
from trefoilstage.helpers.verdict import Effect, Reason, Refusal


@dataclass(kw_only=True, slots=True)
class Answer:
    """Hold what a generation has yielded so far."""

    chunks: list[Chunk] = field(default_factory=list)
    delivery: Delivery = field(default_factory=Delivery)
    refusal: Refusal | None = None

    @property
    def usage(self) -> Usage | None:
        """Return what the target says it spent."""
        return self.delivery.usage

    @usage.setter
    def usage(self, usage: Usage | None) -> None:
        self.delivery.usage = usage

    @property
    def target(self) -> str:
        """Return the target that took the request, if any."""
        return self.delivery.target

    @property
    def text(self) -> str:
        """Return the answer's text."""
        return "".join(chunk.text for chunk in self.chunks)

    @property
    def finish_reason(self) -> str | None:
        """Return why the answer ended."""
        return self.chunks[-1].finish_reason if self.chunks else None


class GenerationRunner:
    """Run generations within budget."""

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
        self, caller: Caller, chat: ChatRequest, answer: Answer
    ) -> AsyncIterator[Chunk]:
        """Yield an answer's chunks; a failure is left in answer.refusal."""
        configuration = self._blackboard.configuration
        model = configuration.models.get(chat.model)
        if model is None:
            answer.refusal = Refusal(reason=Reason.UNKNOWN_MODEL)
            return
        n_output = chat.count_output(model.max_output_tokens)
        n_prompt = chat.count_prompt_bound(model.prompt_bytes_per_token)
        reservation = await self._reserve(caller, chat.model, n_output + n_prompt)
        if isinstance(reservation, Refusal):
            answer.refusal = reservation
            return
        try:
            async for chunk in self._deliver(
                caller, chat, n_output, answer, reservation
            ):
                yield chunk
        except BaseException:
            # Nobody waits any more, or a part failed.
            answer.refusal = answer.refusal or Refusal(
                reason=Reason.CANCELLED, effect=Effect.UNKNOWN
            )
            raise
        finally:
            self._settle(caller, answer, reservation)

    async def _reserve(
        self, caller: Caller, model: str, tokens: int
    ) -> Reservation | Refusal:
        reserving = asyncio.create_task(
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
            return await asyncio.shield(reserving)
        except asyncio.CancelledError:
            # Cancelled half-way, the hold would stay on its draw for ever.
            reserving.add_done_callback(self._release)
            raise

    def _release(self, reserving: asyncio.Task[Reservation | Refusal]) -> None:
        if reserving.cancelled() or reserving.exception() is not None:
            return
        reservation = reserving.result()
        if isinstance(reservation, Reservation):
            self._budget.settle(reservation, 0)

    async def _deliver(
        self,
        caller: Caller,
        chat: ChatRequest,
        n_output: int,
        answer: Answer,
        reservation: Reservation,
    ) -> AsyncIterator[Chunk]:
        job = make_job(caller, chat, n_output, reservation)
        try:
            async for chunk in self._dispatcher.run(job, answer.delivery):
                answer.chunks.append(chunk)
                yield chunk
        finally:
            answer.refusal = answer.delivery.refusal

    def _list_fencing_urls(self, model: str) -> list[str]:
        candidates = list_candidates(self._blackboard.configuration.targets, model)
        # Without the word of every target that may run it, what a request
        # spent stays in doubt after this host's death.
        if not all(candidate.config.fences_cancelled for candidate in candidates):
            return []
        return [candidate.config.url for candidate in candidates]

    def _settle(self, caller: Caller, answer: Answer, reservation: Reservation) -> None:
        if answer.refusal is None and answer.usage is not None:
            self._budget.settle(reservation, answer.usage.total)
            return
        # The target is told to stop, and only what it says it spent is billed;
        # without its word the whole hold is. The caller is not kept waiting.
        task = asyncio.create_task(self._settle_broken(caller, answer, reservation))
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)

    async def _settle_broken(
        self, caller: Caller, answer: Answer, reservation: Reservation
    ) -> None:
        spent = await self._dispatcher.cancel(caller.request, answer.delivery)
        self._budget.settle(reservation, reservation.tokens if spent is None else spent)


def make_job(
    caller: Caller, chat: ChatRequest, n_output: int, reservation: Reservation
) -> Job:
    """Return the request to a target; always streamed, so that no end is silent."""
    body = chat.model_dump(exclude_none=True)
    body["stream"] = True
    body["max_tokens"] = n_output
    body.pop("max_completion_tokens", None)
    contents = tuple(message.content for message in chat.messages)
    return Job(
        request=caller.request,
        workspace=caller.workspace,
        model=chat.model,
        body=json.dumps(body).encode(),
        contents=contents,
        n_prompt=sum(map(len, contents)),
        n_output=n_output,
        priority=caller.priority,
        deadline_s=caller.deadline_s,
        urls=reservation.targets,
    )
