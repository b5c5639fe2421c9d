"""Fuzz target entries from their bytes in the store to the list of ready targets."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.components.boards import make_board
from tests.platform.test_configuration import ENTRY, encode_entry
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView
from trefoilstage.components.views.store import Topic
from trefoilstage.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_configuration,
    decode_target,
)
from trefoilstage.platform.store import decode_keyed_record

VALID_NAME = "i-valid"
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**18, max_value=10**40)
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
DEEP = b"[" * 100_000
HUGE = json.dumps({**ENTRY, "service": "s" * 1_000_000}).encode()
MALFORMED_ENTRIES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from([DEEP, HUGE, b"null", b"{}", b"\xff\xfe"]),
    st.dictionaries(st.sampled_from([*ENTRY, "born"]), JSON_VALUES).map(
        lambda fields: json.dumps({**ENTRY, **fields}).encode()
    ),
    st.sampled_from(list(ENTRY)).map(
        lambda name: json.dumps({k: v for k, v in ENTRY.items() if k != name}).encode()
    ),
)


class TargetEntryFuzz(unittest.TestCase):
    """Test that malformed entries do not affect other targets."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(entries=st.lists(st.tuples(st.binary(max_size=8), MALFORMED_ENTRIES)))
    def test_malformed_entries_do_not_affect_a_valid_one(
        self, entries: list[tuple[bytes, bytes]]
    ) -> None:
        """Write malformed entries next to a valid one.

        Hosts keep using the valid entry, and every other entry that they accept
        has all fields with values of their types.
        """
        board = make_board("host-0", ["host-0"])
        updater = BoardUpdater(
            board=board,
            configuration_key=CONFIGURATION_KEY,
            evacuation_prefix=EVACUATION_PREFIX,
            decode_configuration=decode_configuration,
            decode_target=decode_target,
        )
        view = KeyedView()
        valid = KeyedRecord(key=VALID_NAME, offset=0, value=encode_entry())
        updater.apply_records(Topic.TARGETS, view.merge([valid]), 1.0)
        for offset, (key, value) in enumerate(entries, start=1):
            record = decode_keyed_record(bytes([len(key)]) + key + value, offset)
            updater.apply_records(Topic.TARGETS, view.merge([record]), 1.0)
        ready = board.targets.list_ready("x", 1.0)
        self.assertIn(VALID_NAME, [entry.name for entry in ready])
        for entry in ready:
            self.check(entry)

    def check(self, entry: TargetEntry) -> None:
        """Check that the fields of an accepted entry have their types."""
        self.assertEqual(type(entry.slots), int)
        self.assertEqual(type(entry.started_ms), int)
        self.assertGreater(int(entry.address.rpartition(":")[2]), 0)

    def test_entry_with_an_unknown_state_removes_the_target(self) -> None:
        """Overwrite a target's entry with one whose state is unknown.

        The new state may mean that the target is leaving, so hosts stop using it. The
        next valid entry brings it back.
        """
        board = make_board("host-0", ["host-0"])
        updater = BoardUpdater(
            board=board,
            configuration_key=CONFIGURATION_KEY,
            evacuation_prefix=EVACUATION_PREFIX,
            decode_configuration=decode_configuration,
            decode_target=decode_target,
        )
        for offset, (state, n_ready) in enumerate(
            [("ready", 1), ("leaving", 0), ("ready", 1)]
        ):
            value = encode_entry(state=state)
            record = KeyedRecord(key=VALID_NAME, offset=offset, value=value)
            updater.apply_records(Topic.TARGETS, [record], 1.0)
            self.assertEqual(len(board.targets.list_ready("x", 1.0)), n_ready)


if __name__ == "__main__":
    unittest.main()
