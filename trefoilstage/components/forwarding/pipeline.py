"""Forward one request: hold tokens, choose a target, send, relay, settle.

A hold reserves the most tokens that the request can spend; settling bills the tokens
it spent and releases the rest.
"""

import asyncio
import random
from typing import TYPE_CHECKING

from trefoilstage.components.connections.memory import MemoryLimitError
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.components.crashes.watcher import CrashWatcher
from trefoilstage.components.escrow.client import EscrowClient, EscrowHold
from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.failures import (
    ANSWER_NOT_HELD,
    NO_TARGET,
    NOT_RUN_STATUSES,
    RETRY_AFTER_S,
    describe_failure,
    make_failure,
)
from trefoilstage.components.forwarding.models import (
    Route,
    RouteKind,
    TargetEntry,
)
from trefoilstage.components.forwarding.prefix_fetch import describe_fetch
from trefoilstage.components.forwarding.relay import AnswerRelay
from trefoilstage.components.forwarding.reply import CallerReply
from trefoilstage.components.forwarding.request_holds import RequestHolds
from trefoilstage.components.forwarding.request_places import RequestPlaces
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.request_targets import RequestTargets
from trefoilstage.components.forwarding.run_recorder import RunRecorder
from trefoilstage.components.forwarding.stream_binding import (
    StartUnprovenError,
    StreamBinder,
)
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.path import PathSender
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

if TYPE_CHECKING:
    # Hosts without an admission queue do not load its modules, to save memory.
    from trefoilstage.components.admission_queue.client import AdmissionClient
    from trefoilstage.components.admission_queue.own_work import Place


