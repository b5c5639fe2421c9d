"""Create a chooser of targets on a host without peers."""

import unittest
from dataclasses import replace
from typing import Any, cast
from unittest import mock

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from tests.components.forwarding.common import ASSISTANT
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.placement import CandidateInfo
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.known_limits import KnownLimits


class ChooserCase(unittest.IsolatedAsyncioTestCase):
    """Choose targets on a host without peers."""

    def setUp(self) -> None:
        """Create a chooser and its workload controller."""
        self.board = make_board("host-0", ["host-0"])
        timer = self.timer = ManualTimer()
        timer.time = 10.0
        self.workload = WorkloadController(
            board=self.board,
            links=cast(Any, None),
            server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
            timer=timer,
        )
        self.workload.add_future = mock.Mock(  # type: ignore[method-assign]
            side_effect=lambda report: report.close()
        )
        self.settings = mock.Mock(regions={}, cold_rate_factor=1.5, cold_rate_slack=5.0)
        self.permits = mock.Mock(
            request=mock.AsyncMock(return_value=True),
            get_wait_s=mock.Mock(return_value=0.0),
        )
        self.slots = mock.Mock(
            is_pooled=mock.Mock(return_value=False),
            take=mock.AsyncMock(return_value=True),
        )
        self.limits = KnownLimits(board=self.board, timer=timer)
        self.chooser = TargetChooser(
            board=self.board,
            membership=cast(Any, None),
            settings=self.settings,
            timer=timer,
            workload=self.workload,
            permits=self.permits,
            slots=self.slots,
            limits=self.limits,
        )

    async def choose(
        self,
        *,
        allowed_regions: frozenset[str] | None = None,
        version: str | None = None,
    ) -> str:
        """Return the incarnation chosen for a request without a prompt."""
        target = await self.chooser.choose(
            target_filter=replace(
                ASSISTANT, allowed_regions=allowed_regions, version=version
            ),
            excluded=set(),
            need=None,
            prompt=(),
            candidate_info=CandidateInfo(),
            request_id="r-1",
        )
        return target.incarnation if target else ""
