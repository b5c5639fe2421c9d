"""Test that hosts do what targets want of them in answers (real processes)."""

import asyncio
import time
import unittest

from tests.promises.fleet import PlatformFleet

LOOK = "/look/x"
LIMIT_PER_S = 1.0
PERIOD_S = 4.0
CALL_INTERVAL_S = 0.05


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """Let target i-0 name a limit on the requests that it takes."""

    async def test_limit_holds_over_three_hosts(self) -> None:
        """Guard against hosts that each keep a target's limit by themselves."""
        async with PlatformFleet(n_hosts=3) as fleet:
            target = fleet.targets[0]
            target.headers["Server-Limit"] = str(LIMIT_PER_S)
            await self.call_all_hosts(fleet, seconds=1.0)
            n_before = len(target.runs)
            statuses = await self.call_all_hosts(fleet, seconds=PERIOD_S)
            self.assertEqual(set(statuses), {200})
            n_runs = len(target.runs) - n_before
            self.assertLessEqual(n_runs, 1.5 * LIMIT_PER_S * PERIOD_S + 5)
            self.assertGreater(n_runs, 0)

    async def call_all_hosts(
        self, fleet: PlatformFleet, *, seconds: float
    ) -> list[int]:
        """Send requests through all hosts for some time; return the status codes."""
        ends_at = time.monotonic() + seconds
        statuses: list[int] = []
        while time.monotonic() < ends_at:
            calls = [fleet.call(LOOK, host=host) for host in fleet.hosts]
            statuses += [answer.status for answer in await asyncio.gather(*calls)]
            await asyncio.sleep(CALL_INTERVAL_S)
        return statuses


if __name__ == "__main__":
    unittest.main()
