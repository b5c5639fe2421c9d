"""Test what proves that a connection leads to the start that an entry names."""

import unittest
from dataclasses import replace

from tests.components.forwarding.common import make_target
from trefoilstage.components.targets.directory import TargetDirectory

FIRST = make_target("i-1", started_ms=1)
SECOND = make_target("i-1", started_ms=2, version="v2")


class StartProofsTest(unittest.TestCase):
    """Connect to a target that may start again under its name."""

    def setUp(self) -> None:
        """List the first start of the target, which named it when asked at 1.0."""
        self.directory = TargetDirectory()
        self.proofs = self.directory.proofs
        self.directory.apply_entry(FIRST)
        self.proofs.record_start(FIRST, 1.0)

    def is_proven(self, connected_at: float) -> bool:
        """Return whether a connection surely leads to the first start."""
        return self.directory.is_start_proven(FIRST, connected_at)

    def test_connection_is_proven_by_a_later_report(self) -> None:
        """Guard against a report that was asked for before its target restarted."""
        self.assertTrue(self.is_proven(1.0))
        self.assertFalse(self.is_proven(1.1))
        self.proofs.record_start(FIRST, 1.4)
        self.assertTrue(self.is_proven(1.1))

    def test_entry_proves_nothing(self) -> None:
        """Guard against a heartbeat that the store writes after its start ended."""
        for sequence in (0, 1, 2):
            self.directory.apply_entry(replace(FIRST, sequence=sequence))
            self.assertFalse(self.is_proven(1.1))

    def test_name_that_is_not_reused_needs_no_proof(self) -> None:
        """Guard against streams that are lost where targets change their names."""
        target = make_target("i-2")
        self.assertTrue(self.directory.is_start_proven(target, 99.0))

    def test_answer_on_a_proven_connection_proves_others(self) -> None:
        """Guard against streams that become unknown while a target can't be asked."""
        self.proofs.record_answer(FIRST, 1.0, 5.0)
        self.assertTrue(self.is_proven(5.0))
        self.proofs.record_answer(FIRST, 5.1, 6.0)
        self.assertFalse(self.is_proven(5.1))

    def test_start_that_gave_way_to_another_is_not_proven_anew(self) -> None:
        """Guard against a sign of life that arrives after the end of its start."""
        self.proofs.record_other_start(FIRST)
        self.proofs.record_answer(FIRST, 1.0, 5.0)
        self.proofs.record_start(FIRST, 5.0)
        self.assertEqual((self.is_proven(1.0), self.is_proven(1.1)), (True, False))

    def test_sign_of_life_of_a_new_start_proves_only_that_one(self) -> None:
        """Guard against a former start that counts as running after its end."""
        self.directory.apply_entry(SECOND)
        self.proofs.keep_only(self.directory.list_incarnations())
        self.proofs.record_start(SECOND, 3.0)
        self.assertFalse(self.is_proven(0.5))
        self.assertTrue(self.directory.is_start_proven(SECOND, 2.5))


if __name__ == "__main__":
    unittest.main()
