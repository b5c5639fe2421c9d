"""Test which requests wait for tokens in an outage and which are refused."""

import unittest

from trefoilstage.components.escrow.wait_limits import WaitLimits


class WaitLimitsTest(unittest.TestCase):
    """Test a request that finds no tokens while the store is out of reach."""

    def plan_wait(
        self, *, deadline_s: float, store_return_s: float, lock_wait_s: float = 0.0
    ) -> float | None:
        """Return the wait of a request that has just arrived, None if refused."""
        wait_limits = WaitLimits.compute(
            now=0.0, max_silence_s=3.2, deadline=deadline_s
        )
        return wait_limits.plan_wait(
            0.0, lock_wait_s=lock_wait_s, store_return_s=store_return_s
        )

    def test_request_waits_for_a_store_that_is_back_soon(self) -> None:
        self.assertIsNotNone(self.plan_wait(deadline_s=15.0, store_return_s=1.5))

    def test_caller_that_can_retry_in_time_is_refused_immediately(self) -> None:
        """Request tokens 4 s before the store is back, with 15 s left.

        The caller retries within 5 s.
        """
        self.assertIsNone(self.plan_wait(deadline_s=15.0, store_return_s=4.0))

    def test_wait_and_retry_together_cover_an_outage(self) -> None:
        """Request tokens 6.5 s before the store is back.

        Neither a wait of 2.2 s nor a retry within 5 s alone covers that time.
        """
        self.assertIsNotNone(self.plan_wait(deadline_s=15.0, store_return_s=6.5))

    def test_short_deadline_is_refused_immediately(self) -> None:
        """Request tokens with 3 s left, 6.5 s before the store is back."""
        self.assertIsNone(self.plan_wait(deadline_s=3.0, store_return_s=6.5))

    def test_request_waits_for_a_lock_that_opens_soon(self) -> None:
        wait_s = self.plan_wait(deadline_s=3.0, store_return_s=7.5, lock_wait_s=1.0)
        assert wait_s is not None
        self.assertAlmostEqual(wait_s, 1.02)

    def test_wait_ends_before_the_caller_gives_up(self) -> None:
        """Refuse a request in an outage that lasts longer than the wait."""
        wait_limits = WaitLimits.compute(now=0.0, max_silence_s=3.2, deadline=15.0)
        self.assertIsNone(
            wait_limits.plan_wait(2.0, lock_wait_s=0.0, store_return_s=1.0)
        )


if __name__ == "__main__":
    unittest.main()
