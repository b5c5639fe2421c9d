"""Send requests to targets for peers that have lost their own links."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.reach_monitor import ReachMonitor
from trefoilstage.components.forwarding.sender import Sender
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.messages import (
    AnswerData,
    AnswerEnded,
    AnswerStarted,
    SendFailed,
    SendPending,
    SendToTarget,
)
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

PENDING_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
MAX_ERROR_CHARS = 200
Reply = Callable[[Any], Awaitable[None]]


class PeerSendServer:
    """Pass peers' requests on to targets, and the targets' answers back."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        chooser: TargetChooser,
        monitor: ReachMonitor,
        sender: Sender,
        server: PeerServer,
        timer: TimerService,
    ) -> None:
        self._board = board
        self._chooser = chooser
        self._monitor = monitor
        self._sender = sender
        self._timer = timer
        self.n_active = 0
        server.register_stream(SendToTarget, self._serve)

    async def drain(self, timeout_s: float) -> None:
        """Wait for the peers' requests under way."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.n_active:
                    await asyncio.sleep(DRAIN_POLL_S)

    async def _serve(self, message: SendToTarget, reply: Reply) -> None:
        await reply(SendPending())
        self.n_active += 1
        try:
            async with keep_pending(reply):
                outcome = await self._send(message)
            await self._pass_back(outcome, message, reply)
        finally:
            self.n_active -= 1

    async def _send(self, message: SendToTarget) -> SendOutcome:
        """Send a request over this host's own links only, never through a third."""
        if not self._may_accept(message.options):
            return NotRun(reason="the peer is shutting down", path_lost=True)
        target = self._chooser.find_usable(message.target)
        if target is None:
            return NotRun(reason="the peer does not use the target", unreachable=True)
        if not self._monitor.is_confirmed(target.service):
            return NotRun(reason="the peer is out of reach too", path_lost=True)
        sent_at = self._timer.now()
        outcome = await self._sender.send(
            message.request, message.body, target, message.options
        )
        self._monitor.record_outcome(target, outcome)
        self._record(target, outcome, sent_at)
        return outcome

    def _may_accept(self, options: ForwardOptions) -> bool:
        """Return whether this host surely outlasts a request; others can take it."""
        schedule = self._board.shutdown
        if schedule is None:
            return True
        if options.deadline_s is None:
            return False
        return schedule.is_sure_to_end(self._timer.now() + options.deadline_s)

    def _record(
        self, target: TargetEntry, outcome: SendOutcome, sent_at: float
    ) -> None:
        if self._monitor.is_confirmed(target.service):
            self._chooser.record_answer(target, outcome, sent_at)

    async def _pass_back(
        self, outcome: SendOutcome, message: SendToTarget, reply: Reply
    ) -> None:
        if isinstance(outcome, OpenAnswer):
            started = AnswerStarted(
                head=outcome.head,
                headers=outcome.headers,
                is_proven=self._is_proven(message, outcome),
                is_framed=outcome.is_framed,
            )
            await self._pass_answer_back(outcome, started, reply)
        elif isinstance(outcome, NotRun):
            await reply(SendFailed(not_run=outcome))
        else:
            await reply(SendFailed(invalid=outcome))

    def _is_proven(self, message: SendToTarget, answer: OpenAnswer) -> bool:
        """Return whether the start that the peer names surely answers."""
        targets = self._board.targets
        target = targets.find_incarnation(message.target)
        return target is not None and targets.is_start_proven(
            target, answer.connected_at
        )

    async def _pass_answer_back(
        self, answer: OpenAnswer, started: AnswerStarted, reply: Reply
    ) -> None:
        try:
            await reply(started)
            async with keep_pending(reply):
                async for data in answer.read():
                    await reply(AnswerData(data=data))
            await reply(AnswerEnded())
        except AnswerBrokenError as error:
            await reply(AnswerEnded(error=str(error)[:MAX_ERROR_CHARS] or "broken"))
        finally:
            answer.close()


@contextlib.asynccontextmanager
async def keep_pending(reply: Reply) -> AsyncIterator[None]:
    """Tell the peer regularly that this host is alive, while a target is silent."""

    async def tell() -> None:
        while True:
            await asyncio.sleep(PENDING_INTERVAL_S)
            await reply(SendPending())

    task = asyncio.create_task(tell())
    try:
        yield
    finally:
        task.cancel()
