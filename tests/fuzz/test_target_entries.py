"""Fuzz targets' entries from their bytes in the store to the choice of a target."""

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
    decode_configuration,
    decode_target,
)
from trefoilstage.platform.store import decode_keyed_record

SOUND = "i-sound"
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
SPOILT_ENTRIES = st.one_of(
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
    """Test what another writer's entries can bring about."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(entries=st.lists(st.tuples(st.binary(max_size=8), SPOILT_ENTRIES)))
    def test_spoilt_entries_cost_no_other(
        self, entries: list[tuple[bytes, bytes]]
    ) -> None:
        """Write entries of any bytes beside a sound one.

        Hosts go on using the sound one, whatever comes before and after it, and all
        that they would use besides has every field of an entry.
        """
        board = make_board("host-0", ["host-0"])
        watcher = BoardUpdater(
            board=board,
            configuration_key=CONFIGURATION_KEY,
            decode_configuration=decode_configuration,
            decode_target=decode_target,
        )
        view = KeyedView()
        sound = KeyedRecord(key=SOUND, offset=0, value=encode_entry())
        watcher.apply_records(Topic.TARGETS, view.merge([sound]), 1.0)
        for offset, (key, value) in enumerate(entries, start=1):
            record = decode_keyed_record(bytes([len(key)]) + key + value, offset)
            watcher.apply_records(Topic.TARGETS, view.merge([record]), 1.0)
        ready = board.targets.list_ready("x", 1.0)
        self.assertIn(SOUND, [entry.name for entry in ready])
        for entry in ready:
            self.check(entry)

    def check(self, entry: TargetEntry) -> None:
        """Check that an entry in use has the values of its types."""
        self.assertEqual(type(entry.slots), int)
        self.assertEqual(type(entry.started_ms), int)
        self.assertGreater(int(entry.address.rpartition(":")[2]), 0)

    def test_spoilt_entry_of_a_known_target_ends_its_use(self) -> None:
        """Overwrite a target's entry with one whose state nobody knows.

        It may say that the target leaves. The next proper entry brings it back.
        """
        board = make_board("host-0", ["host-0"])
        watcher = BoardUpdater(
            board=board,
            configuration_key=CONFIGURATION_KEY,
            decode_configuration=decode_configuration,
            decode_target=decode_target,
        )
        for offset, (state, n_ready) in enumerate(
            [("ready", 1), ("leaving", 0), ("ready", 1)]
        ):
            value = encode_entry(state=state)
            record = KeyedRecord(key=SOUND, offset=offset, value=value)
            watcher.apply_records(Topic.TARGETS, [record], 1.0)
            self.assertEqual(len(board.targets.list_ready("x", 1.0)), n_ready)


if __name__ == "__main__":
    unittest.main()
