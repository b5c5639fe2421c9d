"""Test who goes on past records that the log dropped unread."""

import unittest
from dataclasses import replace

from trefoilstage.components.log_client.loss import PeerPosition, may_go_on

BEHIND = PeerPosition(incarnation="x-1", folded=3)
LEVEL = PeerPosition(incarnation="x-1", folded=5)
AHEAD = PeerPosition(incarnation="x-1", folded=6)
REPLACED = PeerPosition(incarnation="x-2", folded=0)


class LossTest(unittest.TestCase):
    """Decide for the host "b" that stands before offset 5."""

    def decide(self, **positions: PeerPosition | None) -> bool:
        """Return the decision beside the given other hosts."""
        incarnations = dict.fromkeys(("a", "b", "c", "d"), "x-1")
        return may_go_on(
            host="b", offset=5, positions=positions, incarnations=incarnations
        )

    def test_first_of_those_that_stand_furthest_goes_on(self) -> None:
        self.assertTrue(self.decide(c=LEVEL, a=BEHIND))
        self.assertFalse(self.decide(a=LEVEL))
        self.assertFalse(self.decide(c=AHEAD))

    def test_silent_host_and_one_that_has_the_record_hold_it_up(self) -> None:
        self.assertFalse(self.decide(c=None))
        self.assertFalse(self.decide(c=replace(BEHIND, has_record=True)))

    def test_host_without_a_state_never_goes_on(self) -> None:
        decision = may_go_on(host="b", offset=0, positions={}, incarnations={})
        self.assertFalse(decision)

    def test_one_replaced_host_is_borne_and_two_are_not(self) -> None:
        """Replace a host, then another: the two may have used a draw that is lost.

        One alone could not, since a draw is used with its witness's word.
        """
        self.assertTrue(self.decide(c=REPLACED, a=BEHIND))
        self.assertFalse(self.decide(c=REPLACED, a=BEHIND, d=REPLACED))
        # A host that is not on the list has replaced nobody.
        self.assertTrue(self.decide(c=REPLACED, e=REPLACED))


if __name__ == "__main__":
    unittest.main()
