"""Test which records a follower passes on."""

import asyncio
import unittest
from typing import Any, cast
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from standins.keyed_store import KeyedStore
from tests.components.boards import make_board
from trefoilstage.components.views.follower import REWRITE_S, ViewFollower
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic


class RepeatedRecordTest(unittest.IsolatedAsyncioTestCase):
    """Merge two records of one key that differ in their offsets only."""

    def count_passed_on(self, topic: Topic, value: bytes | None) -> int:
        """Return how many of the records a follower of a topic passes on."""
        passed_on: list[KeyedRecord] = []
        follower = ViewFollower(
            board=make_board("host-0", ["host-0"]),
            store=cast(Any, mock.Mock()),
            topic=topic,
            wait_s=0.0,
            get_pause=lambda: 0.0,
            on_change=passed_on.extend,
            on_restored=mock.Mock(),
        )
        for offset in range(2):
            follower.merge([KeyedRecord(key="i-1", offset=offset, value=value)])
        return len(passed_on)

    async def test_repeated_entry_of_a_target_is_passed_on(self) -> None:
        """Guard against a target that turns cold again for the same time unnoticed.

        Its entry says how long it is cold from when the entry was written.
        """
        self.assertEqual(self.count_passed_on(Topic.TARGETS, b"cold for 3 s"), 2)

    async def test_other_repeated_records_are_not_passed_on(self) -> None:
        """Guard against work for records that change nothing."""
        self.assertEqual(self.count_passed_on(Topic.HOSTS, b"x"), 1)
        self.assertEqual(self.count_passed_on(Topic.TARGETS, None), 0)


class RestoredStoreTest(unittest.TestCase):
    """Follow a topic of a store that comes back from an older copy."""

    def follow(self, topic: Topic, *, value_after: bytes | None = None) -> list[str]:
        """Return the changes of key b, which the copy lacks, as "time value"."""
        return run_in_virtual_time(self._follow(topic, value_after))

    async def _follow(self, topic: Topic, value_after: bytes | None) -> list[str]:
        loop = asyncio.get_running_loop()
        store = KeyedStore()
        changes: list[str] = []

        def record(records: list[KeyedRecord]) -> None:
            changes.extend(
                f"{loop.time() - restored_at:.0f} {item.value!r}"
                for item in records
                if item.key == "b"
            )

        self.on_restored = mock.Mock()
        self.board = make_board("host-0", ["host-0"])
        follower = ViewFollower(
            board=self.board,
            store=store,
            topic=topic,
            wait_s=0.0,
            get_pause=lambda: 0.1,
            on_change=record,
            on_restored=self.on_restored,
        )
        restored_at = loop.time()
        await store.put(topic, "a", b"1")
        copy = store.make_copy()
        await store.put(topic, "b", b"1")
        await follower.on_start()
        await asyncio.sleep(1.0)
        changes.clear()
        store.restore(copy)
        restored_at = loop.time()
        await store.put(topic, "c", b"1")
        if value_after is not None:
            await asyncio.sleep(1.0)
            await store.put(topic, "b", value_after)
        await asyncio.sleep(2 * REWRITE_S)
        self.assertEqual(follower.view.records["c"].value, b"1")
        await follower.stop()
        return changes

    def test_record_under_an_offset_given_out_again_is_read(self) -> None:
        """Guard against a follower that waits for the offset that it had reached.

        The offset of c is the one that b had before.
        """
        self.follow(Topic.CONFIGURATION)
        self.on_restored.assert_called_once()
        self.assertEqual(self.board.store.n_restored, 1)

    def test_record_that_the_copy_lacks_is_kept_until_it_is_written_again(self) -> None:
        """Guard against an evacuation that ends, or a peer that is forgotten."""
        changes = self.follow(Topic.CONFIGURATION, value_after=b"2")
        self.assertEqual(changes, ["1 b'2'"])

    def test_record_that_is_not_written_again_is_deleted_in_the_end(self) -> None:
        """Guard against a target that is used for good though it is gone."""
        self.assertEqual(self.follow(Topic.TARGETS), ["2 None"])
        self.assertEqual(self.follow(Topic.CONFIGURATION), ["5 None"])


if __name__ == "__main__":
    unittest.main()
