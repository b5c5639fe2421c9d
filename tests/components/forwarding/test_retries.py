"""Test that retries stay within the fleet's budget."""

import unittest

from trefoilstage.components.forwarding.retries import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Test the budget when all requests fail."""

    def test_retries_of_all_hosts_stay_within_the_budget(self) -> None:
        """Fail all requests of seven hosts, one of which gets most of them.

        Callers send 100 requests a second for 30 s, and each is retried if the budget
        allows it. In every 10 s, the fleet's retries stay within 0.2 of the requests
        plus 50, although no host knows about the retries of its peers.
        """
        budgets = [RetryBudget(ratio=0.2, slack=50, window_s=10) for _ in range(7)]
        retries: list[float] = []
        for number in range(3_000):
            now = number * 0.01
            budget = budgets[0 if number % 3 else number % 7]
            budget.count_request(now)
            if budget.take_retry(now, 7):
                retries.append(now)
        for start in range(21):
            n_in_window = sum(start <= at < start + 10 for at in retries)
            self.assertLessEqual(n_in_window, 0.2 * 1_000 + 50)
        self.assertGreater(len(retries), 100)

    def test_single_failure_is_retried(self) -> None:
        """Retry the first request of an idle host in a fleet of seven."""
        budget = RetryBudget(ratio=0.2, slack=50, window_s=10)
        budget.count_request(0.0)
        self.assertTrue(budget.take_retry(0.0, 7))
