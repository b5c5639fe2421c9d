"""Test what callers get while all hosts start again (real processes)."""

import asyncio
import signal
import unittest

from tests.promises.fleet import HostProcess, PlatformFleet

START_TIMEOUT_S = 30.0
BOOKING = (
    b"POST /book/x HTTP/1.1\r\nHost: club.example\r\nAttempt-Id: left\r\n"
    b"Key: key\r\nDeadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{}"
)


class EarlyStartTest(unittest.IsolatedAsyncioTestCase):
    """Kill hosts and let callers connect while one of them starts."""

    async def connect_until_accepted(self, host: HostProcess, port: int) -> bool:
        """Connect to a starting host; return whether it had started by then."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                except OSError:
                    await asyncio.sleep(0.01)
                    continue
                had_started = host.has_logged("host_started")
                writer.close()
                return had_started

    async def test_caller_of_a_fleet_that_starts_waits_and_is_served(self) -> None:
        """Guard against callers that fail while all hosts start together."""
        async with PlatformFleet(n_hosts=2) as fleet:
            port = fleet.hosts["host-0"].caller_port
            for name in ("host-0", "host-1"):
                await fleet.kill(name)
            host = await fleet.launch_host("host-0", caller_port=port)
            host.caller_port = port
            self.assertFalse(await self.connect_until_accepted(host, port))
            host.process.send_signal(signal.SIGHUP)
            answer = await fleet.call("/look/x")
            self.assertEqual((answer.status, answer.body), (200, b"whole answer"))

    async def test_request_of_a_caller_that_left_is_not_sent(self) -> None:
        """Guard against work for callers that gave up before the host was ready."""
        async with PlatformFleet(n_hosts=2) as fleet:
            port = fleet.hosts["host-0"].caller_port
            for name in ("host-0", "host-1"):
                await fleet.kill(name)
            host = await fleet.launch_host("host-0", caller_port=port)
            self.assertFalse(await self.connect_until_accepted(host, port))
            for _ in range(5):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(BOOKING)
                await writer.drain()
                writer.close()
            self.assertFalse(host.has_logged("host_started"))
            host.caller_port = port
            self.assertEqual((await fleet.call("/look/x")).status, 200)
            self.assertEqual(fleet.count_runs(), 1)

    async def test_starting_host_refuses_while_another_serves(self) -> None:
        """Guard against callers that wait for a start, as another host would serve."""
        async with PlatformFleet(n_hosts=2) as fleet:
            port = fleet.hosts["host-0"].caller_port
            await fleet.kill("host-0")
            host = await fleet.launch_host("host-0", caller_port=port)
            await self.connect_until_accepted(host, port)
            # The listening socket and the log line come at nearly the same time.
            async with asyncio.timeout(START_TIMEOUT_S):
                while not host.has_logged("host_started"):
                    await asyncio.sleep(0.01)
            self.assertTrue(host.has_logged("host_started", "listened_early=False"))


if __name__ == "__main__":
    unittest.main()
