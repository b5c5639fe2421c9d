"""Run the newcomer's demo as a process."""

import asyncio
import signal
import sys
import unittest

import psutil

TIMEOUT_S = 60.0


async def start_demo() -> asyncio.subprocess.Process:
    """Start the demo with its output on a pipe."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins.demo", stdout=asyncio.subprocess.PIPE
    )


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """Check the demo's exit code and that no process is left."""

    async def test_demo_passes(self) -> None:
        demo = await start_demo()
        output, _ = await asyncio.wait_for(demo.communicate(), TIMEOUT_S)
        self.assertEqual(demo.returncode, 0, output.decode())
        self.assertIn(b"billed once", output)

    async def test_interrupted_demo_leaves_no_process(self) -> None:
        """Interrupt the demo while its fleet runs.

        The newcomer presses Ctrl-C after the first line: the fleet is up, its
        hosts are waiting for their configuration. The demo says that it was
        interrupted, and every process that it had started is gone.
        """
        demo = await start_demo()
        assert demo.stdout is not None
        first = await asyncio.wait_for(demo.stdout.readline(), TIMEOUT_S)
        self.assertIn(b"fleet", first)
        children = psutil.Process(demo.pid).children(recursive=True)
        self.assertGreaterEqual(len(children), 10)
        demo.send_signal(signal.SIGINT)
        await asyncio.wait_for(demo.communicate(), TIMEOUT_S)
        self.assertEqual(demo.returncode, 130)
        _, alive = psutil.wait_procs(children, timeout=5)
        self.assertEqual(alive, [])
