"""Test which host may skip a record that the log dropped unread."""

import unittest
from dataclasses import replace

from trefoilstage.components.log_client.skip_decision import (
    PeerPosition,
    do_positions_allow_skip,
)

BEHIND = PeerPosition(incarnation="x-1", next_offset=3)
LEVEL = PeerPosition(incarnation="x-1", next_offset=5)
AHEAD = PeerPosition(incarnation="x-1", next_offset=6)
REPLACED = PeerPosition(incarnation="x-2", next_offset=0)


class SkipDecisionTest(unittest.TestCase):
    """Decide for the host "b", whose next offset is 5."""

    def decide(self, **positions: PeerPosition | None) -> bool:
        """Return the decision given the positions of other hosts."""
        incarnations = dict.fromkeys(("a", "b", "c", "d"), "x-1")
        return do_positions_allow_skip(
            host="b", offset=5, positions=positions, incarnations=incarnations
        )

    def test_first_by_name_of_the_most_advanced_hosts_skips_the_record(self) -> None:
        self.assertTrue(self.decide(c=LEVEL, a=BEHIND))
        self.assertFalse(self.decide(a=LEVEL))
        self.assertFalse(self.decide(c=AHEAD))

    def test_unresponsive_host_or_one_with_the_record_prevents_the_skip(self) -> None:
        self.assertFalse(self.decide(c=None))
        self.assertFalse(self.decide(c=replace(BEHIND, has_record=True)))

    def test_host_without_a_state_never_skips_a_record(self) -> None:
        decision = do_positions_allow_skip(
            host="b", offset=0, positions={}, incarnations={}
        )
        self.assertFalse(decision)

    def test_one_replaced_host_is_tolerated_and_two_are_not(self) -> None:
        """Replace one host, then two.

        A draw is used only after its witness has acknowledged it, so one replaced host
        cannot have used a lost draw alone; two can.
        """
        self.assertTrue(self.decide(c=REPLACED, a=BEHIND))
        self.assertFalse(self.decide(c=REPLACED, a=BEHIND, d=REPLACED))
        # A host without a listed incarnation does not count as replaced.
        self.assertTrue(self.decide(c=REPLACED, e=REPLACED))


if __name__ == "__main__":
    unittest.main()
