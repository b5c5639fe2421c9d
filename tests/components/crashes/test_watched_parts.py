"""Test how a host handles prompt parts under which targets crash."""

import asyncio
import unittest

from tests.components.crashes.common import (
    SHORT_PROGRESS_S,
    WatcherTestCase,
    make_run,
)
from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS
from trefoilstage.components.crashes.completed_runs import CRASHES_WITHIN_S
from trefoilstage.components.crashes.evidence import (
    BLOCKED_RETENTION_S,
    SUSPECT_RETENTION_S,
)
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    CrashRecord,
    SoundPart,
    make_crash,
)
from trefoilstage.components.crashes.probe import ProbeResult
from trefoilstage.components.crashes.watcher import (
    CLEAR_DELAY_S,
    MIN_RUNS_TO_CLEAR,
)
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.helpers.verdict import Reason


class WatchedPartsTest(WatcherTestCase):
    """Test which parts one host's watcher blocks and clears."""

    async def crash_under_part(self, part: str, targets: str = "xyz") -> None:
        """Interrupt a different request with a part at each target."""
        for target in targets:
            # The crashes are apart, as targets that crash together count once.
            self.watcher._unix_offset_s += 1.0
            await self.interrupt(f"{part}-{target}", target, 0.0, part)

    async def test_part_is_blocked_in_ever_new_requests(self) -> None:
        """Guard against hosts that recognize only whole requests."""
        await self.crash_under_part("dead")
        refusal = self.watcher.get_refusal("new", ("all", "dead"))
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.CRASHES_TARGETS)
        self.assertAlmostEqual(
            refusal.retry_after_s or 0.0, BLOCKED_RETENTION_S, delta=1.0
        )
        self.assertIsNone(self.watcher.get_refusal("new", ("all",)))

    async def test_part_that_ran_lately_is_not_suspected(self) -> None:
        """Guard against blocking a part that all sound requests hold."""
        self.watcher.record_harmless("sound", ["all"])
        for target in "xyz":
            self.watcher._unix_offset_s += 1.0
            await self.interrupt(f"dead-{target}", target, 0.0, "all", "dead")
        self.assertEqual({item.parts for item in self.parts.recorded}, {("dead",)})
        self.assertIsNotNone(self.watcher.get_refusal("new", ("dead", "other")))

    async def test_part_known_to_run_here_is_not_blocked_by_reports(self) -> None:
        """Guard against a popular part that a host without knowledge reports."""
        self.watcher.record_harmless("sound", ["all"])
        crashes = [make_crash(f"r-{item}", item, parts=("all",)) for item in "xyz"]
        await self.watcher._handle_report(
            CrashReport(host="host-1", crashes=tuple(crashes))
        )
        self.assertIsNone(self.watcher.get_refusal("new", ("all",)))

    async def test_what_ran_here_lately_is_cleared_on_all_hosts(self) -> None:
        """Guard against hosts that block what others know to be harmless."""
        for _ in range(MIN_RUNS_TO_CLEAR):
            self.watcher.record_harmless("a", ["p"])
        for other in ("a", "r"):
            crashes = tuple(
                make_crash(other if other == "a" else f"r-{item}", item, parts=("p",))
                for item in "xyz"
            )
            await self.watcher._handle_report(
                CrashReport(host="host-1", crashes=crashes)
            )
            await asyncio.sleep(2 * CLEAR_DELAY_S)
        self.assertEqual(self.parts.cleared, ["a"])
        self.assertEqual(self.parts.cleared_parts, ["p"])

    async def test_part_that_runs_is_cleared_on_all_hosts(self) -> None:
        """Guard against a sound part that stays blocked at hosts where it never ran."""
        await self.crash_under_part("sound")
        self.watcher.record_harmless("old", ["sound"])
        self.assertIsNone(self.watcher.get_refusal("new", ("sound", "all")))
        self.assertEqual(self.parts.cleared_parts, ["sound"])
        self.watcher.record_harmless("old", ["sound"])
        self.assertEqual(self.parts.cleared_parts, ["sound"])

    async def test_part_with_one_crash_is_not_cleared_on_all_hosts(self) -> None:
        """Guard against a write of each host for each crash under a popular part."""
        await self.crash_under_part("popular", "x")
        self.watcher.record_harmless("sound", ["popular"])
        self.assertEqual(self.parts.cleared_parts, [])

    async def test_sound_part_of_the_store_and_of_peers_is_unblocked(self) -> None:
        """Guard against a sound part that stays blocked on the other hosts."""
        sound = SoundPart(part="sound")
        await self.crash_under_part("sound")
        self.watcher.apply_records([KeyedRecord(key=sound.key, offset=9, value=b"1")])
        self.assertIsNone(self.watcher.get_refusal("new", ("sound", "all")))
        await self.crash_under_part("sound", "uvw")
        self.assertIsNotNone(self.watcher.get_refusal("new", ("sound", "all")))
        report = CrashReport(host="host-1", sound_parts=("sound",), relay=True)
        await self.watcher._handle_report(report)
        self.assertIsNone(self.watcher.get_refusal("new", ("sound", "all")))
        self.assertEqual(self.parts.written, [sound])

    async def test_new_host_takes_a_part_as_blocked_from_later_crashes_only(
        self,
    ) -> None:
        """Guard against records that are applied in another order than written."""
        sound = SoundPart(part="p")
        crashes = [make_crash(f"r-{item}", item, parts=("p",)) for item in "uvwxyz"]
        written: list[CrashRecord] = [*crashes[:3], sound, *crashes[3:]]
        records = [
            KeyedRecord(key=item.key, offset=offset, value=item.value)
            for offset, item in enumerate(written)
        ]
        self.watcher.apply_records(records[3::-1])
        self.assertIsNone(self.watcher.get_refusal("new", ("p",)))
        self.watcher.apply_records(records[:3:-1])
        self.assertIsNotNone(self.watcher.get_refusal("new", ("p",)))

    async def test_first_bytes_of_an_answer_clear_nothing(self) -> None:
        """Guard against a crashing part that is cleared as its answer begins."""
        await self.crash_under_part("dead", "xy")
        self.watcher._unix_offset_s += 1.0
        await self.interrupt("dead-z", "z", SHORT_PROGRESS_S, "dead")
        self.assertIsNotNone(self.watcher.get_refusal("new", ("dead", "all")))

    async def test_short_answer_before_a_crash_counts_as_interrupted(self) -> None:
        """Guard against a crashing part that a short whole answer clears."""
        for target in "xyz":
            self.watcher._unix_offset_s += 1.0
            self.watcher.record_completed(
                make_run(f"r-{target}", target, "dead"),
                progress_s=CRASHES_WITHIN_S / 2,
                is_end_certain=True,
            )
            await self.interrupt(f"other-{target}", target, 0.0)
            await asyncio.sleep(1.5 * CRASHES_WITHIN_S)
        self.assertIsNotNone(self.watcher.get_refusal("new", ("dead",)))

    async def complete(self, number: int, target: str) -> None:
        """Let a target send a short whole answer, and pass the time that it counts."""
        run = make_run(f"r-{number}", target, "dead")
        self.watcher.record_completed(run, progress_s=0.0, is_end_certain=True)
        await asyncio.sleep(1.1 * CRASHES_WITHIN_S)
        await self.watcher._expire()

    async def test_short_answers_of_unnoticed_crashes_clear_nothing(self) -> None:
        """Guard against a crashing part that one host takes as sound, and clears."""
        await self.complete(0, "u")
        await self.crash_under_part("dead")
        self.assertIsNotNone(self.watcher.get_refusal("new", ("dead",)))
        await self.complete(1, "v")
        self.assertEqual(self.parts.cleared_parts, [])
        self.assertIsNotNone(self.watcher.get_refusal("new", ("dead",)))

    async def test_short_answer_is_suspect_as_soon_as_its_target_stops(self) -> None:
        """Guard against a crash that counts only after further targets crashed."""
        run = make_run("r", "x", "dead")
        self.watcher.record_completed(run, progress_s=0.0, is_end_certain=True)
        await self.interrupt("other", "x", 0.0)
        recorded = {item.fingerprint: item.parts for item in self.parts.recorded}
        self.assertEqual(recorded, {"other": (), "r": ("dead",)})

    async def test_short_answer_of_a_target_that_others_saw_stop_is_suspect(
        self,
    ) -> None:
        """Guard against a crash that only the other hosts notice."""
        run = make_run("r", "x", "dead")
        self.watcher.record_completed(run, progress_s=0.0, is_end_certain=True)
        report = CrashReport(host="host-1", crashes=(make_crash("other", "x"),))
        await self.watcher._handle_report(report)
        await asyncio.sleep(1.1 * CRASHES_WITHIN_S)
        await self.watcher._expire()
        self.assertEqual([item.parts for item in self.parts.recorded], [("dead",)])

    async def test_one_run_clears_nothing_on_other_hosts(self) -> None:
        """Guard against a crashing part that all hosts serve for one short answer."""
        self.watcher.record_harmless("a", ["dead"], is_certain=False)
        crashes = [make_crash(f"r-{item}", item, parts=("dead",)) for item in "xyz"]
        report = CrashReport(host="host-1", crashes=tuple(crashes))
        await self.watcher._handle_report(report)
        await asyncio.sleep(2 * CLEAR_DELAY_S)
        self.assertEqual(self.parts.cleared_parts, [])

    async def test_request_that_targets_keep_answering_is_not_suspected(self) -> None:
        """Guard against blocking a frequent request when targets end at a start."""
        for target in "uv":
            self.watcher.record_completed(
                make_run("a", target), progress_s=0.0, is_end_certain=True
            )
        for target in "xyz":
            await self.interrupt("a", target, 0.0)
        self.assertIsNone(self.watcher.get_refusal("a"))
        self.assertEqual(self.parts.recorded, [])

    async def test_whole_answer_clears_once_its_target_went_on(self) -> None:
        """Guard against a sound part that is never cleared by short answers."""
        await self.crash_under_part("sound", "xy")
        self.parts.result = ProbeResult.ACCEPTED
        self.watcher.record_completed(
            make_run("r", "z", "sound"), progress_s=0.0, is_end_certain=True
        )
        self.assertEqual(self.parts.cleared_parts, [])
        await asyncio.sleep(1.5 * CRASHES_WITHIN_S)
        self.assertEqual(self.parts.cleared_parts, ["sound"])

    async def test_answer_that_took_a_while_clears_at_once(self) -> None:
        """Guard against a sound request blamed for a crash after its answer."""
        await self.crash_under_part("sound", "xy")
        self.watcher.record_completed(
            make_run("r", "z", "sound"),
            progress_s=2 * CRASHES_WITHIN_S,
            is_end_certain=True,
        )
        self.assertEqual(self.parts.cleared_parts, ["sound"])

    async def test_answer_that_only_its_connection_ends_is_probed(self) -> None:
        """Guard against a crash that looks like the end of an answer."""
        for target in "xyz":
            self.watcher._unix_offset_s += 1.0
            self.watcher.record_completed(
                make_run(f"r-{target}", target, "dead"),
                progress_s=0.0,
                is_end_certain=False,
            )
        await asyncio.sleep(1.5 * CRASHES_WITHIN_S)
        self.watcher._unix_offset_s += 1.0
        self.assertEqual(len(self.parts.recorded), 3)

    async def test_part_that_crashed_targets_since_is_not_cleared_again(self) -> None:
        """Guard against a restored store that clears a part of its later crashes."""
        report = CrashReport(host="host-1", sound_parts=("p",))
        await self.watcher._handle_report(report)
        await self.crash_under_part("p")
        self.watcher.write_again()
        self.assertNotIn(SoundPart(part="p"), self.parts.written)
        self.assertEqual(len(self.parts.written), MIN_CRASHED_TARGETS)

    async def test_sound_parts_are_written_again_and_expire(self) -> None:
        """Guard against records that a restored store lacks, or keeps forever."""
        report = CrashReport(host="host-1", sound_parts=("p",))
        await self.watcher._handle_report(report)
        self.watcher.write_again()
        self.assertEqual(self.parts.written, [SoundPart(part="p")])
        await self.watcher._expire()
        self.assertEqual(self.parts.deleted, [])
        self.watcher._sound_parts["p"] -= SUSPECT_RETENTION_S + 1.0
        await self.watcher._expire()
        self.assertEqual(self.parts.deleted, [SoundPart(part="p")])


if __name__ == "__main__":
    unittest.main()
