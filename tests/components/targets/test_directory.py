"""Test which registered targets receive new requests."""

import unittest

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase
from trefoilstage.components.targets.directory import (
    MAX_TRACKED_NAMES,
    TargetDirectory,
)

NEVER = float("-inf")


class TargetDirectoryTest(unittest.TestCase):
    """Test draining, removed, expired and returned targets."""

    def setUp(self) -> None:
        """Register one target."""
        self.targets = TargetDirectory()
        self.targets.apply_entry(make_target("engine-0"))

    def list_names(self, now: float) -> list[str]:
        """Return the names of the targets that may receive requests."""
        return [item.name for item in self.targets.list_ready("assistant", now)]

    def test_draining_target_receives_no_requests(self) -> None:
        """Guard against requests to a target that has announced that it is leaving."""
        self.targets.apply_entry(make_target("engine-0", phase=TargetPhase.DRAINING))
        self.assertEqual(self.list_names(1.0), [])

    def test_removed_target_receives_no_requests(self) -> None:
        """Guard against using a target that was removed outside an outage."""
        self.targets.apply_removal("engine-0", 100.0, NEVER)
        self.assertEqual(self.list_names(100.0), [])

    def test_expired_target_is_used_for_the_grace_period(self) -> None:
        """Guard against losing all targets after an outage of the store.

        The entry may only have expired during the outage, and a live target registers
        again within 2 s. Until then the target is used; afterwards it counts as gone.
        """
        self.targets.apply_removal("engine-0", 100.1, 100.0)
        self.assertEqual(self.list_names(101.9), ["engine-0"])
        self.assertEqual(self.list_names(102.1), [])

    def test_target_draining_before_the_outage_is_not_used(self) -> None:
        """Guard against using a draining target whose entry expires in an outage."""
        self.targets.apply_entry(make_target("engine-0", phase=TargetPhase.DRAINING))
        self.targets.apply_removal("engine-0", 100.1, 100.0)
        self.assertEqual(self.list_names(100.2), [])

    def test_returned_target_is_used_beyond_the_grace_period(self) -> None:
        """Guard against a grace period that still ends after the target returned."""
        self.targets.apply_removal("engine-0", 100.1, 100.0)
        self.targets.apply_entry(make_target("engine-0"))
        self.assertEqual(self.list_names(200.0), ["engine-0"])


