"""Test how hosts learn how many requests a target had when it stopped."""

import unittest
from dataclasses import asdict

from trefoilstage.components.crashes.completed_runs import Run
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    MAX_TARGET_NAME_BYTES,
    TargetLoad,
    decode_record,
    make_crash,
)
from trefoilstage.components.crashes.target_loads import (
    CUT_TOGETHER_S,
    SAME_CRASH_MS,
    CutRequests,
    TargetLoads,
)
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.views.keyed_view import KeyedRecord

N_SLOTS = 4


def make_load(
    target: str, host: str, n_own: int, n_all: int = 0, at_ms: int = 0
) -> TargetLoad:
    """Return what a host knows of a target's requests."""
    return TargetLoad(
        target=target,
        host=host,
        n_own=n_own,
        n_all=n_all,
        n_slots=N_SLOTS,
        at_ms=at_ms,
    )


class TargetLoadsTest(unittest.TestCase):
    """Test which crashes overload explains."""

    def setUp(self) -> None:
        self.loads = TargetLoads()

    def test_requests_of_all_hosts_add_up(self) -> None:
        """Guard against a full target of which each host knows a part."""
        self.loads.add(make_load("x", "host-0", 2))
        self.assertTrue(self.loads.is_firm("x"))
        self.loads.add(make_load("x", "host-1", 2))
        self.assertFalse(self.loads.is_firm("x"))

    def test_repeated_reports_count_once(self) -> None:
        """Guard against an idle target that looks full as a host reports twice."""
        for n_own in (1, 2, 1):
            self.loads.add(make_load("x", "host-0", n_own, n_own))
        self.assertEqual(self.loads.count_running("x"), 2)

    def test_hosts_that_name_different_starts_add_up(self) -> None:
        """Guard against a full target of which hosts know different starts.

        In soak seed 114, some hosts had read the entry of a target's new start and
        others had not, so that each of both starts looked idle.
        """
        self.loads.add(make_load("x@1~1", "host-0", 2, at_ms=1_000))
        self.loads.add(make_load("x@2", "host-1", 2, at_ms=1_000 + SAME_CRASH_MS))
        for target in ("x@1~1", "x@2"):
            self.assertFalse(self.loads.is_firm(target))
        self.loads.add(make_load("x@3", "host-1", 2, at_ms=1_000 + 3 * SAME_CRASH_MS))
        self.assertTrue(self.loads.is_firm("x@3"))

    def test_target_counts_from_the_reports_until_it_is_decided(self) -> None:
        """Guard against crashes that never count, or count before hosts reported."""
        self.assertTrue(self.loads.open("x"))
        self.assertFalse(self.loads.is_firm("x"))
        self.loads.close("x")
        self.assertTrue(self.loads.is_firm("x"))
        self.assertFalse(self.loads.open("x"))
        self.assertTrue(self.loads.is_firm("x"))

    def test_requests_cut_long_before_do_not_count(self) -> None:
        """Guard against a crash of an idle target excused by earlier broken answers."""
        cuts = CutRequests(host="host-0", count_requests=lambda _: 0)
        for _ in range(N_SLOTS):
            cuts.add("x@1", 0.0)
        cuts.add("x@1", 2 * CUT_TOGETHER_S)
        run = Run(
            fingerprint="a", parts=(), target="x@1", address="x:1", n_slots=N_SLOTS
        )
        load = cuts.make_load(run, "x@1", 2 * CUT_TOGETHER_S, 1)
        assert load is not None
        self.assertEqual(load.n_own, 1)


class RecordTest(unittest.TestCase):
    """Test the loads in records and messages."""

    def test_records_and_reports_keep_the_load(self) -> None:
        """Guard against hosts that start later and block for overload."""
        load = make_load("x", "h", N_SLOTS)
        crash = make_crash("a", "x", at_ms=1, load=load, is_trial=True)
        read = decode_record(KeyedRecord(key=crash.key, offset=1, value=crash.value))
        self.assertEqual(asdict(read), asdict(crash))
        report = CrashReport(host="h", crashes=(crash,), loads=(load,), trials=("a",))
        frame = Frame(number=1, reply=False, body=report)
        decoded = FLEET_CODEC.decode(FLEET_CODEC.encode(frame)).body
        self.assertEqual(asdict(decoded), asdict(report))

    def test_fields_of_a_later_build_are_skipped(self) -> None:
        """Guard against crashes that a host of an earlier build refuses to read."""
        value = b'{"at_ms": 1, "later": {"n": 1}, "load": null}'
        read = decode_record(KeyedRecord(key="a/x", offset=1, value=value))
        self.assertEqual(asdict(read), asdict(make_crash("a", "x", at_ms=1)))

    def test_load_of_a_known_crash_counts(self) -> None:
        """Guard against hosts whose equal requests were cut at the same target."""
        evidence = CrashEvidence()
        for target in "xyz":
            for host in ("host-0", "host-1"):
                load = make_load(target, host, N_SLOTS // 2)
                evidence.add(make_crash("often", target, load=load), 0.0)
        self.assertFalse(evidence.blocked_fingerprints)
        self.assertEqual(evidence.weak_causes.fingerprints, {"often"})

    def test_one_crash_by_two_names_counts_once(self) -> None:
        """Guard against blocking for one crash that hosts know by different starts."""
        evidence = CrashEvidence()
        for target, at_ms in (("x@1", 1_000), ("x@2", 1_100), ("y@1", 3_000)):
            evidence.add(make_crash("often", target, at_ms=at_ms), 0.0)
        self.assertFalse(evidence.blocked_fingerprints)
        evidence.add(make_crash("often", "x@2~1", at_ms=5_000), 0.0)
        self.assertEqual(evidence.blocked_fingerprints, {"often"})

    def test_names_of_restarts_are_limited(self) -> None:
        """Guard against keys that the store refuses, as the name grows by a mark."""
        evidence = CrashEvidence()
        target = "t" * MAX_TARGET_NAME_BYTES
        evidence.add(make_crash("a", target, at_ms=1_000), 0.0)
        start = evidence.find_start(target, 5.0)
        self.assertNotEqual(start, target)
        self.assertLessEqual(len(start), MAX_TARGET_NAME_BYTES)
        self.assertEqual(make_crash("a", start).target, start)


if __name__ == "__main__":
    unittest.main()
