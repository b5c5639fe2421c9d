"""Run calls to plain services; a call that is not idempotent runs at most once.

Before such a call is sent, an intent record reserves its idempotency key on the log.
Afterwards an outcome record stores the result for retries, or an abandon record
frees the key if the call did not run.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.client import RETRY_AFTER_SERVICE_S, ServiceClient
from trefoilstage.components.booking.intents import (
    IntentStatus,
    answer_repeated_call,
    compute_cost_tokens,
    get_intent_status,
    make_outcome,
)
from trefoilstage.components.booking.models import ServiceCall, ServiceResponse
from trefoilstage.components.budget.controller import BudgetController, Reservation
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.log_client.stream import Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.configuration.schema import OperationConfig, ServiceConfig
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, LEDGER_STREAM_PREFIX
from trefoilstage.helpers.events import Event, describe_error, log_event
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
OUTCOME_POLL_INTERVAL_S = 0.02
MAX_INTENT_ATTEMPTS = 3
MAX_URLS_TRIED = 3
RETRYABLE_STATUSES = frozenset({502, 503, 504})

CallResult = ServiceResponse | Refusal
LOG_UNAVAILABLE_REFUSAL = Refusal(
    reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S
)


@dataclass(frozen=True, kw_only=True, slots=True)
class CallContext:
    """Describe a call with its caller and the configuration that applies to it."""

    caller: Caller
    call: ServiceCall
    service: ServiceConfig
    operation: OperationConfig

    def list_urls(self) -> list[str]:
        """Return the URLs to try, in rendezvous order for the call's key."""
        ranked = rank_by_rendezvous(self.caller.key, self.service.urls)
        return [f"{url}{self.operation.path}" for url in ranked[:MAX_URLS_TRIED]]