class ForwardingPipeline:
    """Send requests to targets and relay their answers to callers."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        escrow: EscrowClient,
        chooser: TargetChooser,
        sender: PathSender,
        crashes: CrashWatcher,
        binder: StreamBinder,
        generator: random.Random,
        admission: "AdmissionClient | None" = None,
    ) -> None:
        self._board = board
        self._holds = RequestHolds(board=board, escrow=escrow)
        self._chooser = chooser
        self._places = RequestPlaces(admission=admission)
        self._targets = RequestTargets(chooser=chooser, places=self._places)
        self._sender = sender
        self._crashes = crashes
        self._runs = RunRecorder(crashes=crashes)
        self._generator = generator
        self._binder = binder
        self._answer_relay = AnswerRelay(board=board, binder=binder, runs=self._runs)

    async def run(self, state: RequestState, reply: CallerReply) -> Refusal | None:
        """Answer a caller; return a refusal if it got no answer, otherwise None."""
        if state.started_at >= state.deadline:
            return Refusal(reason=Reason.DEADLINE)
        blocked = self._crashes.get_refusal(state.fingerprint, state.parts)
        if blocked is not None:
            return blocked
        if state.route.kind is RouteKind.STREAM and state.request.is_resumption:
            refusal = await self._binder.find(state)
            if refusal is not None:
                return refusal
        else:
            state.service_name = self._pick_service(state.route)
        # The query and the hold run in parallel: each takes a call to a peer, and
        # neither needs the other's result.
        query = asyncio.create_task(self._targets.query_candidates(state))
        hold: EscrowHold | Refusal | None = None
        try:
            async with asyncio.timeout_at(state.deadline):
                hold = await self._holds.hold(state)
                if isinstance(hold, Refusal):
                    return hold
                state.held_at = asyncio.get_running_loop().time()
                await query
                return await self._send_until_answered(state, reply)
        except TimeoutError:
            return self._make_deadline_refusal(state)
        finally:
            query.cancel()
            self._binder.end(state)
            if isinstance(hold, EscrowHold):
                self._holds.settle(state, hold)

    def _make_deadline_refusal(self, state: RequestState) -> Refusal:
        if state.n_possible_runs == 0:
            return Refusal(reason=Reason.DEADLINE, retry_after_s=RETRY_AFTER_S)
        return Refusal(reason=Reason.DEADLINE, effect=Effect.UNKNOWN)

    async def _send_until_answered(
        self, state: RequestState, reply: CallerReply
    ) -> Refusal | None:
        service = state.service_name
        configuration = self._board.configuration
        if service and configuration:
            state.service = configuration.services.get(service)
        self._chooser.count_request(service)
        failure = NO_TARGET
        while True:
            place = await self._places.acquire(state)
            if isinstance(place, Refusal):
                # Only a request that no target may have run is promised never to run.
                return failure if state.n_possible_runs else place
            try:
                answer = await self._send_once(state, reply, place, failure)
            finally:
                self._places.release(place)
            if answer is None or isinstance(answer, Refusal):
                return answer
            failure = describe_failure(answer, failure)
            if not self._may_retry(state, service, answer):
                return failure
            if not await self._binder.may_continue(state):
                return failure

    async def _send_once(
        self,
        state: RequestState,
        reply: CallerReply,
        place: "Place | None",
        failure: Refusal,
    ) -> SendOutcome | Refusal | None:
        """Send a request to one target, and relay its answer.

        Returns None if the caller got the answer, a refusal if no other target may get
        the request, otherwise the outcome of the send.
        """
        await self._targets.refresh_candidates(state)
        # The request may have crashed a target since it arrived, sent by this or
        # another host.
        blocked = self._crashes.get_refusal(state.fingerprint, state.parts)
        if blocked is not None:
            return failure if state.n_possible_runs else blocked
        target = await self._targets.choose(state, place)
        if target is None:
            return self._targets.explain(failure, state)
        with self._places.count(state, target, place):
            answer = await self._send(state, state.service_name, target)
            if not isinstance(answer, OpenAnswer):
                return answer
            if is_unproven_refusal(state, answer):
                answer.close()
                self._chooser.remove_request(target, state.request.prompt)
                return make_failure(f"status {answer.head.status} without proof")
            try:
                has_answered = await self._relay(state, reply, answer, target)
            except MemoryLimitError as error:
                log_event(
                    Event.ANSWER_TOO_LONG,
                    request=state.request.request_id,
                    workspace=state.workspace_name,
                    target=target.name,
                    detail=str(error),
                )
                return ANSWER_NOT_HELD
            return None if has_answered else answer

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        if not sum(weights):
            return ""
        return self._generator.choices(route.shares, weights=weights)[0].service

    async def _send(
        self, state: RequestState, service: str, target: TargetEntry
    ) -> SendOutcome:
        now = asyncio.get_running_loop().time()
        fetch = self._targets.plan_fetch(state, target)
        options = ForwardOptions(
            workspace=state.workspace_name,
            deadline_s=state.deadline - now,
            urgency=state.urgency if state.request.prompt else None,
            resume_after=state.last_event_id,
            fetch_from=fetch.source.address if fetch else "",
        )
        state.record_send(target.name)
        sent = self._chooser.add_request(
            target, state.request.prompt, state.candidate_info, fetch
        )
        log_event(
            Event.REQUEST_SENT,
            request=state.request.request_id,
            workspace=state.workspace_name,
            target=target.name,
            service=service,
            version=target.version,
            resumes=state.request.resumes,
            events=state.n_events,
            attempt=state.n_sends,
            fingerprint=state.fingerprint,
            parts=describe_parts(state.parts),
            unread=sent.n_uncached_tokens,
            ahead=sent.n_queued_tokens,
            **describe_fetch(fetch),
        )
        try:
            answer = await self._sender.send(state.request, state.body, target, options)
        except BaseException:
            self._chooser.remove_pending_prefill(target, sent)
            self._chooser.end_fetch(sent, None)
            self._chooser.remove_request(target, state.request.prompt)
            self._runs.record_cancelled(state, target)
            raise
        self._chooser.end_fetch(sent, answer)
        if isinstance(answer, OpenAnswer) and answer.head.success:
            # A target sends the head of a stream together with the first token.
            self._chooser.record_first_token(target, sent)
        else:
            # A failed request is no prefill sample: counted as one, a fast failure made
            # the target look the fastest, and it attracted more prompts.
            self._chooser.remove_pending_prefill(target, sent)
        if not isinstance(answer, OpenAnswer):
            self._chooser.remove_request(target, state.request.prompt)
            if not (isinstance(answer, NotRun) and answer.says_nothing_of_target):
                state.excluded.add(target.incarnation)
        if isinstance(answer, NotRun):
            state.n_possible_runs -= 1
        elif isinstance(answer, InvalidAnswer):
            self._runs.record_broken(state, target, answer.reason)
        else:
            state.record_target_data(asyncio.get_running_loop().time())
        self._chooser.record_answer(target, answer, sent.sent_at)
        return answer

    def _may_retry(
        self,
        state: RequestState,
        service: str,
        answer: SendOutcome,
    ) -> bool:
        if state.n_possible_runs and not state.route.is_retryable:
            return False
        if state.n_possible_runs >= state.route.max_attempts:
            return False
        if isinstance(answer, NotRun) and answer.path_lost:
            return False
        if isinstance(answer, NotRun) and (
            answer.unreachable or answer.host_was_suspended
        ):
            # The send put no load on a target. When such sends counted as retries,
            # requests were refused after a few targets failed, although the others
            # worked.
            return True
        return self._chooser.take_retry(service)

    async def _relay(
        self,
        state: RequestState,
        reply: CallerReply,
        answer: OpenAnswer,
        target: TargetEntry,
    ) -> bool:
        """Return whether the caller got the answer; if not, a retry is possible."""
        try:
            if not answer.head.success and self._should_retry_failure(
                state, reply, answer, target
            ):
                # The target would most likely fail again.
                state.excluded.add(target.incarnation)
                return False
            await self._answer_relay.relay(state, reply, answer, target)
        except StartUnprovenError:
            state.excluded.add(target.incarnation)
            return False
        except (AnswerBrokenError, MalformedMessageError) as error:
            self._sender.record_broken(target, answer)
            self._chooser.record_broken_answer(target)
            state.excluded.add(target.incarnation)
            self._runs.record_broken(state, target, str(error))
            return False
        except (asyncio.CancelledError, MemoryLimitError):
            self._runs.record_cancelled(state, target)
            raise
        finally:
            answer.close()
            self._chooser.remove_request(target, state.request.prompt)
        if answer.head.success:
            self._runs.record_completed(state, target, answer)
        return True

    def _should_retry_failure(
        self,
        state: RequestState,
        reply: CallerReply,
        answer: OpenAnswer,
        target: TargetEntry,
    ) -> bool:
        if reply.is_open:
            # Part of a stream was sent, so the head of a failure cannot be sent.
            return True
        if not state.route.is_retryable:
            return False
        if (
            answer.head.status < 500
            or state.n_possible_runs >= state.route.max_attempts
        ):
            return False
        # Without another target, the caller gets this target's failure.
        tried = state.excluded | {target.incarnation}
        return self._chooser.has_other_target(state.target_filter, tried)


def is_unproven_refusal(state: RequestState, answer: OpenAnswer) -> bool:
    """Return whether a request that may run only once would be said not to have run.

    An answer that states that the request did not run is not passed on as an answer.
    """
    return answer.head.status in NOT_RUN_STATUSES and not state.route.is_retryable
