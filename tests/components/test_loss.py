"""Test who goes on past records that the log dropped unread."""

import unittest

from trefoilstage.components.log_client.loss import PeerPosition, may_go_on

BEHIND = PeerPosition(folded=3)
LEVEL = PeerPosition(folded=5)
AHEAD = PeerPosition(folded=6)


class LossTest(unittest.TestCase):
    """Decide for the host "b" that stands before offset 5."""

    def decide(self, **positions: PeerPosition | None) -> bool:
        """Return the decision beside the given other hosts."""
        return may_go_on(host="b", offset=5, positions=positions)

    def test_first_of_those_that_stand_furthest_goes_on(self) -> None:
        self.assertTrue(self.decide(c=LEVEL, a=BEHIND))
        self.assertFalse(self.decide(a=LEVEL))
        self.assertFalse(self.decide(c=AHEAD))

    def test_silent_host_and_one_that_has_the_record_hold_it_up(self) -> None:
        self.assertFalse(self.decide(c=None))
        self.assertFalse(self.decide(c=PeerPosition(folded=3, has_record=True)))

    def test_host_without_a_state_never_goes_on(self) -> None:
        self.assertFalse(may_go_on(host="b", offset=0, positions={}))


if __name__ == "__main__":
    unittest.main()
