"""Test that repeats stay within the fleet's share."""

import unittest

from trefoilstage.components.forwarding.retries import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Test the budget in a storm of failures."""

    def test_storm_of_failures_stays_within_the_fleets_budget(self) -> None:
        """Fail each request of seven hosts, one of which gets most of them.

        Callers send 100 requests a second for 30 s and each is tried again when
        the budget allows. In each 10 s, the fleet's repeats stay within 0.2 of the
        requests plus 50, though no host knows of the others' repeats.
        """
        budgets = [RetryBudget(ratio=0.2, slack=50, window_s=10) for _ in range(7)]
        repeats: list[float] = []
        for number in range(3_000):
            now = number * 0.01
            budget = budgets[0 if number % 3 else number % 7]
            budget.count_request(now)
            if budget.take_retry(now, 7):
                repeats.append(now)
        for start in range(21):
            inside = sum(start <= at < start + 10 for at in repeats)
            self.assertLessEqual(inside, 0.2 * 1_000 + 50)
        self.assertGreater(len(repeats), 100)

    def test_lone_failure_is_repeated(self) -> None:
        """Repeat the first request of a quiet host of a fleet of seven."""
        budget = RetryBudget(ratio=0.2, slack=50, window_s=10)
        budget.count_request(0.0)
        self.assertTrue(budget.take_retry(0.0, 7))
