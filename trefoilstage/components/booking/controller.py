"""Run calls of plain services; those that are not idempotent at most once."""

import asyncio
from dataclasses import dataclass

import aiohttp

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.log_client.stream import Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.configuration.schema import OperationConfig, ServiceConfig
from trefoilstage.const import HEADER_REQUEST_ID, HEADER_WORKSPACE
from trefoilstage.helpers.verdict import (
    Accepted,
    Effect,
    Reason,
    Refusal,
    Rejected,
    Verdict,
)
from trefoilstage.ledger.records import Abandon, Intent, Outcome
from trefoilstage.ledger.state import IntentState
from trefoilstage.util.hashing import hash_body, rank_by_rendezvous

RETRY_AFTER_LOG_S = 2.0
RETRY_AFTER_OUTCOME_S = 1.0
OUTCOME_WAIT_S = 2.0
OUTCOME_POLL_S = 0.02
MAX_OUTCOME_BYTES = 16_384
STATUS_UNKNOWN = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """Describe a caller's call of a plain service."""

    service: str
    operation: str
    method: str
    has_key: bool
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceAnswer:
    """Hold a plain service's answer."""

    status: int
    body: bytes
    content_type: str


class BookingController:
    """Send service calls, with an intent on the log where they may not repeat."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        session: aiohttp.ClientSession,
        admission_wait_s: float,
    ) -> None:
        self._blackboard = blackboard
        self._streams = streams
        self._session = session
        self._admission_wait_s = admission_wait_s

    async def run(self, caller: Caller, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Return the service's answer, or why there is none."""
        service = self._blackboard.configuration.services.get(call.service)
        operation = service.operations.get(call.operation) if service else None
        if service is None or operation is None or operation.method != call.method:
            return Refusal(reason=Reason.UNKNOWN_SERVICE)
        if operation.idempotent:
            return await self._run_idempotent(caller, call, service, operation)
        if not call.has_key:
            return Refusal(
                reason=Reason.KEY_REQUIRED, detail="Idempotency-Key expected"
            )
        return await self._run_once(caller, call, service, operation)

    async def _run_idempotent(
        self,
        caller: Caller,
        call: ServiceCall,
        service: ServiceConfig,
        operation: OperationConfig,
    ) -> ServiceAnswer | Refusal:
        answer: ServiceAnswer | Refusal = Refusal(reason=Reason.NO_TARGET)
        for url in rank_by_rendezvous(caller.key, service.urls):
            answer = await self._send(caller, call, url, operation, service.timeout_s)
            if isinstance(answer, ServiceAnswer):
                return answer
        return answer

    async def _run_once(
        self,
        caller: Caller,
        call: ServiceCall,
        service: ServiceConfig,
        operation: OperationConfig,
    ) -> ServiceAnswer | Refusal:
        number = self._streams.pick_number(f"workspace:{caller.workspace}")
        intent = Intent(
            key=caller.key,
            workspace=caller.workspace,
            service=f"{call.service}/{call.operation}",
            body_digest=hash_body(call.body),
        )
        verdict = await self._claim(number, intent)
        if isinstance(verdict, Refusal):
            return verdict
        if isinstance(verdict, Rejected):
            return await self._follow_other_run(number, intent, verdict)
        url = rank_by_rendezvous(caller.key, service.urls)[0]
        answer = await self._send(caller, call, url, operation, service.timeout_s)
        self._record(number, caller.key, answer)
        return answer

    async def _claim(self, number: int, intent: Intent) -> Verdict | Refusal:
        ticket = self._streams.submit_ledger(number, intent)
        try:
            async with asyncio.timeout(self._admission_wait_s):
                return await asyncio.shield(ticket.future)
        except TimeoutError:
            self._give_up(number, intent.key, ticket)
        except asyncio.CancelledError:
            self._give_up(number, intent.key, ticket)
            raise
        return Refusal(reason=Reason.LOG_UNAVAILABLE, retry_after_s=RETRY_AFTER_LOG_S)

    def _give_up(self, number: int, key: str, ticket: Ticket) -> None:
        if self._streams.ledgers[number].withdraw(ticket):
            return

        def abandon(future: asyncio.Future[Verdict]) -> None:
            # The intent may still land after the caller was told "not run".
            # It would hold the key for ever, so its owner takes it back.
            if not future.cancelled() and isinstance(future.result(), Accepted):
                self._streams.submit_ledger(number, Abandon(key=key))

        ticket.future.add_done_callback(abandon)

    async def _follow_other_run(
        self, number: int, intent: Intent, verdict: Rejected
    ) -> ServiceAnswer | Refusal:
        if verdict.reason is Reason.KEY_REUSED:
            return Refusal(
                reason=Reason.KEY_REUSED, detail="the key came with another body"
            )
        deadline = asyncio.get_running_loop().time() + OUTCOME_WAIT_S
        while asyncio.get_running_loop().time() < deadline:
            present = self._blackboard.ledgers[number].intents.get(intent.key)
            if present is not None and present.status is not None:
                return replay_outcome(present)
            await asyncio.sleep(OUTCOME_POLL_S)
        return Refusal(
            reason=Reason.OUTCOME_UNKNOWN,
            effect=Effect.UNKNOWN,
            detail="another run has begun and may have taken effect",
            retry_after_s=RETRY_AFTER_OUTCOME_S,
        )

    def _record(self, number: int, key: str, answer: ServiceAnswer | Refusal) -> None:
        if isinstance(answer, ServiceAnswer):
            outcome = Outcome(
                key=key,
                status=answer.status,
                body=answer.body[:MAX_OUTCOME_BYTES],
                content_type=answer.content_type,
            )
        elif answer.effect is Effect.NOT_RUN:
            self._streams.submit_ledger(number, Abandon(key=key))
            return
        else:
            outcome = Outcome(key=key, status=STATUS_UNKNOWN, known=False)
        self._streams.submit_ledger(number, outcome)

    async def _send(
        self,
        caller: Caller,
        call: ServiceCall,
        url: str,
        operation: OperationConfig,
        timeout_s: float,
    ) -> ServiceAnswer | Refusal:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
        headers = {
            HEADER_REQUEST_ID: caller.request,
            HEADER_WORKSPACE: caller.workspace,
            "Idempotency-Key": caller.key,
            "Content-Type": "application/json",
        }
        try:
            async with self._session.request(
                operation.method,
                f"{url}{operation.path}",
                data=call.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                return ServiceAnswer(
                    status=response.status,
                    body=await response.read(),
                    content_type=response.content_type,
                )
        except aiohttp.ClientConnectorError:
            return Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_OUTCOME_S)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Refusal(
                reason=Reason.OUTCOME_UNKNOWN,
                effect=Effect.UNKNOWN,
                detail="the service did not answer; the call may have run",
            )


def replay_outcome(intent: IntentState) -> ServiceAnswer | Refusal:
    """Return the recorded outcome of a run."""
    if not intent.known or intent.status is None:
        return Refusal(
            reason=Reason.OUTCOME_UNKNOWN,
            effect=Effect.UNKNOWN,
            detail="the service did not answer; the call may have run",
        )
    return ServiceAnswer(
        status=intent.status, body=intent.body, content_type=intent.content_type
    )
