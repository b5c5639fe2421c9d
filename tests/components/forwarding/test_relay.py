"""Test which events of a stream are passed on."""

import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any, cast
from unittest import mock

from bench.emulator.limits import ANSWER_HEAD
from tests.components.boards import make_board
from tests.components.forwarding.common import REQUEST, make_route, make_target
from trefoilstage.components.forwarding.answers import OpenAnswer
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.relay import AnswerRelay
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.stream_binding import StartUnprovenError


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamAnswer(OpenAnswer):
    """Yield the events of a stream from a number on."""

    first: int

    async def read(self) -> AsyncIterator[bytes]:
        """Yield three events."""
        for number in range(self.first, self.first + 3):
            yield f"id: {number}\ndata: x\n\n".encode()

    def close(self) -> None:
        """Do nothing."""


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Pass on a stream that a caller took up after event 2."""

    async def test_event_of_an_unproven_target_counts_as_not_passed_on(self) -> None:
        """Guard against an event that is lost when another target continues."""
        binder = mock.Mock(bind=mock.AsyncMock(side_effect=StartUnprovenError("i-1")))
        relay = AnswerRelay(
            board=make_board("host-0", ["host-0"]), binder=binder, runs=mock.Mock()
        )
        state = RequestState(
            request=replace(REQUEST, resumes="r-0", last_event_id="2"),
            body=b"",
            route=replace(make_route("/x/"), kind=RouteKind.STREAM, resumable=True),
            workspace=None,
            started_at=0.0,
            deadline=5.0,
        )
        answer = StreamAnswer(head=ANSWER_HEAD, headers=[], first=3)
        reply = cast(Any, mock.Mock(is_open=False))
        with self.assertRaises(StartUnprovenError):
            await relay.relay(state, reply, answer, make_target("i-1"))
        self.assertIsNone(state.last_event_id)
        self.assertEqual(state.n_events, 0)
        reply.write.assert_not_called()


if __name__ == "__main__":
    unittest.main()
