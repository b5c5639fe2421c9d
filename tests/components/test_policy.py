"""Check how much a host keeps for a time without the log."""

import dataclasses
import unittest

from trefoilstage.components.budget.policy import BudgetPolicy, DrawPolicy, Situation

PLENTIFUL = Situation(
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
    """Let a host fall silent or be cut off with a stock of tokens."""

    def setUp(self) -> None:
        """Take the chosen policy."""
        self.policy = DrawPolicy(
            kind=BudgetPolicy.ADAPTIVE, horizon_s=2.0, fixed_draw_tokens=50
        )

    def test_stock_outlasts_seconds_without_a_request(self) -> None:
        """See no request for a few seconds, then lose the log.

        A host that gave its stock back in such seconds refused its next request
        with plenty free. It keeps a stock within twice its share for longer, and
        gives back at once what is scarce or was unused for long.
        """
        self.assertEqual(self.policy.count_surplus(PLENTIFUL, STOCK), 0)
        scarce = dataclasses.replace(PLENTIFUL, free=10_000)
        self.assertEqual(self.policy.count_surplus(scarce, STOCK), STOCK)
        unused = dataclasses.replace(PLENTIFUL, idle_s=20.0)
        self.assertEqual(self.policy.count_surplus(unused, STOCK), STOCK)

    def test_stock_is_filled_up_long_before_it_is_used_up(self) -> None:
        """Lose the log at any moment between two draws.

        Filled up near its end, the stock was nearly empty then. Half of it is
        always left.
        """
        stock = self.policy.size_stock(PLENTIFUL)
        self.assertGreaterEqual(self.policy.count_low_mark(PLENTIFUL), stock // 2)
