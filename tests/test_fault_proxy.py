"""Test the proxy that injects faults into connections."""

import asyncio
import contextlib
import socket
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

    async def test_port_of_a_stopped_proxy_is_not_taken(self) -> None:
        """Guard against other processes' connections that get the port meanwhile."""
        proxy = FaultProxy()
        await proxy.start()
        for stop in (proxy.stop_listening, proxy.hang):
            stop()
            with socket.socket() as other:
                with contextlib.suppress(OSError):
                    other.bind(("127.0.0.1", proxy.port))
                await proxy.start()
            self.assertTrue(proxy.is_listening)
        proxy.hang()
        await proxy.stop()


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Stop a proxy while an answer passes through it."""

    async def test_stopped_proxy_resets_an_answer_under_way(self) -> None:
        """Guard against a cut that looks like the end of an answer without a length."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"half")
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()

        upstream = await asyncio.start_server(answer, "127.0.0.1", 0)
        proxy = FaultProxy(upstream_port=upstream.sockets[0].getsockname()[1])
        await proxy.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        self.assertEqual(await reader.readexactly(4), b"half")
        await proxy.stop()
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        writer.close()
        upstream.close()


if __name__ == "__main__":
    unittest.main()
