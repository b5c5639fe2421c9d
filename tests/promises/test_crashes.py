"""Test that hosts identify and block a request that crashes its targets."""

import asyncio
import socket
import unittest

from standins.launcher import poll_until
from standins.platform import LOOPBACK
from tests.promises.crashing import (
    CRASHING_BODY,
    CRASHING_PART,
    RESTART_DELAY_S,
    CrashingTargets,
)
from tests.promises.fleet import FleetAnswer, PlatformFleet

N_ATTEMPTS = 12
# Three targets crash before the request can be identified, and as many more may crash
# until all hosts have received that.
MAX_CRASHES = 6
N_INTERRUPTIONS = 4


async def repeat_crashing(fleet: PlatformFleet, n_attempts: int) -> list[FleetAnswer]:
    """Send the crashing request `n_attempts` times, to each host in turn."""
    answers = []
    for number in range(n_attempts):
        host = f"host-{number % fleet.n_hosts}"
        answers.append(await fleet.call("/stream/x", host=host, body=CRASHING_BODY))
        await asyncio.sleep(RESTART_DELAY_S)
    return answers


async def wait_until_blocked(
    fleet: PlatformFleet, event: str = "request_blocked"
) -> None:
    """Wait until every host has blocked a request."""
    for host in fleet.hosts.values():
        await poll_until(
            lambda host=host: host.has_logged(event),
            f"{host.name} to block the request",
        )


