"""Test the demo as a process."""

import asyncio
import signal
import sys
import unittest

import psutil

DEMO_TIMEOUT_S = 60.0


async def start_demo() -> asyncio.subprocess.Process:
    """Start the demo with its standard output piped."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "standins.demo", stdout=asyncio.subprocess.PIPE
    )


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """Test the demo's exit code and that it leaves no process behind."""

    async def test_demo_passes(self) -> None:
        demo = await start_demo()
        output, _ = await asyncio.wait_for(demo.communicate(), DEMO_TIMEOUT_S)
        self.assertEqual(demo.returncode, 0, output.decode())
        self.assertIn(b"billed once", output)

    async def test_interrupted_demo_leaves_no_process(self) -> None:
        """Send SIGINT after the first line of output, as Ctrl-C does.

        At this time the fleet runs and its hosts wait for their configuration. The
        demo must exit with 130 and end every process that it has started.
        """
        demo = await start_demo()
        assert demo.stdout is not None
        first = await asyncio.wait_for(demo.stdout.readline(), DEMO_TIMEOUT_S)
        self.assertIn(b"fleet", first)
        children = psutil.Process(demo.pid).children(recursive=True)
        self.assertGreaterEqual(len(children), 10)
        demo.send_signal(signal.SIGINT)
        await asyncio.wait_for(demo.communicate(), DEMO_TIMEOUT_S)
        self.assertEqual(demo.returncode, 130)
        _, alive = psutil.wait_procs(children, timeout=5)
        self.assertEqual(alive, [])
