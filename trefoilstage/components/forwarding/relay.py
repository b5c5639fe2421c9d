"""Pass a target's answer on to the caller."""

import asyncio

from trefoilstage.components.connections.memory import MemoryPart
from trefoilstage.components.connections.parts import PartList
from trefoilstage.components.forwarding.answers import AnswerBrokenError, OpenAnswer
from trefoilstage.components.forwarding.event_splitter import EventSplitter, StreamEvent
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    RouteKind,
    TargetEntry,
)
from trefoilstage.components.forwarding.reply import CallerReply
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.run_recorder import RunRecorder
from trefoilstage.components.forwarding.stream_binding import StreamBinder
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.phase import Phase

# Events of a stream that bring no token, such as comments that keep it open.
MAX_EMPTY_EVENTS = 1_000


class AnswerRelay:
    """Pass on streams event by event, and other answers as a whole."""

    def __init__(
        self, *, board: FleetBoard, binder: StreamBinder, runs: RunRecorder
    ) -> None:
        self._board = board
        self._binder = binder
        self._runs = runs

    async def relay(
        self,
        state: RequestState,
        reply: CallerReply,
        answer: OpenAnswer,
        target: TargetEntry,
    ) -> None:
        """Pass on a target's answer.

        Raises AnswerBrokenError if the answer is incomplete, MalformedMessageError if
        its events are malformed or out of order, StartUnprovenError if the target may
        run another version than the stream needs, MemoryLimitError if this host can't
        hold the answer.
        """
        if state.route.kind is RouteKind.STREAM and answer.head.success:
            await self._relay_stream(state, reply, answer, target)
        else:
            await self._relay_body(state, reply, answer)

    async def _relay_body(
        self, state: RequestState, reply: CallerReply, answer: OpenAnswer
    ) -> None:
        # The body is read completely before it is passed on, so that a retryable
        # request can still be sent again if the answer breaks off.
        body = await read_answer(answer, state.answer_memory)
        state.complete = True
        reply.set_complete(
            answer.head.status, answer.headers, body, close=self._is_closing()
        )

    async def _relay_stream(
        self,
        state: RequestState,
        reply: CallerReply,
        answer: OpenAnswer,
        target: TargetEntry,
    ) -> None:
        with state.answer_memory as buffer:
            await self._relay_events(state, reply, answer, target, buffer)
        await self._open_reply(reply, answer)
        state.complete = True
        await reply.end()

    async def _relay_events(
        self,
        state: RequestState,
        reply: CallerReply,
        answer: OpenAnswer,
        target: TargetEntry,
        buffer: MemoryPart,
    ) -> None:
        splitter = EventSplitter()
        is_bound = False
        async for data in answer.read():
            state.record_target_data(asyncio.get_running_loop().time())
            self._runs.record_progress(state)
            received = splitter.add(data)
            buffer.resize(splitter.n_partial_bytes)
            if received and not is_bound:
                await self._binder.bind(state, target, answer)
                is_bound = True
            events = self._select_new(state, received)
            if not events:
                continue
            await self._open_reply(reply, answer)
            state.record_caller_data(asyncio.get_running_loop().time())
            await reply.write(b"".join(event.data for event in events))
        if splitter.has_partial_event:
            raise AnswerBrokenError("the stream ended in the middle of an event")
        if not answer.is_framed and state.last_event_id is None and not state.n_events:
            raise AnswerBrokenError("the connection ended before the first event")

    def _select_new(
        self, state: RequestState, events: list[StreamEvent]
    ) -> list[StreamEvent]:
        """Return and count the events that the caller has not received yet."""
        new_events: list[StreamEvent] = []
        for event in events:
            if event.event_id is not None and state.last_event_id is not None:
                if event.event_id <= state.last_event_id:
                    continue
                if event.event_id != state.last_event_id + 1:
                    raise MalformedMessageError(
                        f"event {event.event_id} follows event {state.last_event_id}"
                    )
            if event.event_id is not None:
                state.last_event_id = event.event_id
            state.n_events += 1
            new_events.append(event)
        if state.n_events > count_most_events(state.request):
            raise MalformedMessageError(f"{state.n_events} events are too many")
        return new_events

    async def _open_reply(self, reply: CallerReply, answer: OpenAnswer) -> None:
        if not reply.is_open:
            await reply.open(
                answer.head.status, answer.headers, close=self._is_closing()
            )

    def _is_closing(self) -> bool:
        """Return whether callers should open their next connection to another host."""
        if self._board.phase is Phase.DRAINING:
            return True
        return self._board.is_only_own_link_full(asyncio.get_running_loop().time())


async def read_answer(answer: OpenAnswer, memory: MemoryPart) -> PartList:
    """Return a whole answer, which its memory counts until the caller has it.

    Raises AnswerBrokenError if the answer is incomplete, MemoryLimitError if it is too
    long.
    """
    body = PartList()
    try:
        async for data in answer.read():
            memory.resize(body.n_bytes + len(data))
            body.add(data)
    except BaseException:
        memory.release()
        raise
    return body


def count_most_events(request: CallerRequest) -> float:
    """Return how many events a stream may have; infinite if its tokens are unknown."""
    if not request.max_output_tokens:
        return float("inf")
    return request.max_output_tokens + MAX_EMPTY_EVENTS
