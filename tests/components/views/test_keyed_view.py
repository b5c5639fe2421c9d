"""Test that a view never returns to an older value, whatever the record order."""

import random
import unittest

from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView


def make_record(offset: int, key: str, value: bytes | None) -> KeyedRecord:
    return KeyedRecord(key=key, offset=offset, value=value)


class KeyedViewTest(unittest.TestCase):
    """Test merging records and listings."""

    def test_newest_record_wins_in_any_order(self) -> None:
        """Merge the same records in random orders, some of them twice.

        Stale replies of the store and lagging peers deliver records late and more
        than once; an old record must not replace a newer configuration.
        """
        generator = random.Random(7)
        records = [
            make_record(
                offset,
                generator.choice("abc"),
                generator.choice([None, b"%d" % offset]),
            )
            for offset in range(40)
        ]
        newest = {record.key: record for record in records}
        for seed in range(50):
            order = random.Random(seed).choices(records, k=60) + records
            random.Random(seed).shuffle(order)
            view = KeyedView()
            for record in order:
                view.merge([record])
            self.assertEqual(view.records, newest)
            self.assertEqual(view.next_offset, 40)

    def test_stale_listing_restores_nothing(self) -> None:
        """Merge a listing that is older than records already merged."""
        view = KeyedView()
        view.merge([make_record(5, "config", b"new"), make_record(6, "later", b"x")])
        view.merge_listing([make_record(2, "config", b"old")], 4)
        self.assertEqual(view.records["config"].value, b"new")
        self.assertEqual(view.records["later"].value, b"x")
        self.assertEqual(view.next_offset, 7)

    def test_listing_without_a_key_deletes_it(self) -> None:
        """Learn of a deletion from a listing only, as its record has expired."""
        view = KeyedView()
        view.merge([make_record(1, "gone", b"x"), make_record(2, "kept", b"y")])
        changed = view.merge_listing([make_record(2, "kept", b"y")], 10)
        self.assertEqual([(item.key, item.value) for item in changed], [("gone", None)])

    def test_unchanged_value_is_not_reported(self) -> None:
        """Merge the same value at a later offset."""
        view = KeyedView()
        view.merge([make_record(1, "a", b"x")])
        self.assertEqual(view.merge([make_record(2, "a", b"x")]), [])

    def test_peer_gets_missing_records(self) -> None:
        """Merge another view's records from an offset on, including deleted keys."""
        view = KeyedView()
        view.merge([make_record(1, "a", b"x"), make_record(4, "b", None)])
        other = KeyedView()
        other.merge(view.list_since(2))
        self.assertEqual(other.records["b"].value, None)
        self.assertEqual(other.next_offset, 5)
