"""Test that targets of an evacuated data centre get no requests (real processes)."""

import asyncio
import unittest

from standins.launcher import poll_until
from standins.proxy import FaultRule
from tests.promises.fleet import PlatformFleet

EVACUATED = "lorient"
N_CALLS = 12


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Evacuate the data centre of target i-1; target i-0 is in another one."""

    def make_fleet(self, n_hosts: int) -> PlatformFleet:
        """Return a fleet whose second target is in the data centre to evacuate."""
        return PlatformFleet(
            n_hosts=n_hosts, use_proxies=True, target_data_centers={1: EVACUATED}
        )

    async def wait_for_log(self, fleet: PlatformFleet, text: str) -> None:
        """Wait until all hosts have logged a text."""
        await poll_until(
            lambda: all(host.has_logged(text) for host in fleet.hosts.values()),
            f"{text} on all hosts",
        )

    async def call_all_hosts(self, fleet: PlatformFleet) -> list[int]:
        """Send requests through all hosts; return their status codes."""
        answers = await asyncio.gather(
            *(
                fleet.call("/look/x", host=host)
                for host in fleet.hosts
                for _ in range(N_CALLS)
            )
        )
        return [answer.status for answer in answers]

    async def test_no_host_sends_to_an_evacuated_data_centre(self) -> None:
        """Guard against requests to evacuated targets, also from a host that starts.

        The other target serves all callers. When the evacuation ends, both are used.
        """
        async with self.make_fleet(2) as fleet:
            await fleet.evacuate(EVACUATED)
            await self.wait_for_log(fleet, "evacuation_started")
            await fleet.start_host("host-2")
            self.assertEqual(set(await self.call_all_hosts(fleet)), {200})
            self.assertEqual(len(fleet.targets[1].runs), 0)
            await fleet.end_evacuation(EVACUATED)
            await self.wait_for_log(fleet, "evacuation_ended")
            await self.call_all_hosts(fleet)
            self.assertGreater(len(fleet.targets[1].runs), 0)

    async def test_host_cut_from_the_store_learns_of_an_evacuation(self) -> None:
        """Guard against a host that goes on sending, as its peers know better."""
        async with self.make_fleet(2) as fleet:
            fleet.proxies["host-1"].rules["127.0.0.1"] = FaultRule(
                hold_answers=True, hold_requests=True
            )
            await fleet.evacuate(EVACUATED)
            await self.wait_for_log(fleet, "evacuation_started")
            await self.call_all_hosts(fleet)
            self.assertEqual(len(fleet.targets[1].runs), 0)

    async def test_stream_under_way_ends_whole(self) -> None:
        """Guard against streams that are cut because their target is evacuated."""
        async with self.make_fleet(1) as fleet:
            fleet.targets[0].refuse = True
            fleet.targets[1].n_events = 20
            fleet.targets[1].event_interval_s = 0.1
            call = asyncio.create_task(fleet.call("/stream/x"))
            await poll_until(lambda: bool(fleet.targets[1].runs), "the run")
            await fleet.evacuate(EVACUATED)
            await self.wait_for_log(fleet, "evacuation_started")
            answer = await call
            self.assertEqual((answer.status, answer.is_whole), (200, True))

    async def test_request_without_another_target_is_refused_at_once(self) -> None:
        """Guard against a send to the last target, and against a late refusal."""
        async with self.make_fleet(1) as fleet:
            await fleet.evacuate("brest")
            await fleet.evacuate(EVACUATED)
            host = fleet.hosts["host-0"]
            await poll_until(
                lambda: len(host.list_times("evacuation_started")) == 2,
                "both evacuations",
            )
            answer = await fleet.call("/look/x")
            self.assertEqual(answer.status, 503)
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(fleet.count_runs(), 0)


if __name__ == "__main__":
    unittest.main()
