"""Test how the clients of a process share its memory."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trefoilstage.components.connections.memory import (
    MemoryAccount,
    MemoryBudget,
    MemoryLimitError,
)

MAX_BYTES = 1_000_000
PART_BYTES = 16_384


class MemoryTest(unittest.TestCase):
    """Let accounts grow part by part, several at a time."""

    def setUp(self) -> None:
        self.budget = MemoryBudget(max_bytes=MAX_BYTES)

    def open(self, n_accounts: int) -> list[MemoryAccount]:
        """Return accounts of the budget."""
        return [MemoryAccount(budget=self.budget) for _ in range(n_accounts)]

    def grow(self, accounts: list[MemoryAccount]) -> None:
        """Let endless accounts grow in turn until each is stopped."""
        growing = list(accounts)
        while growing:
            for account in list(growing):
                try:
                    account.grow(PART_BYTES)
                except MemoryLimitError:
                    growing.remove(account)
                self.assertLessEqual(self.budget.n_bytes, MAX_BYTES)

    @given(st.integers(1, 40))
    def test_endless_accounts_stay_within_the_limit(self, n_accounts: int) -> None:
        """Guard against a process whose memory fills up with data without end."""
        self.budget = MemoryBudget(max_bytes=MAX_BYTES)
        accounts = self.open(n_accounts)
        self.grow(accounts)
        for account in accounts:
            account.close()
        self.assertEqual(self.budget.n_bytes, 0)

    def test_small_account_fits_beside_endless_ones(self) -> None:
        """Guard against sound clients that fail because of endless ones."""
        self.grow(self.open(8))
        self.open(1)[0].grow(5_000)

    def test_large_account_has_half_of_the_limit_to_itself(self) -> None:
        (account,) = self.open(1)
        account.grow(MAX_BYTES // 2)
        with self.assertRaises(MemoryLimitError):
            account.grow(1)

    def test_closed_account_takes_nothing(self) -> None:
        """Guard against bytes that are counted for a connection that is gone."""
        (account,) = self.open(1)
        account.grow(PART_BYTES)
        account.close()
        account.shrink(PART_BYTES)
        with self.assertRaises(MemoryLimitError):
            account.grow(PART_BYTES)
        self.assertEqual(self.budget.n_bytes, 0)


if __name__ == "__main__":
    unittest.main()
