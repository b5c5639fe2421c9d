"""Test how much a host keeps for an outage of the log."""

import dataclasses
import unittest

from trefoilstage.components.budget.policy import (
    AccountSnapshot,
    BudgetPolicy,
    DrawPolicy,
)

PLENTIFUL = AccountSnapshot(
    paid=250_000,
    free=160_000,
    drawn=11_000,
    held=0,
    demand_rate=250.0,
    idle_s=5.0,
    n_hosts=9,
    returnable=False,
)
STOCK = 8_000


class DrawPolicyTest(unittest.TestCase):
    """Test the stock of a host without requests or without the log."""

    def setUp(self) -> None:
        """Create the adaptive policy."""
        self.policy = DrawPolicy(
            kind=BudgetPolicy.ADAPTIVE, horizon_s=2.0, fixed_draw_tokens=50
        )

    def test_stock_is_kept_for_seconds_without_a_request(self) -> None:
        """Guard against a refusal after seconds without a request and a lost log.

        A host that had given back its stock by then refused its next request,
        although plenty was free. It now keeps a stock within twice its share for
        longer, and gives back immediately what is scarce or was unused for long.
        """
        self.assertEqual(self.policy.compute_surplus(PLENTIFUL, STOCK), 0)
        scarce = dataclasses.replace(PLENTIFUL, free=10_000)
        self.assertEqual(self.policy.compute_surplus(scarce, STOCK), STOCK)
        unused = dataclasses.replace(PLENTIFUL, idle_s=20.0)
        self.assertEqual(self.policy.compute_surplus(unused, STOCK), STOCK)

    def test_stock_is_refilled_once_half_is_used(self) -> None:
        """Guard against an almost empty stock when the log is lost between draws.

        It was almost empty when a host refilled it only near its end. At least
        half of it must always be left.
        """
        stock = self.policy.compute_stock(PLENTIFUL)
        self.assertGreaterEqual(
            self.policy.compute_low_water_mark(PLENTIFUL), stock // 2
        )