async def wait_until_listed(fleet: PlatformFleet) -> None:
    """Wait until every host has listed the targets that run now."""
    for host in fleet.hosts.values():
        for target in fleet.targets:
            await poll_until(
                lambda host=host, target=target: host.has_logged(
                    "target_listed", f"target={target.name}"
                ),
                f"{host.name} to list {target.name}",
            )


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Test a request that crashes each target that runs it."""

    async def test_repeats_at_two_hosts_stop_crashing_targets(self) -> None:
        """Guard against hosts that send the request to one target after another."""
        async with PlatformFleet(n_hosts=2, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            answers = await repeat_crashing(fleet, N_ATTEMPTS)
            self.assertLessEqual(targets.n_crashes, MAX_CRASHES)
            self.assertEqual(answers[-1].status, 503)
            self.assertIn("Retry-After", answers[-1].headers)
            await targets.wait_until_restarted()
            await wait_until_listed(fleet)
            harmless = await fleet.call("/stream/x")
            self.assertEqual(harmless.status, 200)

    async def test_repeat_within_one_attempt_stops_crashing_targets(self) -> None:
        """Guard against resuming the stream at a second target, which crashes too."""
        async with PlatformFleet(n_hosts=1, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            for _ in range(N_ATTEMPTS):
                await fleet.call("/stream-again/x", body=CRASHING_BODY)
                await asyncio.sleep(RESTART_DELAY_S)
            self.assertLessEqual(targets.n_crashes, MAX_CRASHES)

    async def test_block_survives_a_restart_of_all_hosts(self) -> None:
        """Guard against forgetting the block when all hosts restart."""
        async with PlatformFleet(n_hosts=2, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            await repeat_crashing(fleet, 4)
            await wait_until_blocked(fleet)
            n_crashes = targets.n_crashes
            for name in list(fleet.hosts):
                await fleet.kill(name)
            await asyncio.gather(*map(fleet.start_host, ("host-0", "host-1")))
            await wait_until_blocked(fleet)
            answers = await repeat_crashing(fleet, 2)
            self.assertEqual([answer.status for answer in answers], [503, 503])
            self.assertEqual(targets.n_crashes, n_crashes)

    async def test_host_cut_from_the_store_reports_crashes_to_its_peers(self) -> None:
        """Guard against crashes known only to a host that can't reach the store."""
        async with PlatformFleet(n_hosts=2, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            fleet.hosts["host-1"].store_server.is_refusing = True
            for _ in range(3):
                await fleet.call("/look/x", host="host-1", body=CRASHING_BODY)
                await asyncio.sleep(RESTART_DELAY_S)
            await wait_until_blocked(fleet)
            n_crashes = targets.n_crashes
            answer = await fleet.call("/look/x", host="host-0", body=CRASHING_BODY)
            self.assertEqual(answer.status, 503)
            self.assertEqual(targets.n_crashes, n_crashes)
            # The peer has written the block to the store, so a new host reads it.
            await fleet.kill("host-0")
            await fleet.start_host("host-0")
            answer = await fleet.call("/look/x", host="host-0", body=CRASHING_BODY)
            self.assertEqual(answer.status, 503)


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    """Test different requests that share a part that crashes each target."""

    async def test_part_in_ever_new_requests_stops_crashing_targets(self) -> None:
        """Guard against hosts that know only whole requests that crash targets."""
        async with PlatformFleet(n_hosts=2, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            answers = [
                await self.call(fleet, number, f"aa:50,{CRASHING_PART}:30")
                for number in range(N_ATTEMPTS)
            ]
            self.assertLessEqual(targets.n_crashes, MAX_CRASHES)
            self.assertEqual(answers[-1].status, 503)
            self.assertIn("Retry-After", answers[-1].headers)
            await targets.wait_until_restarted()
            await wait_until_listed(fleet)
            sound = await self.call(fleet, N_ATTEMPTS, "aa:50,bb:30")
            self.assertEqual(sound.status, 200)

    async def test_part_is_found_although_the_ports_stay_open(self) -> None:
        """Guard against crashes that go unnoticed as targets' ports stay open."""
        async with PlatformFleet(n_hosts=1, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet, keeps_ports=True)
            for number in range(MAX_CRASHES):
                await self.call(fleet, number, f"{CRASHING_PART}:30")
                await targets.wait_until_restarted()
            self.assertLess(targets.n_crashes, MAX_CRASHES)
            await wait_until_blocked(fleet, "parts_blocked")

    async def call(
        self, fleet: PlatformFleet, number: int, shared_parts: str
    ) -> FleetAnswer:
        """Send a request that no other one is like, to each host in turn."""
        answer = await fleet.call(
            "/stream/x",
            host=f"host-{number % fleet.n_hosts}",
            body=f"body-{number}".encode(),
            more_headers={"Prompt-Prefix": f"{shared_parts},own{number}:20"},
        )
        await asyncio.sleep(RESTART_DELAY_S)
        return answer


class CrashingTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Test the targets that these tests crash."""

    async def test_target_that_crashes_as_it_restarts_restarts_once(self) -> None:
        """Guard against two restarts of a target that bind the same port."""
        async with PlatformFleet(n_hosts=0, n_targets=1) as fleet:
            targets = CrashingTargets(fleet=fleet)
            await targets.crash_all()
            await asyncio.sleep(RESTART_DELAY_S / 2)
            await targets.crash_all()
            await targets.wait_until_restarted()
            self.assertEqual(fleet.targets[0].name, "i-0+")

    async def test_port_of_a_crashed_target_is_not_taken(self) -> None:
        """Guard against other processes' connections that get the port meanwhile."""
        async with PlatformFleet(n_hosts=0, n_targets=1) as fleet:
            targets = CrashingTargets(fleet=fleet)
            # The target is stopped only when its running requests have ended.
            _, writer = await asyncio.open_connection(LOOPBACK, fleet.ports[0])
            writer.write(b"POST /stream/x HTTP/1.1\r\nHost: x\r\n\r\n")
            self.addCleanup(writer.close)
            await asyncio.sleep(RESTART_DELAY_S)
            await targets.crash_all()
            for delay_s in (0.0, RESTART_DELAY_S / 2):
                await asyncio.sleep(delay_s)
                with socket.socket() as other, self.assertRaises(OSError):
                    other.bind((LOOPBACK, fleet.ports[0]))
            await targets.wait_until_restarted()
            self.assertEqual(fleet.targets[0].name, "i-0+")


class LogTest(unittest.IsolatedAsyncioTestCase):
    """Test what the lines tell of interrupted requests."""

    async def test_lines_name_the_shared_parts_of_a_prompt(self) -> None:
        """Guard against crashes whose common prompt part no line names."""
        async with PlatformFleet(n_hosts=1) as fleet:
            for target in fleet.targets:
                target.break_after = 0
            headers = {"Prompt-Prefix": "aa:60,bb:30,cc:10"}
            await fleet.call("/stream/x", more_headers=headers)
            host = fleet.hosts["host-0"]
            for event in ("request_sent", "answer_broken"):
                await poll_until(
                    lambda event=event: host.has_logged(event, "parts=aa,bb "),
                    f"the parts in a line of {event}",
                )


class HarmlessRequestTest(unittest.IsolatedAsyncioTestCase):
    """Test harmless requests that run on targets that crash."""

    async def test_request_cut_again_and_again_is_served_when_targets_stay(
        self,
    ) -> None:
        """Guard against blocking a request whose targets crashed for other reasons."""
        async with PlatformFleet(n_hosts=1, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            for target in fleet.targets:
                target.event_interval_s = 0.2
            for _ in range(N_INTERRUPTIONS):
                cut = asyncio.create_task(fleet.call("/stream/x", body=b"sound"))
                other = asyncio.create_task(fleet.call("/stream/x", body=b"other"))
                await asyncio.sleep(0.3)
                await targets.crash_all()
                await asyncio.gather(cut, other)
                await targets.wait_until_restarted()
                await wait_until_listed(fleet)
                # The caller retries between the crashes, as real callers do.
                answer = await fleet.call("/stream/x", body=b"sound")
                self.assertEqual(answer.status, 200)

    async def test_answers_that_break_off_at_living_targets_block_nothing(self) -> None:
        """Guard against counting a target that resets answers as crashed."""
        async with PlatformFleet(n_hosts=1, n_targets=4) as fleet:
            for target in fleet.targets:
                target.break_after = 0
            for _ in range(N_INTERRUPTIONS):
                answer = await fleet.call("/stream/x", body=b"sound")
                self.assertNotEqual(answer.status, 503)
            self.assertFalse(fleet.hosts["host-0"].has_logged("target_ended"))
            self.assertFalse(fleet.hosts["host-0"].has_logged("request_blocked"))


if __name__ == "__main__":
    unittest.main()