class RestartTest(unittest.TestCase):
    """Test targets that restart under the same name."""

    def setUp(self) -> None:
        """Register a target that restarted at another address."""
        self.targets = TargetDirectory()
        self.old = make_target("engine-0", started_ms=1_000)
        self.new = make_target("engine-0", started_ms=2_000, address="127.0.0.1:2")
        self.targets.apply_entry(self.old)
        self.targets.apply_entry(self.new)

    def list_ready(self, now: float = 1.0) -> list[TargetEntry]:
        """Return the entries of the targets that may receive requests."""
        return self.targets.list_ready("assistant", now)

    def test_delayed_entry_of_the_previous_start_is_ignored(self) -> None:
        """Guard against a heartbeat that arrives after its successor's.

        Applied, it would send requests to the previous address, or to none if the
        ended incarnation was draining.
        """
        draining = make_target("engine-0", started_ms=1_000, phase=TargetPhase.DRAINING)
        self.assertFalse(self.targets.apply_entry(draining))
        self.assertEqual(self.list_ready(), [self.new])

    def test_delayed_entry_after_the_new_entry_was_removed(self) -> None:
        """Guard against a delayed heartbeat that relists a removed target."""
        self.targets.apply_removal("engine-0", 100.0, NEVER)
        self.assertFalse(self.targets.apply_entry(self.old))
        self.assertEqual(self.list_ready(), [])

    def test_start_after_clock_was_set_back_is_used_once_latest_is_unreachable(
        self,
    ) -> None:
        """Guard against never using a target that restarted with its clock set back.

        Its entry looks like a delayed entry of a previous incarnation, and it registers
        only once. When the entry was ignored, the target stayed unlisted permanently.
        """
        restarted = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.assertFalse(self.targets.apply_entry(restarted))
        self.assertEqual(self.list_ready(), [self.new])
        self.assertTrue(self.targets.switch_to_other_start(self.new))
        self.assertEqual(self.list_ready(), [restarted])
        self.assertTrue(self.targets.apply_entry(restarted))
        self.assertEqual(self.list_ready(), [restarted])
        third = make_target("engine-0", started_ms=9_000)
        self.assertTrue(self.targets.apply_entry(third))
        self.assertFalse(self.targets.apply_entry(restarted))
        self.assertFalse(self.targets.switch_to_other_start(third))

    def test_delayed_entry_of_an_unknown_start_is_replaced_again(self) -> None:
        """Guard against losing a live target permanently to a delayed entry.

        This host started later than the ended incarnation and never saw it. After a
        lost connection to the live target, the ended one is tried, can't be reached
        either, and the live target is used again.
        """
        delayed = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.targets.apply_entry(delayed)
        self.assertTrue(self.targets.switch_to_other_start(self.new))
        self.assertFalse(self.targets.switch_to_other_start(self.new))
        self.assertTrue(self.targets.switch_to_other_start(delayed))
        self.assertEqual(self.list_ready(), [self.new])

    def test_replaced_or_draining_start_is_not_used(self) -> None:
        """Guard against using a start that was replaced before, or that is draining.

        Requests would go to a target that has ended or announced that it is leaving.
        """
        self.targets.apply_entry(self.old)
        self.assertFalse(self.targets.switch_to_other_start(self.new))
        draining = make_target("engine-0", started_ms=1_500, phase=TargetPhase.DRAINING)
        self.targets.apply_entry(draining)
        self.assertFalse(self.targets.switch_to_other_start(self.new))
        self.assertEqual(self.list_ready(), [self.new])

    def test_entry_or_removal_of_the_latest_start_clears_the_other(self) -> None:
        """Guard against using an earlier start after an update of the latest one."""
        earlier = make_target("engine-0", started_ms=1_500)
        for clear_other in (
            lambda: self.targets.apply_entry(self.new),
            lambda: self.targets.apply_removal("engine-0", 100.0, NEVER),
        ):
            self.targets.apply_entry(earlier)
            clear_other()
            self.assertFalse(self.targets.switch_to_other_start(self.new))
            self.targets.remove_incarnation(self.new)
            self.assertEqual(self.list_ready(), [])
            self.targets.apply_entry(self.new)

    def test_only_known_start_stays_listed(self) -> None:
        """Guard against unlisting a target after one lost connection."""
        self.assertFalse(self.targets.switch_to_other_start(self.new))
        self.assertEqual(self.list_ready(), [self.new])

    def test_draining_target_receives_requests_after_a_restart(self) -> None:
        """Guard against a draining phase that outlasts a restart."""
        self.targets.apply_entry(
            make_target("engine-0", started_ms=2_000, phase=TargetPhase.DRAINING)
        )
        self.assertEqual(self.list_ready(), [])
        restarted = make_target("engine-0", started_ms=3_000)
        self.targets.apply_entry(restarted)
        self.assertEqual(self.list_ready(), [restarted])

    def test_response_at_the_previous_address_keeps_the_new_start(self) -> None:
        """Guard against removing the new start for a response at the previous address.

        Another target has taken that address, and its response arrives after the new
        start was listed.
        """
        self.targets.remove_incarnation(self.old)
        self.assertEqual(self.list_ready(), [self.new])
        self.targets.remove_incarnation(self.new)
        self.assertEqual(self.list_ready(), [])

    def test_other_start_is_used_if_another_target_has_the_address(self) -> None:
        """Guard against losing a target when another one has the latest address."""
        restarted = make_target("engine-0", started_ms=1_500, address="127.0.0.1:3")
        self.targets.apply_entry(restarted)
        self.targets.remove_incarnation(self.new)
        self.assertEqual(self.list_ready(), [restarted])

    def test_number_of_tracked_names_is_limited(self) -> None:
        """Guard against memory that grows with each new name."""
        for number in range(MAX_TRACKED_NAMES + 5):
            self.targets.apply_entry(make_target(f"t-{number}", started_ms=1))
            self.targets.apply_removal(f"t-{number}", 100.0, NEVER)
        self.assertEqual(len(self.targets.starts), MAX_TRACKED_NAMES)

    def test_number_of_leaving_targets_is_limited(self) -> None:
        """Guard against memory that grows with each target that has left."""
        for number in range(MAX_TRACKED_NAMES + 5):
            self.assertTrue(self.targets.record_leaving(f"t-{number}@0"))
            self.assertFalse(self.targets.record_leaving(f"t-{number}@0"))
        self.assertEqual(len(self.targets.said_leaving), MAX_TRACKED_NAMES)
