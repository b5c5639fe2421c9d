"""Test hosts that are cut from all targets (real processes)."""

import asyncio
import time
import unittest

from standins.proxy import CutMode
from tests.promises.fleet import PlatformFleet

CUT_HOST = "host-0"
LOOK = "/look/x"
BOOK = "/book/x"
STREAM = "/stream/x"
# Hosts may take this long to notice a cut.
NOTICE_S = 3.0
N_CALLS = 6


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
        """Guard against hosts that know no way to the targets but their own links."""
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


if __name__ == "__main__":
    unittest.main()
