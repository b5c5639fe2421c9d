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
        """List the first start of the target, read from the store at 1.0."""
        self.directory = TargetDirectory()
        self.proofs = self.directory.proofs
        self.directory.apply_entry(FIRST)
        self.proofs.record_entry(FIRST, float("-inf"))
        self.proofs.record_read(1.0)

    def is_proven(self, connected_at: float) -> bool:
        """Return whether a connection surely leads to the first start."""
        return self.directory.is_start_proven(FIRST, connected_at)

    def test_connection_is_proven_by_a_later_read(self) -> None:
        """Guard against an entry that was read before its target restarted."""
        self.assertTrue(self.is_proven(1.0))
        self.assertFalse(self.is_proven(1.1))
        self.proofs.record_read(1.4)
        self.assertTrue(self.is_proven(1.1))

    def test_name_that_is_not_reused_needs_no_proof(self) -> None:
        """Guard against streams that are lost where targets change their names."""
        target = make_target("i-2")
        self.assertTrue(self.directory.is_start_proven(target, 99.0))

    def test_read_after_a_failure_proves_nothing(self) -> None:
        """Guard against the entry of a crashed target, which stays for seconds."""
        self.directory.record_failure(FIRST)
        self.proofs.record_read(2.0)
        self.assertTrue(self.is_proven(1.0))
        self.assertFalse(self.is_proven(1.5))
        self.proofs.record_entry(replace(FIRST, sequence=1), 1.8)
        self.assertTrue(self.is_proven(1.5))
        self.assertTrue(self.is_proven(2.0))

    def test_entry_that_is_not_new_proves_nothing(self) -> None:
        """Guard against an entry that somebody else writes again."""
        self.directory.record_failure(FIRST)
        self.proofs.record_entry(FIRST, 3.0)
        self.assertFalse(self.is_proven(1.5))

    def test_data_on_a_proven_connection_proves_others(self) -> None:
        """Guard against streams that become unknown while the store is away."""
        self.proofs.record_entry(replace(FIRST, sequence=1), 2.0)
        self.proofs.record_data(FIRST, 1.9, 5.0)
        self.assertTrue(self.is_proven(4.9))
        self.proofs.record_data(FIRST, 5.1, 6.0)
        self.assertFalse(self.is_proven(5.1))

    def test_start_that_is_not_listed_any_more_is_not_proven_by_reads(self) -> None:
        """Guard against a former start that counts as running once its entry is gone.

        Its failure is forgotten then.
        """
        self.directory.record_failure(FIRST)
        self.directory.apply_entry(SECOND)
        self.proofs.keep_only(self.directory.list_incarnations())
        self.proofs.record_read(3.0)
        self.assertFalse(self.is_proven(2.0))
        self.assertTrue(self.directory.is_start_proven(SECOND, 2.5))

    def test_failure_of_a_former_start_proves_nothing(self) -> None:
        """Guard against a stream of the new start that breaks and counts as old.

        The connection was opened before the entry of the new start was read.
        """
        self.directory.apply_entry(SECOND)
        self.proofs.record_read(2.0)
        self.directory.record_failure(FIRST)
        self.assertFalse(self.is_proven(1.5))

    def test_expired_entry_is_no_proof(self) -> None:
        """Guard against a target that is listed only until it registers again."""
        self.directory.apply_removal("i-1", 2.0, store_back_at=1.5)
        self.proofs.record_read(2.5)
        self.assertFalse(self.is_proven(2.0))


if __name__ == "__main__":
    unittest.main()
