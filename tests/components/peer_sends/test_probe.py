"""Test whether a host takes a target that it can't reach for ended."""

import random
import unittest
from collections.abc import Sequence
from typing import Any
from unittest import mock

from tests.components.boards import make_board
from tests.components.forwarding.common import make_target
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.forwarding.models import (
    Engine,
    FleetConfiguration,
    TargetService,
)
from trefoilstage.components.peer_sends.messages import (
    AskStart,
    ProbeReply,
    StartReply,
)
from trefoilstage.components.peer_sends.probe import ConfirmedProbe
from trefoilstage.exceptions import PeerUnavailableError

TARGET = make_target("i-1", address="127.0.0.1:1", started_ms=5)
REFUSED = ProbeResult.REFUSED
ACCEPTED = ProbeResult.ACCEPTED


class ConfirmedProbeTest(unittest.IsolatedAsyncioTestCase):
    """Probe a target that refuses this host's connections."""

    async def probe(self, **given: Any) -> ProbeResult:
        """Return the result, by what other targets and the peers say."""
        return await self.make_probe(**given).connect(TARGET.address)

    def make_probe(
        self,
        *,
        other_accepts: bool = False,
        replies: Sequence[Any] | PeerUnavailableError = (),
        n_peers: int = 2,
        own_result: ProbeResult = REFUSED,
        is_answering: bool = False,
        engine: Engine | None = None,
    ) -> ConfirmedProbe:
        """Return the probe of a host whose peers give some replies."""
        names = [f"host-{number}" for number in range(n_peers + 1)]
        board = make_board("host-0", names)
        board.targets.apply_entry(TARGET)
        service = TargetService(
            name=TARGET.service, health_path="/", max_connections=1, engine=engine
        )
        board.configuration = FleetConfiguration(services={TARGET.service: service})
        results: Any = replies
        if not isinstance(replies, PeerUnavailableError):
            results = [
                item if isinstance(item, StartReply) else ProbeReply(result=item)
                for item in replies
            ]
        self.call = mock.AsyncMock(side_effect=results)
        return ConfirmedProbe(
            board=board,
            probe=mock.Mock(connect=mock.AsyncMock(return_value=own_result)),
            start_probe=mock.Mock(
                is_answering=mock.AsyncMock(return_value=is_answering)
            ),
            monitor=mock.Mock(
                check=mock.AsyncMock(return_value=other_accepts),
                is_confirmed=lambda _: False,
            ),
            membership=mock.Mock(list_live_hosts=lambda: tuple(names)),
            links=mock.Mock(get_link=lambda _: mock.Mock(call=self.call)),
            server=mock.Mock(),
            generator=random.Random(1),
        )

    async def test_target_is_down_if_another_accepts(self) -> None:
        """Guard against peers that are asked about each target that is down."""
        self.assertIs(await self.probe(other_accepts=True), REFUSED)
        self.call.assert_not_awaited()

    async def test_engine_with_an_open_port_that_does_not_answer_ended(self) -> None:
        """Guard against a crash that goes unnoticed as the port stays open."""
        for is_answering, expected in ((False, ProbeResult.MUTE), (True, ACCEPTED)):
            result = await self.probe(
                other_accepts=False,
                own_result=ACCEPTED,
                is_answering=is_answering,
                engine=Engine(slots=1, kv_tokens=1, tokens_per_event=1),
            )
            self.assertIs(result, expected)
            self.call.assert_not_awaited()

    async def test_service_without_reports_runs_if_its_port_is_open(self) -> None:
        """Guard against a plain service that counts as ended without a free slot."""
        result = await self.probe(other_accepts=False, own_result=ACCEPTED)
        self.assertIs(result, ACCEPTED)

    async def test_target_runs_if_a_peer_reaches_it(self) -> None:
        """Guard against lost links that are taken for the end of a target."""
        replies = (None, ACCEPTED)
        result = await self.probe(other_accepts=False, replies=replies)
        self.assertIs(result, ACCEPTED)

    async def test_target_is_down_if_nobody_reaches_any(self) -> None:
        """Guard against a request that is not blocked as it crashed all targets."""
        replies = (None, None)
        result = await self.probe(other_accepts=False, replies=replies)
        self.assertIs(result, REFUSED)

    async def test_own_probe_decides_without_peers(self) -> None:
        """Guard against a lone host that blocks nothing."""
        self.assertIs(await self.probe(other_accepts=False, n_peers=0), REFUSED)

    async def test_peers_that_do_not_answer_tell_nothing(self) -> None:
        """Guard against an error of a peer that ends the probe."""
        lost = PeerUnavailableError("lost")
        result = await self.probe(other_accepts=False, replies=lost)
        self.assertIs(result, REFUSED)

    async def test_further_peers_are_asked_if_the_first_can_not_tell(self) -> None:
        """Guard against a verdict of hosts that were all cut at once."""
        replies = (None,) * 8 + (ACCEPTED,) * 8
        result = await self.probe(other_accepts=False, replies=replies, n_peers=16)
        self.assertIs(result, ACCEPTED)

    async def test_cut_host_learns_a_start_from_its_peers(self) -> None:
        """Guard against streams that a host without links can't take up.

        Its peers may be cut themselves, and ask no third one then.
        """
        replies = [StartReply(started_ms=None), StartReply(started_ms=5)]
        probe = self.make_probe(replies=replies)
        self.assertEqual(await probe.read_start(TARGET), 5)
        reply = await probe._answer_start(AskStart(target=TARGET.incarnation))
        self.assertIsNone(reply.started_ms)
        self.assertEqual(self.call.await_count, 2)


if __name__ == "__main__":
    unittest.main()
