"""Run calls of plain services; those that are not idempotent at most once."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.client import RETRY_AFTER_SERVICE_S, ServiceClient
from trefoilstage.components.booking.intents import (
    Standing,
    answer_standing,
    count_cost,
    judge_intent,
    make_outcome,
)
from trefoilstage.components.booking.models import ServiceAnswer, ServiceCall
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.log_client.stream import Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.configuration.schema import OperationConfig, ServiceConfig
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, LEDGER_STREAM_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import (
    Accepted,
    Effect,
    Reason,
    Refusal,
    Rejected,
    Verdict,
)
from trefoilstage.ledger.records import Abandon, Intent
from trefoilstage.util.hashing import hash_call, rank_by_rendezvous

RETRY_AFTER_LOG_S = 2.0
OUTCOME_WAIT_S = 2.0
OUTCOME_POLL_S = 0.02
MAX_CLAIMS = 3
MAX_TRIES = 3
RETRIED_STATUSES = frozenset({502, 503, 504})

Result = ServiceAnswer | Refusal
LOG_REFUSAL = Refusal(reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Hold one call with what the configuration says of it."""

    caller: Caller
    call: ServiceCall
    service: ServiceConfig
    operation: OperationConfig

    def list_urls(self) -> list[str]:
        """Return where the call may be sent, best first."""
        ranked = rank_by_rendezvous(self.caller.key, self.service.urls)
        return [f"{url}{self.operation.path}" for url in ranked[:MAX_TRIES]]


