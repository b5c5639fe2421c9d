"""Test how long and how many versions of streams are kept."""

import unittest

from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.stream_versions.table import (
    MAX_STREAMS,
    RETENTION_S,
    StreamTable,
)

V1 = StreamVersion(service="assistant", version="v1")
V2 = StreamVersion(service="assistant", version="v2")


class StreamTableTest(unittest.TestCase):
    """Add streams to a table and look them up."""

    def test_streams_expire(self) -> None:
        """Guard against a table that grows for as long as a host runs."""
        table = StreamTable()
        table.add(["s-1"], V1, 0.0)
        table.add(["s-2"], V1, RETENTION_S)
        self.assertEqual(table.get("s-1"), V1)
        table.add(["s-3"], V1, RETENTION_S + 1.0)
        self.assertIsNone(table.get("s-1"))
        self.assertEqual(table.get("s-2"), V1)

    def test_number_of_streams_is_limited(self) -> None:
        """Guard against a burst of streams that fills the memory."""
        table = StreamTable()
        table.add((f"s-{number}" for number in range(MAX_STREAMS + 2)), V1, 0.0)
        self.assertEqual(len(table.streams), MAX_STREAMS)
        self.assertIsNone(table.get("s-1"))
        self.assertEqual(table.get(f"s-{MAX_STREAMS}"), V1)

    def test_streams_under_one_id_are_not_told_apart(self) -> None:
        """Guard against a guess where a caller used an id for two streams."""
        table = StreamTable()
        table.add(["s-1"], V1, 0.0)
        table.add(["s-1"], V1, 1.0)
        self.assertEqual(table.get("s-1"), V1)
        table.add(["s-1"], V2, 2.0)
        self.assertIsNone(table.get("s-1"))
        table.add(["s-1"], V2, 3.0)
        self.assertIsNone(table.get("s-1"))
        self.assertEqual(table.count_by_version(), {})


if __name__ == "__main__":
    unittest.main()
