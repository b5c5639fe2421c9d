"""Pass a target's answer on to the caller."""

import asyncio

from trefoilstage.components.forwarding.events import EventSplitter, StreamEvent
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.reply import CallerReply
from trefoilstage.components.forwarding.run import Run
from trefoilstage.components.forwarding.sender import AnswerBrokenError, OpenAnswer
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.phase import Phase


class AnswerRelay:
    """Pass on whole bodies at once, and streams event by event."""

    def __init__(self, *, board: FleetBoard) -> None:
        self._board = board

    async def relay(self, run: Run, reply: CallerReply, answer: OpenAnswer) -> None:
        """Pass an answer on, or raise AnswerBrokenError or MalformedMessageError."""
        if run.route.kind is RouteKind.STREAM and answer.head.success:
            await self._relay_stream(run, reply, answer)
        else:
            await self._relay_body(run, reply, answer)

    async def _relay_body(
        self, run: Run, reply: CallerReply, answer: OpenAnswer
    ) -> None:
        # Read whole before the first byte goes on: if it breaks off, a request
        # that may be repeated still can be.
        parts = [data async for data in answer.read()]
        run.complete = True
        reply.set_whole(
            answer.head.status,
            answer.headers,
            b"".join(parts),
            close=self._is_closing(),
        )

    async def _relay_stream(
        self, run: Run, reply: CallerReply, answer: OpenAnswer
    ) -> None:
        splitter = EventSplitter()
        async for data in answer.read():
            run.note_target_data(asyncio.get_running_loop().time())
            events = self._take_new(run, splitter.add(data))
            if not events:
                continue
            await self._open(reply, answer)
            run.note_data(asyncio.get_running_loop().time())
            await reply.write(b"".join(event.data for event in events))
        if splitter.has_rest:
            raise AnswerBrokenError("the stream ended within an event")
        await self._open(reply, answer)
        run.complete = True
        await reply.end()

    def _take_new(self, run: Run, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that the caller does not have; count them."""
        fresh: list[StreamEvent] = []
        for event in events:
            if event.number is not None and run.last_event is not None:
                if event.number <= run.last_event:
                    continue
                if event.number != run.last_event + 1:
                    raise MalformedMessageError(
                        f"event {event.number} follows {run.last_event}"
                    )
            if event.number is not None:
                run.last_event = event.number
            run.n_events += 1
            fresh.append(event)
        return fresh

    async def _open(self, reply: CallerReply, answer: OpenAnswer) -> None:
        if not reply.is_open:
            await reply.open(
                answer.head.status, answer.headers, close=self._is_closing()
            )

    def _is_closing(self) -> bool:
        """Tell whether callers are to open their next connection elsewhere."""
        if self._board.phase is Phase.DRAINING:
            return True
        return self._board.sends_elsewhere(asyncio.get_running_loop().time())
