"""Test the shares that callers get at a small and at a large fleet."""

import asyncio
import random
import unittest
from collections import Counter

from bench.emulator.clock import run_in_virtual_time
from tests.components.admission_queue.fleet import N_SLOTS, SERVICE, AdmissionFleet
from trefoilstage.components.admission_queue.own_work import Place
from trefoilstage.helpers.verdict import Refusal

CALL_S = 0.09
PER_S = 1.7 * N_SLOTS / CALL_S
SECONDS = 4.0
HOT = "ws-hot"
# The hot workspace sends eight times the load of five others together in equal parts.
WORKSPACES = (HOT,) * 40 + ("ws-1", "ws-2", "ws-3", "ws-4", "ws-5")
MAX_OTHERS_REFUSED = 0.02
MIN_CAPACITY_USED = 0.9
MAX_CAPACITY_USED = 1.1
# Hosts that had no call for a while don't know that the service is contended.
MAX_UNASKED = 0.1
LEARNING_S = 2.0


class FleetSizesTest(unittest.TestCase):
    """Send more calls than the targets have slots for."""

    def setUp(self) -> None:
        """Count what callers get, by workspace."""
        self.generator = random.Random(1)
        self.results: Counter[tuple[str, type]] = Counter()
        self.count_from = 0.0

    async def send_calls(self, fleet: AdmissionFleet) -> None:
        """Send calls at random hosts, and count what they get."""
        generator = self.generator
        calls = []
        ends_at = self.count_from + SECONDS
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(generator.expovariate(PER_S))
            workspace = generator.choice(WORKSPACES)
            host = generator.choice(fleet.names)
            call = self.call(fleet, host, workspace)
            calls.append(asyncio.create_task(call))
        await asyncio.gather(*calls)

    async def call(self, fleet: AdmissionFleet, host: str, workspace: str) -> None:
        """Ask for a place, and use a target for the time of a call."""
        begun_at = asyncio.get_running_loop().time()
        state = fleet.make_state(workspace=workspace)
        answer = await fleet.clients[host].acquire(state)
        if begun_at >= self.count_from:
            self.results[workspace, type(answer)] += 1
        if isinstance(answer, Refusal):
            return
        if isinstance(answer, Place):
            fleet.use(host, state, answer)
            ending = fleet.in_use.pop(answer.request)
        else:
            ending = fleet.send(host, self.generator.choice(fleet.targets))
        with ending:
            await asyncio.sleep(CALL_S)

    async def check_day(self, n_hosts: int) -> None:
        """Check the shares of all workspaces."""
        self.results = Counter()
        fleet = AdmissionFleet(n_hosts)
        await fleet.start()
        self.count_from = asyncio.get_running_loop().time() + LEARNING_S
        await self.send_calls(fleet)
        counts: Counter[type] = Counter()
        others: Counter[type] = Counter()
        for (workspace, kind), n in self.results.items():
            counts[kind] += n
            if workspace != HOT:
                others[kind] += n
        used = (counts.total() - counts[Refusal]) * CALL_S / (N_SLOTS * SECONDS)
        self.assertGreater(used, MIN_CAPACITY_USED)
        self.assertLess(used, MAX_CAPACITY_USED)
        self.assertGreater(self.results[HOT, Refusal], 0)
        self.assertLess(others[Refusal], MAX_OTHERS_REFUSED * others.total())
        self.assertLess(counts[type(None)], MAX_UNASKED * counts.total())
        home = fleet.homes[fleet.rank_homes()[0]]
        self.assertEqual(home.describe()[SERVICE], {})

    def test_slots_are_shared_by_small_and_large_fleets(self) -> None:
        """Guard against filled targets, idle slots and workspaces that starve."""
        for n_hosts in (3, 400):
            with self.subTest(n_hosts=n_hosts):
                run_in_virtual_time(self.check_day(n_hosts))


if __name__ == "__main__":
    unittest.main()
