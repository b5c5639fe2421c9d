"""Test the proxy that injects faults into connections."""

import asyncio
import unittest

from standins.proxy import FaultProxy


class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Start a proxy again on its port."""

    async def test_two_faults_that_end_at_once_start_it_once(self) -> None:
        """Guard against a proxy that is bound to its port a second time."""
        proxy = FaultProxy()
        await proxy.start()
        port = proxy.port
        await proxy.stop()
        await asyncio.gather(proxy.start(), proxy.start())
        await proxy.start()
        self.assertEqual(proxy.port, port)
        self.assertTrue(proxy.is_listening)
        await proxy.stop()


if __name__ == "__main__":
    unittest.main()
