"""Test connections that time out only because this host was suspended."""

import asyncio
import time
import unittest
from typing import Any, cast
from unittest import mock

import aiohttp
from aiohttp import web

from bench.emulator.clock import run_in_virtual_time
from standins.platform import LOOPBACK, start_app
from tests.components.forwarding.common import make_target
from tests.components.forwarding.test_pipeline import FakeCollaborators, send_prompt
from trefoilstage.components.crashes.probe import (
    CONNECT_TIMEOUT_S as PROBE_TIMEOUT_S,
)
from trefoilstage.components.crashes.probe import ConnectProbe, ProbeResult
from trefoilstage.components.forwarding.answers import NotRun, OpenAnswer
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.sender import (
    CONNECT_TIMEOUT_S as FORWARDING_TIMEOUT_S,
)
from trefoilstage.components.forwarding.sender import TargetSender
from trefoilstage.components.targets.client import (
    CONNECT_TIMEOUT_S,
    TargetClient,
    TargetRefusedError,
)
from trefoilstage.components.targets.models import GenerationRequest
from trefoilstage.helpers.send_trace import open_session
from trefoilstage.util.stalls import MIN_STALL_S


async def refuse_as_busy(request: web.Request) -> web.Response:
    """Refuse the request as busy, which shows the client that it reached the target."""
    return web.Response(status=429)


def suspend_at_connect(timeout_s: float, added_s: float = 2 * MIN_STALL_S) -> Any:
    """Suspend this process past the timeout while its first connection is opened."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    suspended: list[bool] = []

    async def connect_suspended(*arguments: Any) -> None:
        if not suspended:
            suspended.append(True)
            loop.call_soon(time.sleep, timeout_s + added_s)
        await connect(*arguments)

    return mock.patch.object(loop, "sock_connect", connect_suspended)


class StalledConnectTest(unittest.IsolatedAsyncioTestCase):
    """Suspend a host while it connects to a healthy target."""

    added_s = 2 * MIN_STALL_S  # how much longer than the timeout the host is suspended

    async def asyncSetUp(self) -> None:
        app = web.Application()
        app.router.add_post("/{path:.*}", refuse_as_busy)
        runner, self.port = await start_app(app)
        self.addAsyncCleanup(runner.cleanup)
        self.session = open_session(aiohttp.TCPConnector())
        self.addAsyncCleanup(self.session.close)

    async def test_prompt_is_sent_when_its_host_resumes(self) -> None:
        """Guard against a connect timeout reported for a healthy target."""
        generation_request = GenerationRequest(
            request="r-1",
            workspace="school",
            model="assistant",
            body=b"{}",
            priority=1,
            incarnation="host-0-1",
            fencing=1,
            revision=1,
            timeout_s=10.0,
        )
        client = TargetClient(session=self.session)
        target = mock.Mock(url=f"http://{LOOPBACK}:{self.port}")
        refused = self.assertRaises(TargetRefusedError)
        with suspend_at_connect(CONNECT_TIMEOUT_S, self.added_s), refused as caught:
            await anext(client.generate(target, generation_request))
        self.assertTrue(caught.exception.is_busy, caught.exception)

    async def test_probe_of_a_live_target_is_repeated_after_a_stall(self) -> None:
        """Guard against requests blocked for crashes that a suspended host inferred."""
        probe = ConnectProbe(outbound_address=LOOPBACK)
        with suspend_at_connect(PROBE_TIMEOUT_S, self.added_s):
            result = await probe.connect(f"{LOOPBACK}:{self.port}")
        self.assertIs(result, ProbeResult.ACCEPTED)

    async def test_target_is_not_blamed_for_its_hosts_stall(self) -> None:
        """Guard against a timeout counted at a target by a host that was suspended."""
        translator = mock.Mock()
        translator.write_request.return_value = []
        sender = TargetSender(session=self.session, translator=translator)
        request = mock.Mock(method="POST", raw_target="/x/")
        target = make_target("i-1", address=f"{LOOPBACK}:{self.port}")
        with suspend_at_connect(FORWARDING_TIMEOUT_S, self.added_s):
            sent = await sender.send(request, b"{}", target, mock.Mock())
        assert isinstance(sent, NotRun), sent
        self.assertEqual((sent.host_was_suspended, sent.timed_out), (True, False))


class ShortStallTest(StalledConnectTest):
    """Suspend the host hardly longer than the timeout.

    Guards against a stall that is not recognized, as the timeout fires hardly late.
    """

    added_s = 0.02


class StalledPipelineTest(unittest.TestCase):
    """Forward a request on a host that was suspended."""

    def test_request_goes_to_the_same_target_after_a_stall(self) -> None:
        """Guard against excluding a healthy target."""
        collaborators = SuspendedCollaborators(status=200)
        refusal = run_in_virtual_time(
            send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=1)
        )
        self.assertIsNone(refusal)
        self.assertEqual(collaborators.excluded, [set(), set()])


class SuspendedCollaborators(FakeCollaborators):
    """Report at the first send that the host was suspended."""

    def __init__(self, *, status: int) -> None:
        super().__init__(status=status)
        self.excluded: list[set[str]] = []

    async def choose(self, **options: object) -> Any:
        """Record which targets are excluded."""
        self.excluded.append(set(cast(set[str], options["excluded"])))
        return make_target("i-1")

    async def send(self, *arguments: object) -> OpenAnswer:
        """Return a suspended send once, then an answer."""
        if len(self.excluded) == 1:
            not_run = NotRun(reason="ConnectionTimeoutError", host_was_suspended=True)
            return cast(OpenAnswer, not_run)
        return await super().send(*arguments)


if __name__ == "__main__":
    unittest.main()
