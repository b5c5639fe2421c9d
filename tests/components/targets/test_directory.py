"""Test which registered targets get new work."""

import unittest

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase
from trefoilstage.components.targets.directory import (
    MAX_KNOWN_STARTS,
    TargetDirectory,
)

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


class RestartTest(unittest.TestCase):
    """Test targets that start again under the name that they had."""

    def setUp(self) -> None:
        """List a target that started again at another address."""
        self.targets = TargetDirectory()
        self.old = make_target("engine-0", started_ms=1_000)
        self.new = make_target("engine-0", started_ms=2_000, address="127.0.0.1:2")
        self.targets.add(self.old)
        self.targets.add(self.new)

    def list_ready(self, now: float = 1.0) -> list[TargetEntry]:
        """Return the entries that may get work."""
        return self.targets.list_ready("assistant", now)

    def test_late_news_of_the_old_start_changes_nothing(self) -> None:
        """Land a heartbeat of the ended incarnation after its successor's.

        Taken in, requests would go to the old address, or to none if it said that
        it was draining.
        """
        leaving = make_target("engine-0", started_ms=1_000, phase=TargetPhase.DRAINING)
        self.assertFalse(self.targets.add(leaving))
        self.assertEqual(self.list_ready(), [self.new])

    def test_late_news_after_the_new_start_was_dropped(self) -> None:
        """Drop the new start's entry, then land the old one's heartbeat."""
        self.targets.drop("engine-0", 100.0, NEVER)
        self.assertFalse(self.targets.add(self.old))
        self.assertEqual(self.list_ready(), [])

    def test_start_by_a_clock_set_back_is_used_once_the_other_is_out_of_reach(
        self,
    ) -> None:
        """Start a target again whose clock was set back meanwhile, at a new address.

        By its start it looks like late news of a former incarnation, and it registers
        only once: passed over, the target stayed unlisted for the rest of its life.
        """
        again = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.assertFalse(self.targets.add(again))
        self.assertEqual(self.list_ready(), [self.new])
        self.assertTrue(self.targets.give_way(self.new))
        self.assertEqual(self.list_ready(), [again])
        self.assertTrue(self.targets.add(again))
        self.assertEqual(self.list_ready(), [again])
        third = make_target("engine-0", started_ms=9_000)
        self.assertTrue(self.targets.add(third))
        self.assertFalse(self.targets.add(again))
        self.assertFalse(self.targets.give_way(third))

    def test_late_news_of_a_start_never_seen_gives_way_again(self) -> None:
        """Lose a connection to a live target after late news of an ended incarnation.

        This host never saw that one, as it started later. It is tried, can't be
        reached, and gives way in turn; the live target must not be lost for good.
        """
        late = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.targets.add(late)
        self.assertTrue(self.targets.give_way(self.new))
        self.assertFalse(self.targets.give_way(self.new))
        self.assertTrue(self.targets.give_way(late))
        self.assertEqual(self.list_ready(), [self.new])

    def test_start_that_was_replaced_or_leaves_is_no_other(self) -> None:
        """Lose a connection after late news of a start that was seen, or of its leave.

        Used, requests would go to a target that has told that it leaves.
        """
        self.targets.add(self.old)
        self.assertFalse(self.targets.give_way(self.new))
        leaving = make_target("engine-0", started_ms=1_500, phase=TargetPhase.DRAINING)
        self.targets.add(leaving)
        self.assertFalse(self.targets.give_way(self.new))
        self.assertEqual(self.list_ready(), [self.new])

    def test_news_of_the_latest_start_and_its_end_forget_the_other(self) -> None:
        """Hear of the latest start after an earlier one, or that its entry is gone."""
        again = make_target("engine-0", started_ms=1_500)
        for forget in (
            lambda: self.targets.add(self.new),
            lambda: self.targets.drop("engine-0", 100.0, NEVER),
        ):
            self.targets.add(again)
            forget()
            self.assertFalse(self.targets.give_way(self.new))
            self.targets.remove(self.new)
            self.assertEqual(self.list_ready(), [])
            self.targets.add(self.new)

    def test_start_without_another_stays(self) -> None:
        """Lose a connection to a target of which no other start was seen."""
        self.assertFalse(self.targets.give_way(self.new))
        self.assertEqual(self.list_ready(), [self.new])

    def test_draining_target_that_restarts_gets_work_again(self) -> None:
        """Let a target drain, end, and start again under its name."""
        self.targets.add(
            make_target("engine-0", started_ms=2_000, phase=TargetPhase.DRAINING)
        )
        self.assertEqual(self.list_ready(), [])
        again = make_target("engine-0", started_ms=3_000)
        self.targets.add(again)
        self.assertEqual(self.list_ready(), [again])

    def test_answer_at_the_old_address_does_not_remove_the_new_start(self) -> None:
        """Send to the old address, which another target has taken meanwhile.

        Its answer says so after the new start was listed, which stays in use.
        """
        self.targets.remove(self.old)
        self.assertEqual(self.list_ready(), [self.new])
        self.targets.remove(self.new)
        self.assertEqual(self.list_ready(), [])

    def test_other_start_is_used_where_the_address_has_another_target(self) -> None:
        """Let another target answer at the address of the later start."""
        again = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.targets.add(again)
        self.targets.remove(self.new)
        self.assertEqual(self.list_ready(), [again])

    def test_known_starts_are_bounded(self) -> None:
        """List very many names one after the other."""
        for number in range(MAX_KNOWN_STARTS + 5):
            self.targets.add(make_target(f"t-{number}", started_ms=1))
            self.targets.drop(f"t-{number}", 100.0, NEVER)
        self.assertEqual(len(self.targets.starts), MAX_KNOWN_STARTS)
