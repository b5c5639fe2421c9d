"""Test the size of stocks and when they are changed."""

import unittest

from trefoilstage.components.escrow.stock import (
    HomeRank,
    StockState,
    compute_target_stock,
    plan_change,
)


def make_state(
    *,
    prepaid: int = 1_000_000,
    free: int = 800_000,
    unused: int = 0,
    locked: int = 0,
    waiting_tokens: int = 0,
    demand_per_s: float = 27_000.0,
) -> StockState:
    """Return the state of a home whose workspace uses 27,000 tokens per second."""
    return StockState(
        prepaid=prepaid,
        free=free,
        unused=unused,
        locked=locked,
        waiting_tokens=waiting_tokens,
        demand_per_s=demand_per_s,
    )


class StockTest(unittest.TestCase):
    """Test the target of a home's stock and its changes."""

    def test_ready_stock_is_small_late_in_a_budget(self) -> None:
        """Plan for any demand with a third of the budget left.

        Both homes of a workspace may be lost together, and at most 3% of the budget
        may go unused before callers are refused falsely.
        """
        for demand in (0.0, 1_000.0, 27_000.0, 1_000_000.0):
            state = make_state(free=333_000, demand_per_s=demand)
            targets = [
                compute_target_stock(state, rank)
                for rank in (HomeRank.FIRST, HomeRank.SECOND)
            ]
            self.assertLessEqual(sum(item.ready for item in targets), 20_000)
            self.assertEqual(sum(item.locked for item in targets), 0)

    def test_full_budget_covers_an_outage(self) -> None:
        """Plan for 27,000 tokens per second with 900,000 left; the stock covers 7 s."""
        target = compute_target_stock(make_state(free=900_000), HomeRank.FIRST)
        self.assertGreaterEqual(target.ready + target.locked, 7 * 27_000)

    def test_fallback_home_locks_nothing(self) -> None:
        self.assertEqual(compute_target_stock(make_state(), HomeRank.NONE).locked, 0)

    def test_stock_at_its_target_is_not_changed(self) -> None:
        state = make_state()
        target = compute_target_stock(state, HomeRank.FIRST)
        full = make_state(
            free=800_000 - target.ready - target.locked,
            unused=target.ready + target.locked,
            locked=target.locked,
        )
        self.assertIsNone(plan_change(full, HomeRank.FIRST))

    def test_draw_covers_waiting_requests(self) -> None:
        """Let a request of 54,000 tokens wait; the draw leaves as many unlocked."""
        change = plan_change(make_state(waiting_tokens=54_000), HomeRank.FIRST)
        assert change is not None
        self.assertGreaterEqual(change.tokens - change.locked, 54_000)

    def test_last_tokens_are_unlocked_for_waiting_requests(self) -> None:
        """Let a request wait with no tokens free; it gets locked ones."""
        state = make_state(free=0, unused=9_000, locked=9_000, waiting_tokens=2_000)
        change = plan_change(state, HomeRank.FIRST)
        assert change is not None
        self.assertEqual(change.tokens, 0)
        self.assertLessEqual(change.locked, 7_000)

    def test_previous_home_returns_all_tokens(self) -> None:
        state = make_state(unused=100_000, locked=80_000, demand_per_s=0.0)
        change = plan_change(state, HomeRank.NONE)
        assert change is not None
        self.assertEqual((change.tokens, change.locked), (-100_000, 0))


if __name__ == "__main__":
    unittest.main()
