"""Test which requests wait for tokens in an outage and which are refused."""

import itertools
import random
import unittest

from trefoilstage.components.escrow.retry_after import (
    add_retry_jitter,
    choose_retry_in_outage,
)
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


def plan_former_wait(
    limits: WaitLimits, now: float, lock_wait_s: float, store_return_s: float
) -> float | None:
    """Return the decision without a second wait, as earlier versions made it."""
    left_s = limits.wait_until - now
    if 0.0 < lock_wait_s <= left_s - 0.02:
        return lock_wait_s + 0.02
    if left_s < 0.4:
        return None
    retry_s = max(0.0, limits.deadline - now) / 3
    is_covered = store_return_s <= left_s or (
        retry_s < store_return_s <= left_s + retry_s
    )
    return 0.4 if is_covered else None


class SecondWaitTest(unittest.TestCase):
    """Test routes whose callers tolerate half of an outage without a reply."""

    def make_limits(self, max_silence_s: float, deadline_s: float) -> WaitLimits:
        """Return the limits of a request that arrives at 0."""
        return WaitLimits.compute(
            now=0.0, max_silence_s=max_silence_s, deadline=deadline_s
        )

    def test_two_waits_and_a_retry_cover_an_outage(self) -> None:
        """Guard against a refusal 22 ms after arrival at the start of an outage."""
        limits = self.make_limits(6.4, 10.12)
        self.assertEqual(
            limits.plan_wait(0.0, lock_wait_s=0.0, store_return_s=8.5), 0.4
        )
        # The two waits and the retry take 8.99 s in all.
        for store_return_s, is_covered in ((8.98, True), (9.0, False)):
            wait_s = limits.plan_wait(
                0.0, lock_wait_s=0.0, store_return_s=store_return_s
            )
            self.assertEqual(wait_s is not None, is_covered, store_return_s)

    def test_request_without_time_after_the_outage_does_not_wait(self) -> None:
        """Guard against tokens that come 0.4 s before the deadline."""
        limits = self.make_limits(7.0, 7.0)
        for store_return_s, is_served in ((6.4, True), (6.55, False)):
            wait_s = limits.plan_wait(
                0.0, lock_wait_s=0.0, store_return_s=store_return_s
            )
            self.assertEqual(wait_s is not None, is_served, store_return_s)

    def test_other_routes_decide_as_before(self) -> None:
        """Guard against changed waits and retry times where silences are shorter."""
        n_waits = 0
        for silence_s, deadline_s, now, lock_wait_s, return_s in itertools.product(
            (0.5, 2.0, 3.2, 4.24),
            (0.3, 1.1, 3.1, 6.0, 10.12, 15.8, 30.0),
            (0.0, 0.02, 0.4, 1.2, 2.4),
            (0.0, 0.3, 1.0, 3.2),
            (1.0, 1.5, 2.1, 4.0, 6.5, 7.4, 8.5),
        ):
            limits = self.make_limits(silence_s, deadline_s)
            wait_s = limits.plan_wait(
                now, lock_wait_s=lock_wait_s, store_return_s=return_s
            )
            n_waits += wait_s is not None
            former_s = plan_former_wait(limits, now, lock_wait_s, return_s)
            self.assertEqual(wait_s, former_s, (silence_s, deadline_s, now, return_s))
            former_s, retry_s = (
                choose(return_s, limits, now, random.Random(1))
                for choose in (add_retry_jitter, choose_retry_in_outage)
            )
            self.assertEqual(retry_s, former_s, (silence_s, deadline_s, now, return_s))
        self.assertGreater(n_waits, 500)

    def test_retry_is_early_enough_and_its_wait_reaches_the_recovery(self) -> None:
        """Guard against retries at the same time, after a third or in vain."""
        limits = self.make_limits(6.4, 10.12)
        now = limits.wait_until
        retries = [
            choose_retry_in_outage(8.5 - now, limits, now, random.Random(seed))
            for seed in range(200)
        ]
        self.assertLessEqual(max(retries), limits.get_max_retry_s(now))
        self.assertGreater(max(retries) - min(retries), 0.7)
        for retry_s in retries:
            self.assertGreater(limits.get_second_wait_end(now + retry_s), 8.5)


if __name__ == "__main__":
    unittest.main()
