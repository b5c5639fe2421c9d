"""Test that streams keep to the version that began them (real processes)."""

import asyncio
import unittest

from standins.launcher import poll_until
from tests.promises.fleet import FleetAnswer, PlatformFleet

N_STREAMS = 8
N_EVENTS = 30
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
# Homes are told of a stream this long after its first event, at the latest.
REPORTED_S = 1.5
Call = asyncio.Task[FleetAnswer]


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    """Break streams while targets of two versions serve side by side."""

    def find_version(self, fleet: PlatformFleet, attempt: str) -> str:
        """Return the version of the only target that ran an attempt."""
        versions = {
            target.version
            for target in fleet.targets
            for run in target.runs
            if run.request == attempt
        }
        self.assertEqual(len(versions), 1)
        return versions.pop()

    async def take_up(
        self, fleet: PlatformFleet, host: str, first: str, last_event_id: int
    ) -> FleetAnswer:
        """Take a stream up at a host; come back while the budget isn't confirmed."""
        headers = {"Resumes": first, "Last-Event-Id": str(last_event_id)}
        while True:
            answer = await fleet.call(
                "/stream-again/x",
                host=host,
                attempt=f"{first}-again",
                more_headers=headers,
            )
            if answer.status != HTTP_TOO_MANY_REQUESTS:
                return answer
            await asyncio.sleep(float(answer.headers["Retry-After"]))

    async def test_stream_of_a_killed_host_goes_on_at_its_version(self) -> None:
        """Guard against a version that is lost with the host that began the stream."""
        async with PlatformFleet(n_hosts=3, n_targets=4, n_versions=2) as fleet:
            for target in fleet.targets:
                target.n_events, target.event_interval_s = 40, 0.1
            names = [f"s-{number}" for number in range(N_STREAMS)]
            calls = [
                asyncio.create_task(fleet.call("/stream-again/x", attempt=name))
                for name in names
            ]
            await poll_until(
                lambda: (
                    fleet.count_runs() == N_STREAMS
                    and all(run.events for t in fleet.targets for run in t.runs)
                ),
                "all streams to begin",
            )
            await asyncio.sleep(REPORTED_S)
            await fleet.kill("host-0")
            broken = await asyncio.gather(*calls)
            self.assertFalse(any(answer.is_whole for answer in broken))
            taken_up = [
                self.take_up(
                    fleet,
                    f"host-{1 + number % 2}",
                    names[number],
                    answer.body.count(b"data:"),
                )
                for number, answer in enumerate(broken)
            ]
            for answer in await asyncio.gather(*taken_up):
                self.assertEqual((answer.status, answer.is_whole), (200, True))
            for name in names:
                self.assertEqual(
                    self.find_version(fleet, name),
                    self.find_version(fleet, f"{name}-again"),
                )

    async def begin(self, fleet: PlatformFleet, *names: str) -> list[Call]:
        """Begin streams, over all hosts, and wait until homes may know them."""
        for target in fleet.targets:
            target.names_version = True
            target.n_events, target.event_interval_s = N_EVENTS, 0.1
            target.runs.clear()
        calls = [
            asyncio.create_task(
                fleet.call("/stream-again/x", attempt=name, host=f"host-{number % 2}")
            )
            for number, name in enumerate(names)
        ]

        def have_begun() -> bool:
            runs = [run for target in fleet.targets for run in target.runs]
            begun = {run.request for run in runs if run.events}
            return begun.issuperset(names)

        await poll_until(have_begun, "the streams to begin")
        await asyncio.sleep(REPORTED_S)
        return calls

    async def check_texts(
        self, fleet: PlatformFleet, calls: list[Call], *names: str
    ) -> None:
        """Take broken streams up, and check that no text is of two versions."""
        for name, broken in zip(names, await asyncio.gather(*calls), strict=True):
            n_events = broken.body.count(b"data:")
            self.assertFalse(broken.is_whole)
            again = await self.take_up(fleet, "host-1", name, n_events)
            events = (broken.body + again.body).split(b"\n\n")
            versions = {item.split(b"\n")[1] for item in events if b"data:" in item}
            self.assertEqual(len(versions), 1, (again.status, versions))
            if again.status == HTTP_OK:
                self.assertEqual((len(events) - 1, again.is_whole), (N_EVENTS, True))
            else:
                self.assertIn(b"stream_unknown", again.body)

    async def test_no_text_of_two_versions_after_all_hosts_were_killed(self) -> None:
        """Guard against a guess by hosts that all start anew."""
        names = [f"s-{number}" for number in range(N_STREAMS)]
        async with PlatformFleet(n_hosts=2, n_targets=4, n_versions=2) as fleet:
            for leaving in ((), (0, 2)):
                calls = await self.begin(fleet, *names)
                await asyncio.gather(*map(fleet.kill, list(fleet.hosts)))
                fleet.unlisted_targets.update(leaving)
                for number in leaving:
                    await fleet.write_target(number)
                await asyncio.gather(*map(fleet.start_host, ("host-0", "host-1")))
                await self.check_texts(fleet, calls, *names)

    async def test_target_that_is_registered_late_is_not_believed(self) -> None:
        """Guard against a former entry that hosts read after the target is back."""
        async with PlatformFleet(n_hosts=2, n_targets=2) as fleet:
            fleet.targets[0].refuse = True
            fleet.targets[1].version = "v2"
            fleet.targets[1].started_at_ms += 1
            calls = await self.begin(fleet, "s-1")
            await fleet.kill("host-0")
            fleet.targets[0].refuse = False
            fleet.targets[1].refuse = True
            await self.check_texts(fleet, calls, "s-1")

    async def test_stream_of_unknown_version_is_refused(self) -> None:
        """Guard against a guess where no host knows the stream."""
        async with PlatformFleet(n_hosts=2, n_versions=2) as fleet:
            answer = await self.take_up(fleet, "host-1", "never-seen", 2)
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertEqual(fleet.count_runs(), 0)

    async def test_target_that_changed_its_version_is_not_used(self) -> None:
        """Guard against an entry that is old while no host reaches the store."""
        async with PlatformFleet(n_hosts=2, n_targets=2, n_versions=2) as fleet:
            fleet.targets[1].refuse = True
            first = await fleet.call("/stream-again/x", attempt="s-1")
            self.assertEqual(first.status, 200)
            await poll_until(
                lambda: fleet.targets[0].runs[0].ended, "the stream to end"
            )
            await asyncio.sleep(REPORTED_S)
            for host in fleet.hosts.values():
                host.store_server.is_refusing = True
            fleet.targets[0].version = "v3"
            fleet.targets[0].started_at_ms += 1
            answer = await self.take_up(fleet, "host-1", "s-1", 2)
            self.assertNotEqual(answer.status, 200)
            self.assertEqual(answer.body.count(b"data:"), 0)


if __name__ == "__main__":
    unittest.main()
