"""Test how a host handles requests that targets interrupted."""

import asyncio
import unittest

from tests.components.crashes.common import (
    LONG_PROGRESS_S,
    MEDIUM_PROGRESS_S,
    SHORT_PROGRESS_S,
    WatcherTestCase,
    make_run,
)
from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS
from trefoilstage.components.crashes.evidence import (
    BLOCKED_RETENTION_S,
)
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    make_crash,
)
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.crashes.watcher import (
    PROBE_DELAY_S,
    RAN_LATELY_S,
)
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.helpers.verdict import Reason


class WatcherTest(WatcherTestCase):
    """Test which requests one host's watcher blocks."""

    async def test_request_is_blocked_after_three_targets(self) -> None:
        """Guard against a request that crashes one target after another."""
        for target in ("x", "y"):
            await self.interrupt("a", target, SHORT_PROGRESS_S)
        self.assertIsNone(self.watcher.get_refusal("a"))
        await self.interrupt("a", "z", SHORT_PROGRESS_S)
        refusal = self.watcher.get_refusal("a")
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.CRASHES_TARGETS)
        self.assertAlmostEqual(
            refusal.retry_after_s or 0.0, BLOCKED_RETENTION_S, delta=1.0
        )
        self.assertEqual(len(self.parts.recorded), MIN_CRASHED_TARGETS)

    async def test_request_that_ran_lately_is_not_suspected(self) -> None:
        """Guard against a frequent request that is under way at each of three crashes.

        Once blocked, it could not run to show that it is harmless.
        """
        self.watcher.record_harmless("a")
        for target in ("x", "y", "z"):
            await self.interrupt("a", target, SHORT_PROGRESS_S)
        self.assertIsNone(self.watcher.get_refusal("a"))
        self.assertEqual(self.parts.recorded, [])

    async def test_request_that_ran_lately_is_not_blocked_by_reports(self) -> None:
        """Guard against a harmless request that another host has not seen running."""
        self.watcher.record_harmless("a")
        crashes = tuple(make_crash("a", target) for target in ("x", "y", "z"))
        await self.watcher._handle_report(CrashReport(host="host-1", crashes=crashes))
        self.assertIsNone(self.watcher.get_refusal("a"))
        self.watcher.record_harmless("a")
        self.assertEqual(self.parts.cleared, ["a"])

    async def test_request_that_ran_long_ago_is_blocked(self) -> None:
        """Guard against a request that begins to crash targets and is never blocked."""
        self.watcher.record_harmless("a")
        ran_at, n_runs = self.watcher._ran_requests._runs["a"]
        self.watcher._ran_requests._runs["a"] = ran_at - RAN_LATELY_S - 1.0, n_runs
        for target in ("x", "y", "z"):
            await self.interrupt("a", target, SHORT_PROGRESS_S)
        self.assertIsNotNone(self.watcher.get_refusal("a"))

    async def test_running_target_counts_against_no_request(self) -> None:
        """Guard against blocking requests for broken responses of running targets."""
        self.parts.result = ProbeResult.ACCEPTED
        for target in ("x", "y", "z"):
            await self.interrupt("a", target, 0.0)
        self.assertEqual(self.parts.recorded, [])
        self.assertIsNone(self.watcher.get_refusal("a"))

    async def test_requests_interrupted_together_share_one_probe(self) -> None:
        """Guard against a connection to the target for each interrupted request."""
        for fingerprint in ("a", "b", "c"):
            self.watcher.record_interruption(make_run(fingerprint, "x"), progress_s=0.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(self.parts.probed, ["x:1"])
        self.assertEqual(len(self.parts.recorded), 3)

    async def test_request_that_ran_for_a_while_is_cleared(self) -> None:
        """Guard against blocking a long stream that crashes interrupt repeatedly."""
        for target in ("x", "y", "z"):
            await self.interrupt("a", target, SHORT_PROGRESS_S)
        await self.interrupt("a", "v", LONG_PROGRESS_S)
        self.assertIsNone(self.watcher.get_refusal("a"))
        self.assertEqual(self.parts.cleared, ["a"])
        self.assertNotIn("v:1", self.parts.probed)

    async def test_request_cut_later_than_crashes_come_says_nothing(self) -> None:
        """Guard against blocking a frequent request that is under way at each crash."""
        await self.interrupt("a", "x", SHORT_PROGRESS_S)
        for target in ("y", "z", "v"):
            await self.interrupt("a", target, MEDIUM_PROGRESS_S)
        self.assertIsNone(self.watcher.get_refusal("a"))
        self.assertEqual(self.parts.cleared, [])
        self.assertEqual(self.parts.probed, ["x:1"])

    async def test_completed_request_is_cleared_once(self) -> None:
        """Guard against a request that stays suspected after a target completed it."""
        await self.interrupt("a", "x", SHORT_PROGRESS_S)
        for _ in range(2):
            self.watcher.record_harmless("a")
        self.assertEqual(self.parts.cleared, ["a"])

    async def test_crash_after_the_caller_left_is_recorded(self) -> None:
        """Guard against crashes that go unnoticed because the caller left."""
        await self.interrupt("a", "x", SHORT_PROGRESS_S)
        for fingerprint in ("a", "unknown"):
            self.watcher.record_caller_left(make_run(fingerprint, "y"), progress_s=0.0)
        await asyncio.sleep(1.1 * PROBE_DELAY_S)
        self.assertEqual(self.parts.recorded[1:], [make_crash("a", "y")])

    async def test_crashes_from_peers_and_the_store_count(self) -> None:
        """Guard against hosts that count only the crashes that they observed."""
        await self.interrupt("a", "x", SHORT_PROGRESS_S)
        report = CrashReport(host="host-1", crashes=(make_crash("a", "y"),), relay=True)
        await self.watcher._handle_report(report)
        self.assertEqual(self.parts.written, list(report.crashes))
        record = KeyedRecord(key=make_crash("a", "z").key, offset=1, value=b"1")
        self.watcher.apply_records([record])
        self.assertIsNotNone(self.watcher.get_refusal("a"))
        self.watcher.apply_records([KeyedRecord(key=record.key, offset=2, value=None)])
        self.assertIsNone(self.watcher.get_refusal("a"))

    async def test_malformed_record_is_skipped(self) -> None:
        """Guard against a malformed record that stops the handling of others."""
        records = [
            KeyedRecord(key=key, offset=number, value=b"1")
            for number, key in enumerate(("", "no separator", "/", "a/x"))
        ]
        self.watcher.apply_records(records)
        self.assertEqual(list(self.watcher.evidence.get_seen_times()), ["a/x"])

    async def test_crashes_are_written_again_to_a_restored_store(self) -> None:
        """Guard against a blocked request that hosts which start later run again."""
        for target in ("x", "y", "z"):
            await self.interrupt("a", target, SHORT_PROGRESS_S)
        self.watcher.write_again()
        known = [make_crash("a", target) for target in ("x", "y", "z")]
        self.assertCountEqual(self.parts.written, known)
        self.assertIsNotNone(self.watcher.get_refusal("a"))


if __name__ == "__main__":
    unittest.main()
