"""Test the retry time that a refused caller receives."""

import unittest

from trefoilstage.components.escrow.retry_after import (
    estimate_store_return,
    make_refusal,
)
from trefoilstage.fleet_board import StoreReachability
from trefoilstage.helpers.verdict import Reason


class RetryAfterTest(unittest.TestCase):
    """Test the time to retry in and after an outage."""

    def test_retry_time_is_the_expected_end_of_the_outage(self) -> None:
        """Refuse callers 2, 7 and 20 s after the start of an outage."""
        self.assertAlmostEqual(estimate_store_return(2.0), 6.5)
        self.assertAlmostEqual(estimate_store_return(7.0), 1.5)
        self.assertAlmostEqual(estimate_store_return(20.0), 1.0)

    def test_one_failed_call_is_no_outage(self) -> None:
        """Let one call fail; the outage starts only when the store is out of reach."""
        reachability = StoreReachability()
        reachability.record_response(10.0)
        reachability.record_failure(10.2, "error")
        self.assertEqual(reachability.get_outage_s(10.3), 0.0)
        reachability.record_failure(10.9, "error")
        self.assertAlmostEqual(reachability.get_outage_s(11.0), 1.0)

    def test_exhausted_budget_has_no_retry_time(self) -> None:
        """Refuse for an exhausted budget, where a retry would fail as well."""
        self.assertIsNone(make_refusal(Reason.BUDGET_EXHAUSTED, 1.0).retry_after_s)
        self.assertEqual(
            make_refusal(Reason.BUDGET_UNCONFIRMED, 2.5).retry_after_s, 2.5
        )
