"""Test crashes of targets that restart before hosts read their new entries."""

import asyncio
import unittest
from dataclasses import replace

from tests.components.crashes.common import WatcherTestCase
from trefoilstage.components.crashes.causes import SAME_MOMENT_MS
from trefoilstage.components.crashes.completed_runs import CRASHES_WITHIN_S, Run
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import make_crash
from trefoilstage.components.crashes.probe import ProbeResult

RESTART_S = 3 * SAME_MOMENT_MS / 1_000


class RestartTest(WatcherTestCase):
    """Test which start of a target a request crashed."""

    def make_run(self, fingerprint: str, sent_at: float) -> Run:
        """Return a run sent to the only entry that hosts know."""
        return Run(
            fingerprint=fingerprint,
            parts=(),
            target="x@1",
            address="x:1",
            sent_at=sent_at,
        )

    async def crash(self, fingerprint: str, sent_at: float) -> None:
        """Let the target crash under a request that was sent at a loop time."""
        self.watcher.record_interruption(
            self.make_run(fingerprint, sent_at), progress_s=0.0
        )
        await asyncio.sleep(0.01)

    async def test_crashes_of_a_start_that_is_not_listed_yet_count(self) -> None:
        """Guard against a request that crashes a target at each of its starts.

        In soak seed 302, a host that read entries late took three crashes of a target
        for one, so that the request crashed four targets after the faults.
        """
        for _ in range(3):
            self.assertIsNone(self.watcher.get_refusal("dead"))
            await self.crash("dead", self.watcher._now())
            await asyncio.sleep(RESTART_S)
        self.assertIsNotNone(self.watcher.get_refusal("dead"))

    async def test_crash_that_is_noticed_late_counts_once(self) -> None:
        """Guard against blocking requests that one crash cut, noticed one by one."""
        sent_at = self.watcher._now()
        for _ in range(4):
            await self.crash("sound", sent_at)
            await asyncio.sleep(RESTART_S)
        self.assertIsNone(self.watcher.get_refusal("sound"))

    async def test_crash_that_other_hosts_noticed_counts_once(self) -> None:
        """Guard against blocking requests of a host that is behind the others.

        In soak seed 111, a busy host noticed crashes 0.5 s late and knew the targets by
        the names of earlier starts.
        """
        for number in range(3):
            sent_at = self.watcher._now()
            await asyncio.sleep(RESTART_S)
            target = f"x{'+' * number}@{number}"
            run = replace(self.make_run("sound", sent_at), target=target)
            self.watcher.record_completed(run, progress_s=0.0, is_end_certain=True)
            at_ms = self.watcher._get_unix_ms()
            crash = make_crash("other", target, at_ms=at_ms)
            await self.watcher._handle_report(
                CrashReport(host="host-1", crashes=(crash,))
            )
            await asyncio.sleep(RESTART_S)
            await self.crash("late", sent_at)
        targets = {
            item.target for item in self.parts.recorded if item.fingerprint == "late"
        }
        self.assertEqual(targets, {"x@0", "x+@1", "x++@2"})

    async def test_target_out_of_reach_counts_once(self) -> None:
        """Guard against blocking requests for a target that does not answer a host."""
        self.parts.result = ProbeResult.SILENT
        for _ in range(4):
            await self.crash("sound", self.watcher._now())
            await asyncio.sleep(RESTART_S)
        self.assertIsNone(self.watcher.get_refusal("sound"))

    async def test_answer_of_the_next_start_is_not_cut(self) -> None:
        """Guard against a short answer blamed for the crash before it was sent."""
        await self.crash("other", self.watcher._now())
        await asyncio.sleep(RESTART_S)
        run = self.make_run("sound", self.watcher._now())
        self.watcher.record_completed(run, progress_s=0.0, is_end_certain=True)
        await asyncio.sleep(1.1 * CRASHES_WITHIN_S)
        await self.watcher._expire()
        self.assertEqual(self.parts.recorded, [make_crash("other", "x@1")])


if __name__ == "__main__":
    unittest.main()
