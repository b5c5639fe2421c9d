"""Forward one request: hold tokens, choose a target, send, relay, settle.

A hold reserves the most tokens that the request can spend; settling bills the tokens
it spent and releases the rest.
"""

import asyncio
import itertools
import random

from trefoilstage.components.crashes.watcher import CrashWatcher
from trefoilstage.components.escrow.client import EscrowClient, Hold
from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.components.forwarding.border import ForwardOptions
from trefoilstage.components.forwarding.models import (
    Route,
    TargetEntry,
)
from trefoilstage.components.forwarding.placement import (
    PromptNeed,
    count_tokens,
    find_subject,
)
from trefoilstage.components.forwarding.relay import AnswerRelay
from trefoilstage.components.forwarding.reply import CallerReply
from trefoilstage.components.forwarding.run import Run
from trefoilstage.components.forwarding.sender import (
    AnswerBrokenError,
    Broken,
    NotSent,
    OpenAnswer,
    TargetSender,
)
from trefoilstage.components.forwarding.targets import TargetChooser
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

RETRY_AFTER_S = 0.5
NO_TARGET = Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_S)
MAX_URGENCY = 9


class ForwardingPipeline:
    """Send requests to targets and relay their answers to callers."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        escrow: EscrowClient,
        chooser: TargetChooser,
        sender: TargetSender,
        crashes: CrashWatcher,
        generator: random.Random,
    ) -> None:
        self._board = board
        self._escrow = escrow
        self._chooser = chooser
        self._sender = sender
        self._crashes = crashes
        self._generator = generator
        self._answer_relay = AnswerRelay(board=board)
        self._hold_numbers = itertools.count()

    async def run(self, run: Run, reply: CallerReply) -> Refusal | None:
        """Answer a caller; return a refusal if it got no answer, otherwise None."""
        if run.started >= run.deadline:
            return Refusal(reason=Reason.DEADLINE)
        blocked = self._crashes.check(run.fingerprint)
        if blocked is not None:
            return blocked
        run.service_name = self._pick_service(run.route)
        # Runs in parallel to the hold: both take a call and are independent.
        query = asyncio.create_task(self._query_candidates(run))
        hold: Hold | Refusal | None = None
        try:
            async with asyncio.timeout_at(run.deadline):
                hold = await self._hold_tokens(run)
                if isinstance(hold, Refusal):
                    return hold
                run.held_at = asyncio.get_running_loop().time()
                await query
                return await self._send_until_answered(run, reply)
        except TimeoutError:
            return self._make_deadline_refusal(run)
        finally:
            query.cancel()
            if isinstance(hold, Hold):
                self._escrow.settle(hold, run.count_spent())
                self._log_done(run, hold)

    async def _query_candidates(self, run: Run) -> None:
        run.candidate_info = await self._chooser.query_candidates(
            run.service_name, self._make_prompt_need(run), run.request.prompt
        )
        run.candidates_queried_at = asyncio.get_running_loop().time()

    async def _hold_tokens(self, run: Run) -> Hold | Refusal:
        wait_limits = WaitLimits.compute(
            now=run.started,
            max_silence_s=run.route.silence_limit_s,
            deadline=run.deadline,
        )
        return await self._escrow.hold(
            run.workspace_name,
            self._make_hold_name(run),
            run.request.max_tokens,
            wait_limits,
        )

    def _make_hold_name(self, run: Run) -> str:
        # A number keeps holds apart if a caller sends two requests with the same id.
        # Otherwise the second request would spend the tokens held for the first.
        number = next(self._hold_numbers)
        return f"{run.request.request}/{self._board.host}/{number}"

    def _log_done(self, run: Run, hold: Hold) -> None:
        log_event(
            Event.REQUEST_DONE,
            request=run.request.request,
            route=run.route.name,
            workspace=hold.workspace,
            home=hold.home,
            complete=run.complete,
            attempts=run.n_sends,
            events=run.n_events,
            held=hold.tokens,
            spent=run.count_spent(),
            target=run.target,
            body_s=run.body_s,
            hold_s=run.held_at - run.started,
            first_s=max(0.0, run.caller_first_data_at - run.started),
            gap_s=run.longest_gap_s,
            duration_s=asyncio.get_running_loop().time() - run.started,
        )

    def _make_deadline_refusal(self, run: Run) -> Refusal:
        if run.n_possible_runs == 0:
            return Refusal(reason=Reason.DEADLINE, retry_after_s=RETRY_AFTER_S)
        return Refusal(reason=Reason.DEADLINE, effect=Effect.UNKNOWN)

    async def _send_until_answered(
        self, run: Run, reply: CallerReply
    ) -> Refusal | None:
        service = run.service_name
        configuration = self._board.configuration
        if service and configuration:
            run.service = configuration.services.get(service)
        self._chooser.count_request(service)
        failure = NO_TARGET
        while True:
            if self._chooser.should_query_again(run.candidates_queried_at):
                await self._query_candidates(run)
            # The request may have crashed a target since it arrived, sent by this or
            # another host.
            blocked = self._crashes.check(run.fingerprint)
            if blocked is not None:
                return failure if run.n_possible_runs else blocked
            target = self._choose_target(run, service)
            if target is None:
                return failure
            answer = await self._send(run, service, target)
            if isinstance(answer, OpenAnswer):
                if await self._relay(run, reply, answer, target):
                    return None
                failure = make_failure("the answer broke off")
            elif isinstance(answer, Broken):
                failure = make_failure(answer.reason)
            if not self._may_retry(run, service, answer):
                return failure

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        if not sum(weights):
            return ""
        return self._generator.choices(route.shares, weights=weights)[0].service

    def _choose_target(self, run: Run, service: str) -> TargetEntry | None:
        return self._chooser.choose(
            service=service,
            excluded=run.excluded,
            need=self._make_prompt_need(run),
            prompt=run.request.prompt,
            candidate_info=run.candidate_info,
            request=run.request.request,
        )

    def _make_prompt_need(self, run: Run) -> PromptNeed | None:
        if not run.request.prompt:
            return None
        waited_s = asyncio.get_running_loop().time() - run.started
        return PromptNeed(
            subject=find_subject(run.request.prompt),
            n_tokens=count_tokens(run.request.prompt),
            objective_s=run.route.objective_s - waited_s,
        )

    async def _send(
        self, run: Run, service: str, target: TargetEntry
    ) -> OpenAnswer | NotSent | Broken:
        now = asyncio.get_running_loop().time()
        workspace = run.workspace
        priority = run.route.priority
        if workspace and workspace.priority is not None:
            priority = workspace.priority
        options = ForwardOptions(
            workspace=run.workspace_name,
            deadline_s=run.deadline - now,
            urgency=min(MAX_URGENCY, max(0, priority)) if run.request.prompt else None,
            resume_after=run.last_event_id,
        )
        run.record_send(target.name)
        sent = self._chooser.add_request(target, run.request.prompt, run.candidate_info)
        log_event(
            Event.REQUEST_SENT,
            request=run.request.request,
            workspace=run.workspace_name,
            target=target.name,
            service=service,
            attempt=run.n_sends,
            fingerprint=run.fingerprint,
            unread=sent.n_uncached_tokens,
            ahead=sent.n_queued_tokens,
        )
        try:
            answer = await self._sender.send(run.request, run.body, target, options)
        except BaseException:
            self._chooser.remove_pending_prefill(target, sent)
            self._chooser.remove_request(target, run.request.prompt)
            self._record_cancelled(run, target)
            raise
        if isinstance(answer, OpenAnswer) and answer.head.success:
            # A target sends the head of a stream together with the first token.
            self._chooser.record_first_token(target, sent)
        else:
            # A failed request is no prefill sample: counted as one, a fast failure made
            # the target look the fastest, and it attracted more prompts.
            self._chooser.remove_pending_prefill(target, sent)
        if not isinstance(answer, OpenAnswer):
            self._chooser.remove_request(target, run.request.prompt)
            if not (isinstance(answer, NotSent) and answer.stalled):
                run.excluded.add(target.incarnation)
        if isinstance(answer, NotSent):
            run.n_possible_runs -= 1
        elif isinstance(answer, Broken):
            self._record_broken(run, target, answer.reason)
        else:
            run.record_target_data(asyncio.get_running_loop().time())
        self._chooser.record_answer(target, answer)
        return answer

    def _may_retry(
        self, run: Run, service: str, answer: OpenAnswer | NotSent | Broken
    ) -> bool:
        if run.n_possible_runs and not run.route.is_repeatable:
            return False
        if run.n_possible_runs >= run.route.max_attempts:
            return False
        if isinstance(answer, NotSent) and (answer.unreachable or answer.stalled):
            # The send put no load on a target. When it counted as a retry, requests
            # were refused after a few targets failed, although the others were fine.
            return True
        return self._chooser.take_retry(service)

    async def _relay(
        self, run: Run, reply: CallerReply, answer: OpenAnswer, target: TargetEntry
    ) -> bool:
        """Return whether the caller got the answer; if not, a retry is possible."""
        try:
            if not answer.head.success and self._should_retry_failure(
                run, reply, answer, target
            ):
                # The target would most likely fail again.
                run.excluded.add(target.incarnation)
                return False
            await self._answer_relay.relay(run, reply, answer)
        except (AnswerBrokenError, MalformedMessageError) as error:
            self._chooser.record_broken_answer(target)
            run.excluded.add(target.incarnation)
            self._record_broken(run, target, str(error))
            return False
        except asyncio.CancelledError:
            self._record_cancelled(run, target)
            raise
        finally:
            answer.close()
            self._chooser.remove_request(target, run.request.prompt)
        if answer.head.success:
            self._crashes.note_sound(run.fingerprint)
        return True

    def _record_broken(self, run: Run, target: TargetEntry, error: str) -> None:
        log_event(
            Event.ANSWER_BROKEN,
            request=run.request.request,
            fingerprint=run.fingerprint,
            workspace=run.workspace_name,
            target=target.name,
            error=error,
            events=run.n_events,
            progress_s=run.progress_s,
        )
        self._crashes.note_cut(
            run.fingerprint,
            target=target.incarnation,
            address=target.address,
            progress_s=run.progress_s,
        )

    def _record_cancelled(self, run: Run, target: TargetEntry) -> None:
        self._crashes.note_left(
            run.fingerprint,
            target=target.incarnation,
            address=target.address,
            progress_s=run.progress_s,
        )

    def _should_retry_failure(
        self, run: Run, reply: CallerReply, answer: OpenAnswer, target: TargetEntry
    ) -> bool:
        if reply.is_open:
            # Part of a stream was sent, so the head of a failure cannot be sent.
            return True
        if not run.route.is_repeatable:
            return False
        if answer.head.status < 500 or run.n_possible_runs >= run.route.max_attempts:
            return False
        # Without another target, the caller gets this target's failure.
        tried = run.excluded | {target.incarnation}
        return self._chooser.has_other_target(run.service_name, tried)


def make_failure(detail: str) -> Refusal:
    """Return the refusal for a request that a target may have run."""
    return Refusal(reason=Reason.TARGET_FAILED, effect=Effect.UNKNOWN, detail=detail)