class ServiceCallController:
    """Send service calls; record an intent first if they are not idempotent."""

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
        # Results of the calls this host runs, by key, until the log has their outcome.
        self._runs: dict[str, asyncio.Future[CallResult]] = {}

    async def end_calls(self) -> None:
        """End the calls in progress; their callers learn whether they were sent."""
        await self._client.end_calls()

    async def run(self, caller: Caller, call: ServiceCall) -> CallResult:
        """Return the service's response, or the refusal if there is none."""
        service = self._blackboard.configuration.services.get(call.service)
        operation = service.operations.get(call.operation) if service else None
        if service is None or operation is None:
            return Refusal(reason=Reason.UNKNOWN_SERVICE)
        if operation.method != call.method:
            return Refusal(
                reason=Reason.METHOD_NOT_ALLOWED,
                detail=f"this operation requires method {operation.method}",
            )
        context = CallContext(
            caller=caller, call=call, service=service, operation=operation
        )
        if operation.idempotent:
            return await self._run_detached(context, self._run_idempotent(context))
        if not call.has_key:
            return Refusal(
                reason=Reason.KEY_REQUIRED,
                detail="this operation requires an Idempotency-Key header",
            )
        return await self._run_detached(context, self._run_at_most_once(context))

    async def _run_detached(
        self, context: CallContext, coroutine: Coroutine[Any, Any, CallResult]
    ) -> CallResult:
        # When a caller disconnects, its handler is cancelled. A call sent from the
        # handler would lose its outcome although the service acted on it. A
        # separate task records the outcome in every case, and a graceful shutdown
        # waits for the tasks in "closing".
        task = asyncio.create_task(coroutine)
        self._blackboard.closing.add(task)
        task.add_done_callback(self._blackboard.closing.discard)
        done, _ = await asyncio.wait({task}, timeout=context.caller.deadline_s)
        if done:
            return task.result()
        return answer_repeated_call(IntentStatus.RUNNING, None)

    async def _run_idempotent(self, context: CallContext) -> CallResult:
        reservation = await self._reserve(context)
        if isinstance(reservation, Refusal):
            return reservation
        result = await self._send_idempotent(context)
        self._settle(context, reservation, result)
        return result

    async def _send_idempotent(self, context: CallContext) -> CallResult:
        result: CallResult = Refusal(reason=Reason.NO_TARGET)
        unknown_refusal: Refusal | None = None
        for url in context.list_urls():
            result = await self._send(context, url, at_most_once=False)
            if isinstance(result, ServiceResponse):
                if result.status not in RETRYABLE_STATUSES:
                    return result
            elif result.effect is Effect.UNKNOWN:
                unknown_refusal = result
        # A server tried earlier may have run the call, even if the last one could not
        # be reached.
        return (
            result if isinstance(result, ServiceResponse) else unknown_refusal or result
        )

    async def _run_at_most_once(self, context: CallContext) -> CallResult:
        stream_number = self._streams.get_ledger_number(
            f"workspace:{context.caller.workspace}"
        )
        intent = Intent(
            key=context.caller.key,
            workspace=context.caller.workspace,
            service=context.call.qualified_name,
            body_digest=hash_call(context.call.qualified_name, context.call.body),
        )
        for _ in range(MAX_INTENT_ATTEMPTS):
            result = await self._wait_for_earlier_run(stream_number, intent)
            if result is None:
                result = await self._record_intent_and_send(
                    context, stream_number, intent
                )
            if result is not None:
                return result
        return answer_repeated_call(IntentStatus.RUNNING, None)

    async def _record_intent_and_send(
        self, context: CallContext, stream_number: int, intent: Intent
    ) -> CallResult | None:
        """Return the result, None when another call's intent has the key."""
        if not self._blackboard.streams[
            f"{LEDGER_STREAM_PREFIX}{stream_number}"
        ].reachable:
            return LOG_UNAVAILABLE_REFUSAL
        reservation = await self._reserve(context)
        if isinstance(reservation, Refusal):
            return reservation
        verdict = await self._record_intent(stream_number, intent)
        if not isinstance(verdict, Accepted):
            self._settle(context, reservation, LOG_UNAVAILABLE_REFUSAL)
            return verdict if isinstance(verdict, Refusal) else None
        run: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        self._runs[intent.key] = run
        try:
            result = await self._send_at_most_once(context)
        except Exception as error:
            # Without an outcome, the key would stay in progress while this host runs.
            result = Refusal(reason=Reason.INTERNAL, effect=Effect.UNKNOWN)
            log_event(
                Event.REQUEST_FAILED,
                request=context.caller.request,
                workspace=context.caller.workspace,
                error=describe_error(error),
            )
        self._settle(context, reservation, result)
        run.set_result(result)
        self._record_outcome(stream_number, intent.key, result)
        return result

    async def _record_intent(
        self, stream_number: int, intent: Intent
    ) -> Verdict | Refusal:
        ticket = self._streams.submit_ledger(stream_number, intent)
        try:
            async with asyncio.timeout(self._admission_wait_s):
                verdict = await asyncio.shield(ticket.future)
        except TimeoutError:
            self._withdraw_intent(stream_number, intent.key, ticket)
            return LOG_UNAVAILABLE_REFUSAL
        if isinstance(verdict, Rejected) and verdict.reason is Reason.NOT_READY:
            self._abandon_intent(stream_number, intent.key)
            return LOG_UNAVAILABLE_REFUSAL
        return verdict

    def _withdraw_intent(self, stream_number: int, key: str, ticket: Ticket) -> None:
        if self._streams.ledgers[stream_number].withdraw(ticket):
            return

        def abandon_if_accepted(future: asyncio.Future[Verdict]) -> None:
            # The intent may reach the log after the caller received "not run". It
            # would reserve the key permanently, so its owner abandons it.
            if not future.cancelled() and isinstance(future.result(), Accepted):
                self._abandon_intent(stream_number, key)

        ticket.future.add_done_callback(abandon_if_accepted)

    def _abandon_intent(self, stream_number: int, key: str) -> None:
        # Without the intent of a running call, a retry would send the call again.
        if key not in self._runs:
            self._streams.submit_ledger(stream_number, Abandon(key=key))

    async def _wait_for_earlier_run(
        self, stream_number: int, intent: Intent
    ) -> CallResult | None:
        """Return the result of an earlier call with the key, None if there is none.

        If that call still runs after the wait, the result is a refusal.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(OUTCOME_WAIT_S, self._admission_wait_s * 2)
        while True:
            recorded = self._blackboard.ledgers[stream_number].intents.get(intent.key)
            is_owner_live = recorded is not None and self._is_incarnation_live(
                recorded.owner
            )
            status = get_intent_status(recorded, intent, is_owner_live=is_owner_live)
            if status is IntentStatus.FREE:
                return None
            run = self._runs.get(intent.key)
            if status is IntentStatus.RUNNING and run is not None and run.done():
                return run.result()
            if status is not IntentStatus.RUNNING or loop.time() >= deadline:
                return answer_repeated_call(status, recorded)
            await asyncio.sleep(OUTCOME_POLL_INTERVAL_S)

    def _is_incarnation_live(self, incarnation: str) -> bool:
        if incarnation == self._blackboard.incarnation:
            return True
        return any(
            entry.incarnation == incarnation and self._blackboard.is_peer_live(entry)
            for entry in self._blackboard.config.hosts.values()
        )

    async def _send_at_most_once(self, context: CallContext) -> CallResult:
        result: CallResult = Refusal(
            reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_SERVICE_S
        )
        for url in context.list_urls():
            result = await self._send(context, url, at_most_once=True)
            # Try another server only if this one received no byte of the call.
            if isinstance(result, ServiceResponse) or result.effect is Effect.UNKNOWN:
                return result
        return result

    async def _send(
        self, context: CallContext, url: str, *, at_most_once: bool
    ) -> CallResult:
        timeout_s = context.service.timeout_s
        return await self._client.send(
            context.caller,
            context.call,
            url,
            at_most_once=at_most_once,
            timeout_s=timeout_s,
        )

    def _record_outcome(self, stream_number: int, key: str, result: CallResult) -> None:
        if isinstance(result, Refusal) and result.effect is Effect.NOT_RUN:
            del self._runs[key]
            self._abandon_intent(stream_number, key)
            return
        ticket = self._streams.submit_ledger(stream_number, make_outcome(key, result))
        ticket.future.add_done_callback(lambda _: self._runs.pop(key, None))

    async def _reserve(self, context: CallContext) -> Reservation | Refusal | None:
        if not context.operation.cost_tokens:
            return None
        return await self._budget.reserve(
            request=context.caller.request,
            key=context.caller.key,
            account=f"{BUDGET_ACCOUNT_PREFIX}{context.caller.budget}",
            tokens=context.operation.cost_tokens,
            workspace=context.caller.workspace,
        )

    def _settle(
        self, context: CallContext, reservation: Reservation | None, result: CallResult
    ) -> None:
        if reservation is None:
            return
        spent_tokens = compute_cost_tokens(result, context.operation.cost_tokens)
        self._budget.settle(reservation, spent_tokens)
        log_event(
            Event.CALL_BILLED,
            request=context.caller.request,
            workspace=context.caller.workspace,
            tokens=spent_tokens,
        )
