"""Test which registered targets get new work."""

import unittest

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import TargetPhase
from trefoilstage.components.targets.directory import TargetDirectory

NEVER = float("-inf")


class TargetDirectoryTest(unittest.TestCase):
    """Test leaving, lapsed and returned targets."""

    def setUp(self) -> None:
        """List one target."""
        self.targets = TargetDirectory()
        self.targets.add(make_target("engine-0"))

    def list_names(self, now: float) -> list[str]:
        """Return the names of the targets that may get work."""
        return [item.name for item in self.targets.list_ready("assistant", now)]

    def test_draining_target_gets_nothing(self) -> None:
        """List a target as draining; it gets no work from then on."""
        self.targets.add(make_target("engine-0", phase=TargetPhase.DRAINING))
        self.assertEqual(self.list_names(1.0), [])

    def test_dropped_target_gets_nothing(self) -> None:
        """Drop an entry while the store is well: the target has left."""
        self.targets.drop("engine-0", 100.0, NEVER)
        self.assertEqual(self.list_names(100.0), [])

    def test_lapsed_target_is_used_until_it_could_be_back(self) -> None:
        """Drop an entry right after an outage of the store.

        It may only have lapsed meanwhile, and a live target is back within 2 s.
        It is used that long, and taken for gone after that.
        """
        self.targets.drop("engine-0", 100.1, 100.0)
        self.assertEqual(self.list_names(101.9), ["engine-0"])
        self.assertEqual(self.list_names(102.1), [])

    def test_target_draining_before_the_outage_has_left(self) -> None:
        """Drop a target after an outage that had said that it leaves."""
        self.targets.add(make_target("engine-0", phase=TargetPhase.DRAINING))
        self.targets.drop("engine-0", 100.1, 100.0)
        self.assertEqual(self.list_names(100.2), [])

    def test_returned_target_is_used_for_good(self) -> None:
        """List a lapsed target again within the time."""
        self.targets.drop("engine-0", 100.1, 100.0)
        self.targets.add(make_target("engine-0"))
        self.assertEqual(self.list_names(200.0), ["engine-0"])
