"""Test that hosts do what targets want of them in answers (real processes)."""

import asyncio
import time
import unittest

from tests.promises.fleet import PlatformFleet

N_CALLS = 12
LOOK = "/look/x"
REST_S = 2.0
LIMIT_PER_S = 1.0
PERIOD_S = 4.0
MAX_REFUSALS = 2  # a second
CALL_INTERVAL_S = 0.05


async def call_until_run(fleet: PlatformFleet, number: int) -> None:
    """Send requests until a target has run one."""
    while not fleet.targets[number].runs:
        await fleet.call(LOOK)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Let target i-0 say in its answers that it leaves."""

    async def test_target_that_says_it_leaves_gets_no_request(self) -> None:
        """Guard against a host that waits for the store's news of a leaving target.

        The store's entry, which is written again, says that the target is ready.
        """
        async with PlatformFleet() as fleet:
            fleet.targets[0].headers["Server-Leaving"] = "1"
            await call_until_run(fleet, 0)
            n_runs = len(fleet.targets[0].runs)
            await fleet.write_target(0)
            answers = [await fleet.call(LOOK) for _ in range(N_CALLS)]
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual(len(fleet.targets[0].runs), n_runs)

    async def test_callers_are_refused_at_once_if_all_targets_leave(self) -> None:
        """Guard against requests to a leaving target for want of another one."""
        async with PlatformFleet(n_targets=1) as fleet:
            fleet.targets[0].headers["Server-Leaving"] = "1"
            await call_until_run(fleet, 0)
            answer = await fleet.call(LOOK)
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(len(fleet.targets[0].runs), 1)


class RestTest(unittest.IsolatedAsyncioTestCase):
    """Let target i-0 turn requests away and ask for rest."""

    async def test_target_that_asks_for_rest_gets_none_until_its_end(self) -> None:
        """Guard against requests that come back to a target before its time."""
        async with PlatformFleet() as fleet:
            target = fleet.targets[0]
            target.refuse = True
            target.headers["Retry-After"] = str(REST_S)
            while not target.n_refused:
                rest_ends_at = time.monotonic() + REST_S
                await fleet.call(LOOK)
            answers = [await fleet.call(LOOK) for _ in range(N_CALLS)]
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertLess(time.monotonic(), rest_ends_at)
            self.assertEqual(target.n_refused, 1)
            target.refuse = False
            target.headers.clear()
            await call_until_run(fleet, 0)
            self.assertGreaterEqual(time.monotonic(), rest_ends_at)

    async def test_callers_are_told_when_the_rest_ends(self) -> None:
        """Guard against callers that wait for resting targets or come back early."""
        async with PlatformFleet(n_targets=1) as fleet:
            target = fleet.targets[0]
            target.refuse = True
            target.headers["Retry-After"] = str(REST_S)
            await fleet.call(LOOK)
            began = time.monotonic()
            answer = await fleet.call(LOOK)
            self.assertLess(time.monotonic() - began, REST_S / 2)
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), REST_S / 2)
            self.assertEqual(target.n_refused, 1)


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


class BrittleTest(unittest.IsolatedAsyncioTestCase):
    """Let targets say that they fall over when they turn requests away."""

    async def test_brittle_target_that_is_full_gets_few_requests(self) -> None:
        """Guard against hosts that each try a full target again and again."""
        async with PlatformFleet(n_hosts=3) as fleet:
            for target in fleet.targets:
                target.headers["Server-Brittle"] = str(MAX_REFUSALS)
            for host in fleet.hosts:
                await fleet.call(LOOK, host=host)
            full = fleet.targets[0]
            full.refuse = True
            while not full.n_refused:
                await fleet.call(LOOK)
            n_before = full.n_refused
            ends_at = time.monotonic() + PERIOD_S
            while time.monotonic() < ends_at:
                calls = [fleet.call(LOOK, host=host) for host in fleet.hosts]
                answers = await asyncio.gather(*calls)
                self.assertEqual({answer.status for answer in answers}, {200})
                await asyncio.sleep(CALL_INTERVAL_S)
            self.assertLessEqual(full.n_refused - n_before, MAX_REFUSALS * PERIOD_S)

    async def test_callers_are_refused_if_all_brittle_targets_are_full(self) -> None:
        """Guard against full brittle targets that are tried as no other is left."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.headers["Server-Brittle"] = str(MAX_REFUSALS)
                target.refuse = True
            answers = [await fleet.call(LOOK) for _ in range(N_CALLS)]
            self.assertEqual({answer.status for answer in answers}, {503})
            for answer in answers:
                self.assertIn("Retry-After", answer.headers)
            for target in fleet.targets:
                self.assertLessEqual(target.n_refused, MAX_REFUSALS)


if __name__ == "__main__":
    unittest.main()
