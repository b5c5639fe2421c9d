"""Test which requests get the tokens of a home that can't draw more."""

import unittest

from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.reserve import SizeDemand
from trefoilstage.components.escrow.stock import DEMAND_HALF_LIFE_S

PREPAID = 1_000_000
LONG_TOKENS = 9_000
SHORT_TOKENS = 1_000


class SizeDemandTest(unittest.TestCase):
    """Test the tokens kept for shorter requests."""

    def test_only_the_demand_of_shorter_requests_is_kept(self) -> None:
        demand = SizeDemand()
        for tokens in (1_000, 4_000, 16_000):
            demand.add(tokens, 0.0)
        self.assertEqual(demand.estimate_shorter(1_000, 0.0), 0.0)
        per_s = demand.estimate_shorter(4_000, 0.0)
        self.assertGreater(per_s, 0.0)
        self.assertEqual(demand.compute_reserve(16_000, 4.0, 0.0), 5 * 4.0 * per_s)

    def test_reserve_shrinks_with_the_demand(self) -> None:
        """Guard against tokens kept for requests that no longer come."""
        demand = SizeDemand()
        demand.add(1_000, 0.0)
        first = demand.compute_reserve(9_000, 4.0, 0.0)
        later = demand.compute_reserve(9_000, 4.0, 2 * DEMAND_HALF_LIFE_S)
        self.assertAlmostEqual(later, first / 4)


class ReserveTest(unittest.IsolatedAsyncioTestCase):
    """Test a home with a stock of tokens, in and out of an outage."""

    async def asyncSetUp(self) -> None:
        """Let short and long requests ask a home for tokens, as before an outage."""
        self.cluster = EscrowCluster(prepaid=PREPAID, home="brest-1")
        for host in ("brest-1", "lorient-1"):
            self.cluster.start(host)
        self.cluster.update_all_peers()
        self.n_requests = 0
        for _ in range(20):
            for _ in range(3):
                self.assertTrue(await self.hold(SHORT_TOKENS))
            self.assertTrue(await self.hold(LONG_TOKENS))

    async def hold(self, tokens: int) -> bool:
        """Ask the home for tokens; return whether it holds them."""
        self.n_requests += 1
        requester = self.cluster.boards["lorient-1"].incarnation
        reason = await self.cluster.homes["brest-1"].hold(
            WORKSPACE,
            f"r-{self.n_requests}",
            tokens,
            requester,
        )
        return reason is None

    def begin_outage(self) -> None:
        """Cut the home from the store, long enough to use its locked tokens."""
        store = self.cluster.boards["brest-1"].store
        store.record_response(self.cluster.timer.time)
        self.cluster.timer.time += 4.0
        store.record_failure(self.cluster.timer.time - 1.0, "cut off")
        store.record_failure(self.cluster.timer.time, "cut off")
        self.assertTrue(store.out_of_reach)

    async def test_short_requests_are_served_through_an_outage(self) -> None:
        """Guard against a few long requests that use up the stock."""
        self.begin_outage()
        n_long = sum([await self.hold(LONG_TOKENS) for _ in range(60)])
        n_short = sum([await self.hold(SHORT_TOKENS) for _ in range(20)])
        self.assertEqual(n_short, 20)
        self.assertLess(n_long, 60)

    async def test_stock_is_used_while_there_is_enough(self) -> None:
        """Guard against requests refused for want of tokens that nobody needs."""
        self.begin_outage()
        self.assertTrue(await self.hold(LONG_TOKENS))

    async def test_nothing_is_kept_while_the_store_is_in_reach(self) -> None:
        for _ in range(20):
            self.assertTrue(await self.hold(LONG_TOKENS))


if __name__ == "__main__":
    unittest.main()
