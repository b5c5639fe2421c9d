"""Test what becomes of a call's key when the call fails in an unexpected way."""

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from trefoilstage.components.booking.client import ServiceClient
from trefoilstage.components.booking.controller import ServiceCallController
from trefoilstage.components.booking.models import ServiceCall
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import SHUTTING_DOWN_REFUSAL
from trefoilstage.configuration.schema import OperationConfig, ServiceConfig
from trefoilstage.helpers.verdict import ACCEPTED, Effect, Refusal
from trefoilstage.ledger.records import Intent, Outcome
from trefoilstage.ledger.state import IntentState

OWNER = "host-0-1"
CALL = ServiceCall(
    service="permits", operation="book", method="POST", has_key=True, body=b"{}"
)
CALLER = Caller(
    workspace="school",
    budget="school",
    priority=0,
    request="r-1",
    has_key=True,
    key="k-1",
    deadline_s=5.0,
)


class FakeStreams:
    """Accept all records, and keep the intents as the log's fold would."""

    def __init__(self) -> None:
        self.intents: dict[str, IntentState] = {}
        self.records: list[Any] = []

    def get_ledger_number(self, _: str) -> int:
        return 0

    def submit_ledger(self, _: int, record: Any) -> Any:
        self.records.append(record)
        if isinstance(record, Intent):
            self.intents[record.key] = IntentState(
                workspace=record.workspace,
                service=record.service,
                body_digest=record.body_digest,
                owner=OWNER,
                offset=0,
            )
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        future.set_result(ACCEPTED)
        return mock.Mock(future=future)


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Test a call whose client raises an error that no code expects."""

    async def test_key_gets_an_outcome(self) -> None:
        """Guard against a key that stays in progress as long as its host runs."""
        streams = FakeStreams()
        service = ServiceConfig(
            urls=("http://127.0.0.1:1",), operations={"book": OperationConfig(path="/")}
        )
        blackboard: Any = mock.Mock(
            incarnation=OWNER,
            closing=set(),
            streams={"ledger-0": mock.Mock(reachable=True)},
            ledgers={0: mock.Mock(intents=streams.intents)},
        )
        blackboard.configuration.services = {"permits": service}
        client = mock.Mock(send=mock.AsyncMock(side_effect=ZeroDivisionError("bug")))
        calls = ServiceCallController(
            blackboard=blackboard,
            streams=cast(Any, streams),
            budget=mock.Mock(),
            client=client,
            admission_wait_s=0.1,
        )
        result = await calls.run(CALLER, CALL)
        assert isinstance(result, Refusal)
        self.assertEqual(result.effect, Effect.UNKNOWN)
        outcomes = [item for item in streams.records if isinstance(item, Outcome)]
        self.assertEqual(
            [(item.key, item.known) for item in outcomes], [("k-1", False)]
        )


class EndedCallsTest(unittest.IsolatedAsyncioTestCase):
    """Test a call that is due after its host has ended the calls."""

    async def test_ended_client_sends_nothing(self) -> None:
        """Guard against a call that is sent as its host leaves and cut unanswered."""
        session = mock.Mock()
        client = ServiceClient(session=session, at_most_once_session=session)
        await client.end_calls()
        result = await client.send(
            CALLER, CALL, "http://127.0.0.1:1", at_most_once=True, timeout_s=1.0
        )
        self.assertEqual(result, SHUTTING_DOWN_REFUSAL)
        session.request.assert_not_called()


if __name__ == "__main__":
    unittest.main()
