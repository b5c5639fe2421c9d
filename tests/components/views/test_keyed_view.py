"""Test that a view never goes back, whatever order records arrive in."""

import random
import unittest

from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView


def make_record(offset: int, key: str, value: bytes | None) -> KeyedRecord:
    """Return a record."""
    return KeyedRecord(key=key, offset=offset, value=value)


class KeyedViewTest(unittest.TestCase):
    """Test the merge of records and listings."""

    def test_any_order_gives_the_newest(self) -> None:
        """Merge the same records in random orders, some of them twice.

        The store's answers may come from an old state and peers lag, so a host
        gets records late and again. A configuration must never go back.
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

    def test_old_listing_brings_nothing_back(self) -> None:
        """Take a listing that was made before the newest records were read."""
        view = KeyedView()
        view.merge([make_record(5, "config", b"new"), make_record(6, "later", b"x")])
        view.merge_listing([make_record(2, "config", b"old")], 4)
        self.assertEqual(view.records["config"].value, b"new")
        self.assertEqual(view.records["later"].value, b"x")
        self.assertEqual(view.next_offset, 7)

    def test_listing_without_a_key_drops_it(self) -> None:
        """Miss the record that dropped a key, whose history has expired."""
        view = KeyedView()
        view.merge([make_record(1, "gone", b"x"), make_record(2, "kept", b"y")])
        changed = view.merge_listing([make_record(2, "kept", b"y")], 10)
        self.assertEqual([(item.key, item.value) for item in changed], [("gone", None)])

    def test_unchanged_value_is_no_change(self) -> None:
        """Merge the same value at a later offset."""
        view = KeyedView()
        view.merge([make_record(1, "a", b"x")])
        self.assertEqual(view.merge([make_record(2, "a", b"x")]), [])

    def test_peer_gets_what_it_lacks(self) -> None:
        """Pass on the records from an offset on, dropped keys among them."""
        view = KeyedView()
        view.merge([make_record(1, "a", b"x"), make_record(4, "b", None)])
        other = KeyedView()
        other.merge(view.list_since(2))
        self.assertEqual(other.records["b"].value, None)
        self.assertEqual(other.next_offset, 5)
