"""Test connections that time out only because their host stood still."""

import asyncio
import time
import unittest
from typing import Any, cast
from unittest import mock

import aiohttp
from aiohttp import web

from bench.emulator.clock import run_virtually
from standins.platform import LOOPBACK, serve
from tests.components.forwarding.common import make_target
from tests.components.forwarding.test_pipeline import FakeCollaborators, send_prompt
from trefoilstage.components.crashes.probe import (
    CONNECT_TIMEOUT_S as PROBE_TIMEOUT_S,
)
from trefoilstage.components.crashes.probe import ConnectProbe, ProbeResult
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.sender import (
    CONNECT_TIMEOUT_S as FORWARDING_TIMEOUT_S,
)
from trefoilstage.components.forwarding.sender import NotRun, OpenAnswer, TargetSender
from trefoilstage.components.targets.client import (
    CONNECT_TIMEOUT_S,
    TargetClient,
    TargetRefusedError,
)
from trefoilstage.components.targets.models import GenerationRequest
from trefoilstage.helpers.sends import open_session
from trefoilstage.util.stalls import STALLED_S


async def answer(request: web.Request) -> web.Response:
    """Tell that there is no room, which only a request that arrives can learn."""
    return web.Response(status=429)


def freeze_at_connect(timeout_s: float) -> Any:
    """Suspend this process past the timeout while its first connection opens."""
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect
    frozen: list[bool] = []

    async def connect_frozen(*arguments: Any) -> None:
        if not frozen:
            frozen.append(True)
            loop.call_soon(time.sleep, timeout_s + 2 * STALLED_S)
        await connect(*arguments)

    return mock.patch.object(loop, "sock_connect", connect_frozen)


class StalledConnectTest(unittest.IsolatedAsyncioTestCase):
    """Suspend a host as it connects to a target that is well."""

    async def asyncSetUp(self) -> None:
        app = web.Application()
        app.router.add_post("/{path:.*}", answer)
        runner, self.port = await serve(app)
        self.addAsyncCleanup(runner.cleanup)
        self.session = open_session(aiohttp.TCPConnector())
        self.addAsyncCleanup(self.session.close)

    async def test_prompt_is_sent_when_its_host_wakes(self) -> None:
        """Guard against a refusal for a target that is well."""
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
        with freeze_at_connect(CONNECT_TIMEOUT_S), refused as caught:
            await anext(client.generate(target, generation_request))
        self.assertTrue(caught.exception.is_busy, caught.exception)

    async def test_probe_of_a_live_target_is_made_anew_after_a_stall(self) -> None:
        """Guard against requests blocked for crashes that a suspended host saw."""
        probe = ConnectProbe(outbound_address=LOOPBACK)
        with freeze_at_connect(PROBE_TIMEOUT_S):
            result = await probe.connect(f"{LOOPBACK}:{self.port}")
        self.assertIs(result, ProbeResult.ACCEPTED)

    async def test_target_is_not_blamed_for_its_hosts_stall(self) -> None:
        """Guard against a timeout counted at a target by a host that was suspended."""
        translator = mock.Mock()
        translator.write_request.return_value = []
        sender = TargetSender(session=self.session, translator=translator)
        request = mock.Mock(method="POST", raw_target="/x/")
        target = make_target("i-1", address=f"{LOOPBACK}:{self.port}")
        with freeze_at_connect(FORWARDING_TIMEOUT_S):
            sent = await sender.send(request, b"{}", target, mock.Mock())
        assert isinstance(sent, NotRun), sent
        self.assertEqual((sent.host_was_suspended, sent.timed_out), (True, False))


class StalledPipelineTest(unittest.TestCase):
    """Forward a request whose host stood still."""

    def test_request_goes_to_the_same_target_after_a_stall(self) -> None:
        """Guard against leaving out a target that is well."""
        collaborators = WakingCollaborators(status=200)
        refusal = run_virtually(
            send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=1)
        )
        self.assertIsNone(refusal)
        self.assertEqual(collaborators.excluded, [set(), set()])


class WakingCollaborators(FakeCollaborators):
    """Stand still at the first send."""

    def __init__(self, *, status: int) -> None:
        super().__init__(status=status)
        self.excluded: list[set[str]] = []

    def choose(self, **options: object) -> Any:
        """Note which targets are left out."""
        self.excluded.append(set(cast(set[str], options["excluded"])))
        return make_target("i-1")

    async def send(self, *arguments: object) -> OpenAnswer:
        """Stand still once, then get an answer."""
        if len(self.excluded) == 1:
            not_run = NotRun(reason="ConnectionTimeoutError", host_was_suspended=True)
            return cast(OpenAnswer, not_run)
        return await super().send(*arguments)


if __name__ == "__main__":
    unittest.main()
