"""Test what a host takes for the loss of its own links."""

import unittest

from trefoilstage.components.forwarding.target_reach import (
    EVIDENCE_S,
    Reach,
    TargetReach,
)


class TargetReachTest(unittest.TestCase):
    """Test the evidence for and against lost links."""

    def test_one_target_that_refuses_raises_no_doubt(self) -> None:
        """Guard against a crashed target that looks like lost links."""
        reach = TargetReach()
        for now in range(3):
            self.assertFalse(reach.record_failure("i-1@0", now, timed_out=False))
        self.assertIs(reach.state, Reach.CONFIRMED)

    def test_two_targets_raise_doubt_once(self) -> None:
        """Guard against probes that are started for each failed request."""
        reach = TargetReach()
        reach.record_failure("i-1@0", 0.0, timed_out=False)
        self.assertTrue(reach.record_failure("i-2@0", 0.1, timed_out=False))
        self.assertFalse(reach.record_failure("i-3@0", 0.2, timed_out=False))

    def test_old_failure_is_no_evidence(self) -> None:
        """Guard against targets that crash minutes apart."""
        reach = TargetReach()
        reach.record_failure("i-1@0", 0.0, timed_out=False)
        later = 2 * EVIDENCE_S
        self.assertFalse(reach.record_failure("i-2@0", later, timed_out=False))

    def test_connection_clears_the_evidence(self) -> None:
        """Guard against failures counted across a connection that succeeded."""
        reach = TargetReach()
        reach.record_failure("i-1@0", 0.0, timed_out=False)
        reach.record_connected()
        self.assertFalse(reach.record_failure("i-2@0", 0.1, timed_out=False))

    def test_silent_target_raises_doubt_at_once(self) -> None:
        """Guard against several callers that each wait for a connection in vain."""
        reach = TargetReach()
        self.assertTrue(reach.record_failure("i-1@0", 0.0, timed_out=True))

    def test_probes_that_end_after_a_connection_lose_nothing(self) -> None:
        """Guard against a host that leaves its own links though they are back."""
        reach = TargetReach()
        reach.record_failure("i-1@0", 0.0, timed_out=True)
        reach.record_connected()
        self.assertFalse(reach.record_lost())
        self.assertIs(reach.state, Reach.CONFIRMED)


if __name__ == "__main__":
    unittest.main()
