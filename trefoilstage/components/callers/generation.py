"""Run one generation: hold tokens, choose a target, stream, settle."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.configuration.controller import BUDGET_ACCOUNT_PREFIX
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
from trefoilstage.components.targets.models import Chunk, Generation, Usage
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

MAX_TRIES = 3
RETRY_AFTER_OVERLOAD_S = 1.0


@dataclass(kw_only=True, slots=True)
class Answer:
    """Hold what a generation has yielded so far."""

    chunks: list[Chunk] = field(default_factory=list)
    usage: Usage | None = None
    target: str = ""
    refusal: Refusal | None = None

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
        targets: TargetClient,
    ) -> None:
        self._blackboard = blackboard
        self._budget = budget
        self._targets = targets

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
        spent = reservation.tokens
        try:
            async for chunk in self._try_targets(
                caller, chat, n_output, answer, reservation
            ):
                yield chunk
            spent = await self._count_spent(caller, answer, reservation)
        except BaseException:
            # Nobody waits any more, or a part failed. The target is told to stop,
            # and only what it says it spent is billed; without its word the
            # whole hold is.
            self._cancel_later(caller, answer, reservation)
            raise
        self._budget.settle(reservation, spent)

    async def _reserve(
        self, caller: Caller, model: str, tokens: int
    ) -> Reservation | Refusal:
        reserving = asyncio.create_task(
            self._budget.reserve(
                request=caller.request,
                key=caller.key,
                account=f"{BUDGET_ACCOUNT_PREFIX}{caller.budget}",
                tokens=tokens,
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

    async def _try_targets(
        self,
        caller: Caller,
        chat: ChatRequest,
        n_output: int,
        answer: Answer,
        reservation: Reservation,
    ) -> AsyncIterator[Chunk]:
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_TRIES):
            candidate = self._pick(chat.model, excluded, reservation)
            if candidate is None:
                break
            generation = make_generation(caller, chat, n_output)
            answer.target = candidate.name
            status = self._targets.get_status(candidate.name)
            status.active += 1
            try:
                async for chunk in self._targets.generate(candidate.config, generation):
                    answer.chunks.append(chunk)
                    answer.usage = chunk.usage or answer.usage
                    yield chunk
                return
            except TargetRefusedError as error:
                self._note_failure(caller, candidate, error)
                excluded |= {candidate.name}
                answer.target = ""
            except TargetBrokenError as error:
                self._note_failure(caller, candidate, error)
                answer.refusal = Refusal(
                    reason=Reason.TARGET_FAILED,
                    effect=Effect.UNKNOWN,
                    retry_after_s=RETRY_AFTER_OVERLOAD_S,
                )
                return
            finally:
                status.active -= 1
        answer.refusal = Refusal(
            reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_OVERLOAD_S
        )

    def _list_fencing_urls(self, model: str) -> list[str]:
        candidates = list_candidates(self._blackboard.configuration.targets, model)
        # Without the word of every target that may run it, what a request
        # spent stays in doubt after this host's death.
        if not all(candidate.config.fences_cancelled for candidate in candidates):
            return []
        return [candidate.config.url for candidate in candidates]

    def _pick(
        self, model: str, excluded: frozenset[str], reservation: Reservation
    ) -> Candidate | None:
        candidates = list_candidates(self._blackboard.configuration.targets, model)
        allowed = [item for item in candidates if reservation.allows(item.config.url)]
        return pick_target(allowed, self._blackboard.targets, excluded)

    def _note_failure(
        self, caller: Caller, candidate: Candidate, error: Exception
    ) -> None:
        self._targets.get_status(candidate.name).failures += 1
        log_event(
            Event.TARGET_FAILED,
            target=candidate.name,
            request=caller.request,
            workspace=caller.workspace,
            error=str(error),
        )

    async def _count_spent(
        self, caller: Caller, answer: Answer, reservation: Reservation
    ) -> int:
        if answer.refusal is None and answer.usage is not None:
            return answer.usage.total
        if not answer.target:
            return 0
        target = self._blackboard.configuration.targets.get(answer.target)
        if target is None:
            return reservation.tokens
        usage = await self._targets.cancel(target, caller.request)
        return reservation.tokens if usage is None else usage.total

    def _cancel_later(
        self, caller: Caller, answer: Answer, reservation: Reservation
    ) -> None:
        answer.refusal = answer.refusal or Refusal(reason=Reason.CANCELLED)

        async def cancel() -> None:
            spent = await self._count_spent(caller, answer, reservation)
            self._budget.settle(reservation, spent)

        task = asyncio.get_running_loop().create_task(cancel())
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)


def make_generation(caller: Caller, chat: ChatRequest, n_output: int) -> Generation:
    """Return the request to a target; always streamed, so that no end is silent."""
    body = chat.model_dump(exclude_none=True)
    body["stream"] = True
    body["max_tokens"] = n_output
    body.pop("max_completion_tokens", None)
    return Generation(
        request=caller.request,
        workspace=caller.workspace,
        model=chat.model,
        body=json.dumps(body).encode(),
        priority=caller.priority,
        fencing=0,
        timeout_s=caller.deadline_s,
    )
