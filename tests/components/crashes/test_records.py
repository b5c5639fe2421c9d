"""Test the records and messages of crashes, also between builds."""

import unittest
from dataclasses import asdict

import cbor2

from trefoilstage.components.crashes.fingerprint import MAX_PARTS, identify_parts
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    Crash,
    SoundPart,
    decode_record,
    make_crash,
)
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView
from trefoilstage.exceptions import MalformedMessageError

MAX_KEY_BYTES = 255
CRASH = make_crash("a", "x", parts=("p", "q"), at_ms=1_700_000_000_000)


def decode(key: str, value: bytes | None) -> Crash | SoundPart:
    """Return what a record with a key and a value represents."""
    return decode_record(KeyedRecord(key=key, offset=1, value=value))


class RecordTest(unittest.TestCase):
    """Test the records in the store."""

    def test_record_keeps_the_parts_and_the_time(self) -> None:
        """Guard against hosts that learn of a crash without its prompt's parts."""
        read = decode(CRASH.key, CRASH.value)
        self.assertEqual(asdict(read), asdict(CRASH))
        self.assertEqual(decode("sound|p", b"17"), SoundPart(part="p"))

    def test_part_that_is_cleared_again_is_noticed(self) -> None:
        """Guard against a second clearing that hosts take for the first."""
        view = KeyedView()
        records = [
            KeyedRecord(key=sound.key, offset=sound.at_ms, value=sound.value)
            for sound in (SoundPart(part="p", at_ms=1), SoundPart(part="p", at_ms=2))
        ]
        self.assertEqual([len(view.merge([record])) for record in records], [1, 1])

    def test_record_of_an_earlier_build_counts_without_parts(self) -> None:
        """Guard against crashes that are lost while two builds run."""
        read = decode(CRASH.key, b"1")
        self.assertEqual(asdict(read), asdict(make_crash("a", "x")))

    def test_earlier_build_skips_a_sound_part(self) -> None:
        """Guard against a record that earlier builds take for a crash."""
        self.assertNotIn("/", SoundPart(part=identify_parts(["a/b"])[0]).key)

    def test_malformed_values_are_refused(self) -> None:
        """Guard against values that stop the handling of other records."""
        for value in (b"", b"[]", b'{"parts": 1}', b"\xff", b'{"at_ms": -1}'):
            with self.assertRaises(MalformedMessageError, msg=value):
                decode(CRASH.key, value)

    def test_names_and_number_of_parts_are_limited(self) -> None:
        """Guard against prompts whose parts fill memory or make keys too long."""
        names = ["p" * 10_000, "ü", *(f"n{number}" for number in range(10_000))]
        parts = identify_parts(names)
        self.assertEqual(len(parts), MAX_PARTS)
        for part in parts:
            self.assertLess(len(SoundPart(part=part).key.encode()), MAX_KEY_BYTES)


class ReportTest(unittest.TestCase):
    """Test the reports between hosts."""

    def test_report_keeps_the_parts(self) -> None:
        """Guard against peers that learn of a crash without its prompt's parts."""
        report = CrashReport(host="h", crashes=(CRASH,), sound_parts=("p",))
        frame = Frame(number=1, reply=False, body=report)
        decoded = FLEET_CODEC.decode(FLEET_CODEC.encode(frame)).body
        self.assertEqual(asdict(decoded), asdict(report))

    def test_reports_of_other_builds_are_read(self) -> None:
        """Guard against reports that are refused while two builds run."""
        crash = {"fingerprint": "a", "target": "x"}
        report = {"kind": "crash_report", "host": "h", "crashes": [crash]}
        expected = asdict(CrashReport(host="h", crashes=(make_crash("a", "x"),)))
        for more in ({}, {"of_a_later_build": 1}):
            body = {**report, **more}
            sent = cbor2.dumps({"number": 1, "reply": False, "body": body})
            self.assertEqual(asdict(FLEET_CODEC.decode(sent).body), expected)


if __name__ == "__main__":
    unittest.main()
