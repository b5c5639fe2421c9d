"""Test what a host concludes from requests that targets cut."""

import asyncio
import unittest
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from trefoilstage.components.crashes.evidence import BLOCKED_AGE_S, MIN_CRASHES
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, make_crash
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.crashes.watcher import BEGINNING_S, LEFT_S, CrashWatcher
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.helpers.verdict import Reason

BEGAN_S = BEGINNING_S / 2
RAN_S = 2 * BEGINNING_S


@dataclass(kw_only=True)
class Parts:
    """Stand in for the parts beside the watcher, and note what it tells them."""

    result: ProbeResult = ProbeResult.REFUSED
    probed: list[str] = field(default_factory=list)
    recorded: list[Crash] = field(default_factory=list)
    cleared: list[str] = field(default_factory=list)
    relayed: list[Crash] = field(default_factory=list)

    async def connect(self, address: str) -> ProbeResult:
        self.probed.append(address)
        return self.result

    def register(self, *_: object) -> None: ...

    def record(self, crashes: Sequence[Crash]) -> None:
        self.recorded += crashes

    def clear(self, fingerprint: str, _: Sequence[Crash]) -> None:
        self.cleared.append(fingerprint)

    def write(self, crashes: Sequence[Crash]) -> None:
        self.relayed += crashes


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """Test one host's watcher without a network."""

    async def asyncSetUp(self) -> None:
        self.parts = Parts()
        part = cast(Any, self.parts)
        self.watcher = CrashWatcher(
            host="host-0",
            probe=part,
            recorder=part,
            server=part,
            timer=part,
            list_live_hosts=lambda: ("host-0",),
        )

    async def cut(self, fingerprint: str, target: str, progress_s: float) -> None:
        self.watcher.note_cut(
            fingerprint, target=target, address=f"{target}:1", progress_s=progress_s
        )
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_request_is_blocked_after_three_targets(self) -> None:
        """Guard against a request that goes on to end one target after the other."""
        for target in ("x", "y"):
            await self.cut("a", target, BEGAN_S)
        self.assertIsNone(self.watcher.check("a"))
        await self.cut("a", "z", BEGAN_S)
        refusal = self.watcher.check("a")
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.CRASHES_TARGETS)
        self.assertAlmostEqual(refusal.retry_after_s or 0.0, BLOCKED_AGE_S, delta=1.0)
        self.assertEqual(len(self.parts.recorded), MIN_CRASHES)

    async def test_living_target_counts_against_nobody(self) -> None:
        """Guard against blocking requests whose answers break off at sound targets."""
        self.parts.result = ProbeResult.ACCEPTED
        for target in ("x", "y", "z"):
            await self.cut("a", target, 0.0)
        self.assertEqual(self.parts.recorded, [])
        self.assertIsNone(self.watcher.check("a"))

    async def test_requests_cut_together_cost_one_probe(self) -> None:
        """Guard against a connection to the target for each request that it cut."""
        for fingerprint in ("a", "b", "c"):
            self.watcher.note_cut(
                fingerprint, target="x", address="x:1", progress_s=0.0
            )
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(self.parts.probed, ["x:1"])
        self.assertEqual(len(self.parts.recorded), 3)

    async def test_request_that_had_run_for_a_while_is_cleared(self) -> None:
        """Guard against blocking a long stream that crashes cut again and again."""
        for target in ("x", "y", "z"):
            await self.cut("a", target, BEGAN_S)
        await self.cut("a", "v", RAN_S)
        self.assertIsNone(self.watcher.check("a"))
        self.assertEqual(self.parts.cleared, ["a"])
        self.assertNotIn("v:1", self.parts.probed)

    async def test_completed_request_is_cleared_once(self) -> None:
        """Guard against a suspect that stays one though a target completed it."""
        await self.cut("a", "x", BEGAN_S)
        for _ in range(2):
            self.watcher.note_sound("a")
        self.assertEqual(self.parts.cleared, ["a"])

    async def test_target_that_ends_after_its_caller_has_left_is_seen(self) -> None:
        """Guard against crashes that nobody sees as the caller is impatient."""
        await self.cut("a", "x", BEGAN_S)
        for fingerprint in ("a", "unknown"):
            self.watcher.note_left(
                fingerprint, target="y", address="y:1", progress_s=0.0
            )
        await asyncio.sleep(1.1 * LEFT_S)
        self.assertEqual(self.parts.recorded[1:], [make_crash("a", "y")])

    async def test_peers_and_the_store_count_like_own_crashes(self) -> None:
        """Guard against hosts that count only the crashes that they saw themselves."""
        await self.cut("a", "x", BEGAN_S)
        report = CrashReport(host="host-1", crashes=(make_crash("a", "y"),), relay=True)
        await self.watcher._take_report(report)
        self.assertEqual(self.parts.relayed, list(report.crashes))
        record = KeyedRecord(key=make_crash("a", "z").key, offset=1, value=b"1")
        self.watcher.take_records([record])
        self.assertIsNotNone(self.watcher.check("a"))
        self.watcher.take_records([KeyedRecord(key=record.key, offset=2, value=None)])
        self.assertIsNone(self.watcher.check("a"))

    async def test_record_that_names_nothing_is_passed_over(self) -> None:
        """Guard against another writer's record that stops the others."""
        records = [
            KeyedRecord(key=key, offset=number, value=b"1")
            for number, key in enumerate(("", "no separator", "/", "a/x"))
        ]
        self.watcher.take_records(records)
        self.assertEqual(list(self.watcher.evidence.list_all()), ["a/x"])


if __name__ == "__main__":
    unittest.main()
