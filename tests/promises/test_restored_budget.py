"""Test what workspaces are given when the store comes back older (real processes)."""

import asyncio
import random
import time
import unittest

import aiohttp

from tests.promises.fleet import PlatformFleet

PREPAID = 300_000
PROMPT_TOKENS, OUTPUT_TOKENS = 1_000, 10
N_CALLERS = 10
SHARE_BEFORE = 0.85  # of the budget, when the store goes away
MAX_COPY_AGE_S = 4.0
AWAY_S = 0.4
REFUSED_S = 4.0  # without an answer, before a budget counts as used up
LIMIT_S = 40.0
MIN_GIVEN_SHARE = 0.98
# Holds of the lost host's own requests count as spent.
MIN_GIVEN_SHARE_AFTER_LOSS = 0.95


class RestoredBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Spend a budget while the store is away and comes back from a copy."""

    n_served: int
    last_served: float

    async def spend(self, fleet: PlatformFleet, number: int) -> None:
        """Send one request after the other until none has been served for a while."""
        generator = random.Random(number)
        limit = time.monotonic() + LIMIT_S
        while time.monotonic() < min(limit, self.last_served + REFUSED_S):
            host = generator.choice(list(fleet.hosts))
            try:
                answer = await fleet.call(
                    "/stream/x", host=host, tokens=(PROMPT_TOKENS, OUTPUT_TOKENS)
                )
            except (aiohttp.ClientError, KeyError):
                await asyncio.sleep(0.1)
                continue
            if answer.status == 200:
                self.n_served += 1
                self.last_served = time.monotonic()
            else:
                await asyncio.sleep(0.2)

    async def restore_store(self, fleet: PlatformFleet) -> None:
        """Let the store fall silent and come back from a copy some seconds old."""
        copy, copied_at = fleet.store.make_copy(), time.monotonic()
        while (
            self.n_served * PROMPT_TOKENS < SHARE_BEFORE * PREPAID
            and time.monotonic() < copied_at + MAX_COPY_AGE_S
        ):
            await asyncio.sleep(0.01)
        fleet.store.fall_silent()
        await asyncio.sleep(AWAY_S)
        fleet.store.restore(copy)
        fleet.store.is_silent = False
        for number in range(len(fleet.targets)):
            await fleet.write_target(number)
        await fleet.write_configuration(1)

    async def run_drill(self, *, killed: str = "") -> float:
        """Return the share of the budget that callers were given."""
        async with PlatformFleet(n_hosts=3, prepaid=PREPAID) as fleet:
            self.n_served, self.last_served = 0, time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for number in range(N_CALLERS):
                    tasks.create_task(self.spend(fleet, number))
                await asyncio.sleep(0.2)
                drill = tasks.create_task(self.restore_store(fleet))
                while killed and not fleet.store.is_silent:
                    await asyncio.sleep(0.01)
                if killed:
                    await fleet.kill(killed)
                await drill
            return self.n_served * PROMPT_TOKENS / PREPAID

    async def test_drill_alone(self) -> None:
        """Guard against tokens drawn again, or withheld, after a drill of the store."""
        share = await self.run_drill()
        self.assertLessEqual(share, 1.0)
        self.assertGreaterEqual(share, MIN_GIVEN_SHARE)

    async def test_home_killed_while_the_store_is_away(self) -> None:
        """Guard against draws that only the witnesses of a lost home know of."""
        for killed in ("host-0", "host-1"):
            with self.subTest(killed=killed):
                share = await self.run_drill(killed=killed)
                self.assertLessEqual(share, 1.0)
                self.assertGreaterEqual(share, MIN_GIVEN_SHARE_AFTER_LOSS)


if __name__ == "__main__":
    unittest.main()
