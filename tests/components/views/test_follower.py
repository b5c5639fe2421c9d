"""Test which records a follower passes on."""

import unittest
from typing import Any, cast
from unittest import mock

from tests.components.boards import make_board
from trefoilstage.components.views.follower import ViewFollower
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


if __name__ == "__main__":
    unittest.main()
