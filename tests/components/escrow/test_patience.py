"""Test which requests wait for tokens in an outage, and which are refused at once."""

import unittest

from trefoilstage.components.escrow.patience import Patience


class PatienceTest(unittest.TestCase):
    """Test a request that finds no tokens while the store is out of reach."""

    def plan(
        self, *, deadline_s: float, return_s: float, lock_wait_s: float = 0.0
    ) -> float | None:
        """Return how long a request that came just now waits, None if refused."""
        patience = Patience.start(now=0.0, silence_s=3.2, deadline=deadline_s)
        return patience.plan_wait(0.0, lock_wait_s=lock_wait_s, return_s=return_s)

    def test_store_that_is_back_soon_is_waited_for(self) -> None:
        self.assertIsNotNone(self.plan(deadline_s=15.0, return_s=1.5))

    def test_caller_that_can_come_back_in_time_is_refused_at_once(self) -> None:
        """Ask 4 s before the store is back, with 15 s left; it comes back in 5 s."""
        self.assertIsNone(self.plan(deadline_s=15.0, return_s=4.0))

    def test_start_of_an_outage_is_bridged_by_both(self) -> None:
        """Ask 6.5 s before the store is back; neither 2.2 s nor 5 s reach that far."""
        self.assertIsNotNone(self.plan(deadline_s=15.0, return_s=6.5))

    def test_short_deadline_is_refused_at_once(self) -> None:
        """Ask with 3 s left, 6.5 s before the store is back: nothing helps."""
        self.assertIsNone(self.plan(deadline_s=3.0, return_s=6.5))

    def test_lock_that_opens_soon_is_waited_for(self) -> None:
        wait_s = self.plan(deadline_s=3.0, return_s=7.5, lock_wait_s=1.0)
        assert wait_s is not None
        self.assertAlmostEqual(wait_s, 1.02)

    def test_patience_ends_before_the_caller_leaves(self) -> None:
        """Wait through an outage that is longer than any before; then be refused."""
        patience = Patience.start(now=0.0, silence_s=3.2, deadline=15.0)
        self.assertIsNone(patience.plan_wait(2.0, lock_wait_s=0.0, return_s=1.0))


if __name__ == "__main__":
    unittest.main()
