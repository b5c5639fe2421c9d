"""Test hosts that are cut from all targets (real processes)."""

import asyncio
import time
import unittest

from standins.launcher import poll_until
from standins.proxy import CutMode
from tests.promises.fleet import PlatformFleet

CUT_HOST = "host-0"
LOOK = "/look/x"
BOOK = "/book/x"
STREAM = "/stream/x"
# Hosts may take this long to notice a cut.
NOTICE_S = 3.0
N_CALLS = 6
# Targets must have stopped this long after their caller has left.
LEAVE_S = 0.5


async def call_for(fleet: PlatformFleet, seconds: float) -> None:
    """Send requests to the cut host for a time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        await asyncio.gather(
            *(fleet.call(path, host=CUT_HOST) for path in (LOOK, STREAM))
        )
        await asyncio.sleep(0.1)


class CutFromTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Cut a host's links to the targets; callers, store and peers still reach it."""

    def make_fleet(self) -> PlatformFleet:
        """Return a fleet of three hosts and three targets."""
        return PlatformFleet(n_hosts=3, n_targets=3, use_target_proxies=True)

    async def test_callers_of_a_cut_host_are_served(self) -> None:
        """Guard against hosts that know no way to the targets but their own links.

        Their peers must not hold answers back that need no proof of a target's start.
        """
        for mode in CutMode:
            with self.subTest(mode=mode):
                async with self.make_fleet() as fleet:
                    await fleet.call(STREAM, host=CUT_HOST)
                    await fleet.cut_from_targets(CUT_HOST, mode)
                    await call_for(fleet, NOTICE_S)
                    for path in (LOOK, BOOK, STREAM):
                        answers = [
                            await fleet.call(path, host=CUT_HOST)
                            for _ in range(N_CALLS)
                        ]
                        statuses = {answer.status for answer in answers}
                        self.assertEqual(statuses, {200}, path)
                    self.assertEqual(
                        [item.n_reports for item in fleet.targets], [0] * 3
                    )

    async def test_cut_host_uses_its_own_links_when_they_are_back(self) -> None:
        """Guard against hosts that send through peers for good."""
        async with self.make_fleet() as fleet:
            host = fleet.hosts[CUT_HOST]
            await fleet.cut_from_targets(CUT_HOST, CutMode.RESET)
            while not host.has_logged("targets_out_of_reach"):
                await fleet.call(LOOK, host=CUT_HOST)
            await fleet.reconnect_to_targets(CUT_HOST)
            await poll_until(
                lambda: host.has_logged("targets_in_reach"), "the links to be back"
            )
            n_through_peers = len(host.list_times("sent_through_peer"))
            for _ in range(N_CALLS):
                answer = await fleet.call(LOOK, host=CUT_HOST)
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(host.list_times("sent_through_peer")), n_through_peers)

    async def test_caller_who_leaves_ends_the_run_at_the_target(self) -> None:
        """Guard against targets that work on for callers of a cut host."""
        async with self.make_fleet() as fleet:
            for target in fleet.targets:
                target.n_events, target.event_interval_s = 100, 0.05
            await fleet.cut_from_targets(CUT_HOST, CutMode.RESET)
            call = asyncio.create_task(fleet.call(STREAM, host=CUT_HOST))
            runs = [run for target in fleet.targets for run in target.runs]
            while not any(run.events for run in runs):
                await asyncio.sleep(0.02)
                runs = [run for target in fleet.targets for run in target.runs]
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await asyncio.sleep(LEAVE_S)
            n_events = sum(run.events for run in runs)
            await asyncio.sleep(LEAVE_S)
            self.assertEqual(sum(run.events for run in runs), n_events)


if __name__ == "__main__":
    unittest.main()