class BookingController:
    """Send service calls, with an intent on the log where they may not repeat."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        budget: BudgetController,
        client: ServiceClient,
        admission_wait_s: float,
    ) -> None:
        self._blackboard = blackboard
        self._streams = streams
        self._budget = budget
        self._client = client
        self._admission_wait_s = admission_wait_s
        # Runs of this host by key, until their outcome is on the log.
        self._runs: dict[str, asyncio.Future[Result]] = {}

    async def run(self, caller: Caller, call: ServiceCall) -> Result:
        """Return the service's answer, or why there is none."""
        service = self._blackboard.configuration.services.get(call.service)
        operation = service.operations.get(call.operation) if service else None
        if service is None or operation is None:
            return Refusal(reason=Reason.UNKNOWN_SERVICE)
        if operation.method != call.method:
            return Refusal(
                reason=Reason.METHOD_NOT_ALLOWED, detail=f"{operation.method} expected"
            )
        job = Job(caller=caller, call=call, service=service, operation=operation)
        if operation.idempotent:
            return await self._finish(job, self._run_idempotent(job))
        if not call.has_key:
            return Refusal(
                reason=Reason.KEY_REQUIRED, detail="Idempotency-Key expected"
            )
        return await self._finish(job, self._run_once(job))

    async def _finish(self, job: Job, run: Coroutine[Any, Any, Result]) -> Result:
        # A caller that hangs up cancels its handler. Were the call sent from
        # there, its outcome would be lost although the service acted on it. A
        # task of its own records the outcome whatever the caller does, and a
        # graceful shutdown waits for the tasks in "closing".
        task = asyncio.create_task(run)
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)
        done, _ = await asyncio.wait({task}, timeout=job.caller.deadline_s)
        if done:
            return task.result()
        return answer_standing(Standing.RUNNING, None)

    async def _run_idempotent(self, job: Job) -> Result:
        reservation = await self._reserve(job)
        if isinstance(reservation, Refusal):
            return reservation
        answer = await self._try_servers(job)
        self._settle(job, reservation, answer)
        return answer

    async def _try_servers(self, job: Job) -> Result:
        answer: Result = Refusal(reason=Reason.NO_TARGET)
        broken: Refusal | None = None
        for url in job.list_urls():
            answer = await self._send(job, url, once=False)
            if isinstance(answer, ServiceAnswer):
                if answer.status not in RETRIED_STATUSES:
                    return answer
            elif answer.effect is Effect.UNKNOWN:
                broken = answer
        # A later server that could not be reached does not undo what an
        # earlier one may have run.
        return answer if isinstance(answer, ServiceAnswer) else broken or answer

    async def _run_once(self, job: Job) -> Result:
        number = self._streams.pick_number(f"workspace:{job.caller.workspace}")
        intent = Intent(
            key=job.caller.key,
            workspace=job.caller.workspace,
            service=job.call.name,
            body_digest=hash_call(job.call.name, job.call.body),
        )
        for _ in range(MAX_CLAIMS):
            answer = await self._follow(number, intent)
            if answer is None:
                answer = await self._claim_and_send(job, number, intent)
            if answer is not None:
                return answer
        return answer_standing(Standing.RUNNING, None)

    async def _claim_and_send(
        self, job: Job, number: int, intent: Intent
    ) -> Result | None:
        if not self._blackboard.streams[f"{LEDGER_STREAM_PREFIX}{number}"].reachable:
            return LOG_REFUSAL
        reservation = await self._reserve(job)
        if isinstance(reservation, Refusal):
            return reservation
        verdict = await self._claim(number, intent)
        if not isinstance(verdict, Accepted):
            self._settle(job, reservation, LOG_REFUSAL)
            return verdict if isinstance(verdict, Refusal) else None
        run: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._runs[intent.key] = run
        answer = await self._send_once(job)
        self._settle(job, reservation, answer)
        run.set_result(answer)
        self._record(number, intent.key, answer)
        return answer

    async def _claim(self, number: int, intent: Intent) -> Verdict | Refusal:
        ticket = self._streams.submit_ledger(number, intent)
        try:
            async with asyncio.timeout(self._admission_wait_s):
                verdict = await asyncio.shield(ticket.future)
        except TimeoutError:
            self._give_up(number, intent.key, ticket)
            return LOG_REFUSAL
        if isinstance(verdict, Rejected) and verdict.reason is Reason.NOT_READY:
            self._abandon(number, intent.key)
            return LOG_REFUSAL
        return verdict

    def _give_up(self, number: int, key: str, ticket: Ticket) -> None:
        if self._streams.ledgers[number].withdraw(ticket):
            return

        def abandon(future: asyncio.Future[Verdict]) -> None:
            # The intent may still land after the caller was told "not run".
            # It would hold the key for ever, so its owner takes it back.
            if not future.cancelled() and isinstance(future.result(), Accepted):
                self._abandon(number, key)

        ticket.future.add_done_callback(abandon)

    def _abandon(self, number: int, key: str) -> None:
        # An intent that is being run must stay, or a retry would run it again.
        if key not in self._runs:
            self._streams.submit_ledger(number, Abandon(key=key))

    async def _follow(self, number: int, intent: Intent) -> Result | None:
        """Return what an earlier run with the key yields, None without one."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(OUTCOME_WAIT_S, self._admission_wait_s * 2)
        while True:
            present = self._blackboard.ledgers[number].intents.get(intent.key)
            is_live = present is not None and self._is_live(present.owner)
            standing = judge_intent(present, intent, is_owner_live=is_live)
            if standing is Standing.FREE:
                return None
            run = self._runs.get(intent.key)
            if standing is Standing.RUNNING and run is not None and run.done():
                return run.result()
            if standing is not Standing.RUNNING or loop.time() >= deadline:
                return answer_standing(standing, present)
            await asyncio.sleep(OUTCOME_POLL_S)

    def _is_live(self, incarnation: str) -> bool:
        if incarnation == self._blackboard.incarnation:
            return True
        return any(
            entry.incarnation == incarnation and self._blackboard.is_peer_live(entry)
            for entry in self._blackboard.config.hosts.values()
        )

    async def _send_once(self, job: Job) -> Result:
        answer: Result = Refusal(
            reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_SERVICE_S
        )
        for url in job.list_urls():
            answer = await self._send(job, url, once=True)
            # Only a server that got no byte of the call may be followed by another.
            if isinstance(answer, ServiceAnswer) or answer.effect is Effect.UNKNOWN:
                return answer
        return answer

    async def _send(self, job: Job, url: str, *, once: bool) -> Result:
        timeout_s = job.service.timeout_s
        return await self._client.send(
            job.caller, job.call, url, once=once, timeout_s=timeout_s
        )

    def _record(self, number: int, key: str, answer: Result) -> None:
        if isinstance(answer, Refusal) and answer.effect is Effect.NOT_RUN:
            del self._runs[key]
            self._abandon(number, key)
            return
        ticket = self._streams.submit_ledger(number, make_outcome(key, answer))
        ticket.future.add_done_callback(lambda _: self._runs.pop(key, None))

    async def _reserve(self, job: Job) -> Reservation | Refusal | None:
        if not job.operation.cost_tokens:
            return None
        return await self._budget.reserve(
            request=job.caller.request,
            key=job.caller.key,
            account=f"{BUDGET_ACCOUNT_PREFIX}{job.caller.budget}",
            tokens=job.operation.cost_tokens,
            workspace=job.caller.workspace,
        )

    def _settle(
        self, job: Job, reservation: Reservation | None, answer: Result
    ) -> None:
        if reservation is None:
            return
        spent = count_cost(answer, job.operation.cost_tokens)
        self._budget.settle(reservation, spent)
        log_event(
            Event.CALL_BILLED,
            request=job.caller.request,
            workspace=job.caller.workspace,
            tokens=spent,
        )
