"""Test that requests to full targets wait in one queue (real processes)."""

import asyncio
import json
import time
import unittest
from collections import Counter

import aiohttp

from tests.promises.fleet import FleetAnswer, PlatformFleet

STREAM = "/stream/x"
N_SLOTS = 16  # of two targets
N_CALLERS = 3 * N_SLOTS
EVENT_INTERVAL_S = 0.1  # so that a stream takes 0.4 s
LEARNING_S = 1.5
PERIOD_S = 4.0
EVENTS = ("service_contended", "place_granted", "place_refused", "admission_")


class AdmissionQueueTest(unittest.IsolatedAsyncioTestCase):
    """Bring three times as many callers as two targets have slots."""

    def setUp(self) -> None:
        """Record what callers get."""
        self.answers: list[FleetAnswer] = []
        self.n_lost = 0

    async def call_again_and_again(
        self, fleet: PlatformFleet, number: int, ends_at: float
    ) -> None:
        """Send one stream after another, each to a host that runs."""
        while time.monotonic() < ends_at:
            hosts = sorted(fleet.hosts)
            try:
                answer = await fleet.call(STREAM, host=hosts[number % len(hosts)])
            except aiohttp.ClientError:
                self.n_lost += 1
                continue
            self.answers.append(answer)
            await asyncio.sleep(float(answer.headers.get("Retry-After", 0.0)))

    def count_lines(self, fleet: PlatformFleet, text: str) -> dict[str, int]:
        """Return how many lines of each host hold a text."""
        return {
            name: sum(text in line for line in host.lines)
            for name, host in fleet.hosts.items()
        }

    async def run_callers(self, fleet: PlatformFleet, seconds: float) -> None:
        """Let all callers send streams for some time."""
        for target in fleet.targets:
            target.event_interval_s = EVENT_INTERVAL_S
        ends_at = time.monotonic() + seconds
        callers = range(N_CALLERS)
        await asyncio.gather(
            *(self.call_again_and_again(fleet, number, ends_at) for number in callers)
        )

    async def test_full_targets_are_shared_and_the_home_may_die(self) -> None:
        """Guard against messages that real hosts can't exchange, and a lost home."""
        async with PlatformFleet(n_hosts=3, contracts="rests,pressure") as fleet:
            calls = asyncio.create_task(self.run_callers(fleet, 2 * PERIOD_S))
            await asyncio.sleep(PERIOD_S)
            granted = self.count_lines(fleet, "place_granted")
            home = max(granted, key=lambda name: granted[name])
            self.assertGreater(granted[home], N_SLOTS, granted)
            await fleet.kill(home)
            before = self.count_lines(fleet, "place_granted")
            await calls
            after = self.count_lines(fleet, "place_granted")
            self.assertGreater(sum(after.values()), sum(before.values()) + N_SLOTS)
            self.assertFalse(any(self.count_lines(fleet, "admission_failed").values()))
        statuses = Counter(item.status for item in self.answers)
        self.assertLessEqual(set(statuses), {200, 503}, statuses)
        self.assertGreater(statuses[200], N_CALLERS)
        for answer in self.answers:
            if answer.status != 200:
                self.assertIn("Retry-After", answer.headers)
                self.assertIn(
                    b"overloaded", json.dumps(answer.headers).encode() + answer.body
                )

    async def test_nothing_waits_without_the_contract(self) -> None:
        """Guard against a queue that other deployments did not ask for."""
        async with PlatformFleet(n_hosts=3, contracts="rests") as fleet:
            await self.run_callers(fleet, LEARNING_S)
            for event in EVENTS:
                self.assertFalse(any(self.count_lines(fleet, event).values()), event)
        self.assertEqual({item.status for item in self.answers}, {200})


if __name__ == "__main__":
    unittest.main()
