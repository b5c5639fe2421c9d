"""Test answers that have begun as all targets fall silent (real processes)."""

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable

from standins.launcher import poll_until
from standins.platform import OTHER_SERVICE
from standins.proxy import CutMode
from tests.promises.fleet import HTTP_OK, PlatformFleet

HOST = "host-0"
STREAMS = ("/stream/x", "/stream-again/x") * 2
PLAIN = ("/book/x", "/look/x") * 2
Route = dict[str, object] | None
CHANGES: tuple[Route, ...] = (
    {"timeout_ms": 4_500},
    {"timeout_ms": 9_000},
    {"service": OTHER_SERVICE},
    None,
)
IDLE_TIMEOUTS_MS = (500, 60_000)


async def stop_hosts(fleet: PlatformFleet) -> None:
    """Send SIGTERM to all hosts."""
    for host in fleet.hosts.values():
        host.process.send_signal(signal.SIGTERM)


class SilentTargetTest(unittest.IsolatedAsyncioTestCase):
    """Let all targets fall silent while they answer, and then go on."""

    async def check(
        self,
        fleet: PlatformFleet,
        silences_s: tuple[float, ...],
        disturb: Callable[[PlatformFleet], Awaitable[None]],
    ) -> None:
        """Check that what has begun ends whole after a disturbance and silences."""
        for target in fleet.targets:
            target.event_interval_s, target.processing_s = 0.3, 0.2
            target.runs.clear()
        calls = [asyncio.create_task(fleet.call(p, host=HOST)) for p in STREAMS]
        await poll_until(
            lambda: sum(run.events > 0 for t in fleet.targets for run in t.runs) == 4,
            "the streams' first events",
        )
        calls += [asyncio.create_task(fleet.call(p, host=HOST)) for p in PLAIN]
        await poll_until(lambda: fleet.count_runs() == len(calls), "the runs")
        for silence_s in silences_s:
            silences = [t.fall_silent(silence_s) for t in fleet.targets]
            await asyncio.gather(*silences, disturb(fleet))
            await asyncio.sleep(0.2)
        answers = await asyncio.gather(*calls)
        for path, answer in zip(STREAMS + PLAIN, answers, strict=True):
            self.assertEqual((answer.status, answer.is_whole), (200, True), path)

    async def test_host_that_stops_waits_for_a_silent_target(self) -> None:
        """Guard against a drain that ends what waits for a silent target."""
        for silences_s in ((1.3, 1.2), (3.0,)):
            async with PlatformFleet() as fleet:
                await self.check(fleet, silences_s, stop_hosts)

    async def test_peer_waits_for_a_silent_target(self) -> None:
        """Guard against a peer, or a host that sends through it, that gives up."""
        for silences_s in ((1.3, 1.2), (3.0,)):
            async with PlatformFleet(n_hosts=2, use_target_proxies=True) as fleet:
                await fleet.cut_from_targets(HOST, CutMode.RESET)
                while not fleet.hosts[HOST].has_logged("targets_out_of_reach"):
                    await fleet.call("/look/x", host=HOST)
                await self.check(fleet, silences_s, stop_hosts)

    async def test_change_ends_nothing_that_waits_for_a_silent_target(self) -> None:
        """Guard against a new configuration that ends what is under way."""
        async with PlatformFleet() as fleet:
            for number, route in enumerate(CHANGES, 1):

                async def change(
                    fleet: PlatformFleet, number: int = number, route: Route = route
                ) -> None:
                    await fleet.write_configuration(
                        10 * number,
                        {"idle_timeout_ms": IDLE_TIMEOUTS_MS[number % 2]},
                        dict.fromkeys(
                            ("stream", "stream-again", "book", "look"), route
                        ),
                    )

                with self.subTest(route=route):
                    await self.check(fleet, (1.3, 1.2), change)
                    is_served = (await fleet.call("/book/x")).status == HTTP_OK
                    self.assertEqual(is_served, "timeout_ms" in (route or {}))
                await fleet.write_configuration(10 * number + 1)
                while (await fleet.call("/book/x")).status != HTTP_OK:
                    await asyncio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
