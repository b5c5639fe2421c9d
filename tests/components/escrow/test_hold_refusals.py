"""Test when a refused hold is told that the tokens are gone for good."""

import unittest

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.hold_refusals import find_reason
from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.stock import StockChange
from trefoilstage.components.views.store import make_position
from trefoilstage.helpers.verdict import Reason

PREPAID = 200_000
TOKENS = 5_000


def make_account(
    *, lost: int, spent: int = 0, other_drawn: int = 0, other_spent: int = 0
) -> EscrowAccount:
    """Return an account of which ended holders drew `lost` and this home the rest."""
    own = Holder(host="h-1", drawn=PREPAID - lost - other_drawn, spent=0, roster="r")
    other = Holder(host="h-2", drawn=other_drawn, spent=other_spent)
    account = EscrowAccount(
        workspace="brest-school", host="h-1", incarnation="h-1-1", prepaid=PREPAID
    )
    account.update_record(
        AccountRecord(
            holders={"h-1-1": own, "h-2-1": other},
            retired_drawn=lost,
            retired_spent=lost // 2,
        ),
        0,
    )
    account.rosters["r"] = {"h-2": "h-2-1"}
    account.replace_requesters(("h-2-1",))
    account.spent = spent
    return account


class ReasonTest(unittest.TestCase):
    """Test accounts without free tokens, of which ended holders lost a part."""

    def test_lost_tokens_are_gone_for_good(self) -> None:
        """Guard against retries all day for tokens that nobody can return."""
        account = make_account(lost=180_000, spent=16_000)
        self.assertFalse(account.is_nearly_spent(TOKENS))
        reason = find_reason(account, TOKENS, is_confirmed=True)
        self.assertIs(reason, Reason.BUDGET_EXHAUSTED)

    def test_tokens_of_another_holder_may_return(self) -> None:
        """Guard against 402 while another holder, perhaps cut off, has tokens."""
        for other_spent, reason in (
            (5_000, Reason.BUDGET_DRAWN),
            (5_001, Reason.BUDGET_EXHAUSTED),
        ):
            account = make_account(
                lost=180_000, spent=10_000, other_drawn=10_000, other_spent=other_spent
            )
            found = find_reason(account, TOKENS, is_confirmed=True)
            self.assertIs(found, reason, other_spent)

    def test_held_tokens_may_be_freed(self) -> None:
        """Guard against 402 while a running request may end unspent."""
        account = make_account(lost=180_000, spent=13_000)
        self.assertTrue(account.hold("running", 3_400, "h-2-1", 0.0))
        reason = find_reason(account, TOKENS, is_confirmed=True)
        self.assertIs(reason, Reason.BUDGET_DRAWN)
        self.assertEqual(account.count_held_for_live(1_000), 3_400)
        # With 7,000 tokens left of 200,000, a request gets at most half of them.
        self.assertEqual(account.count_held_for_live(TOKENS), 0)
        # The requester ended, and its hold is never settled.
        account.replace_requesters(())
        self.assertEqual(account.count_held_for_live(1_000), 0)

    def test_unknown_state_is_not_gone(self) -> None:
        """Guard against 402 by a record that is unconfirmed, unread or restored."""
        account = make_account(lost=180_000, spent=16_000)
        reason = find_reason(account, TOKENS, is_confirmed=False)
        self.assertIs(reason, Reason.BUDGET_UNCONFIRMED)
        account.start_change(StockChange(tokens=-100, locked=0), 1)
        self.assertFalse(account.is_gone_for_good(TOKENS))
        account.clear_pending()
        self.assertTrue(account.is_gone_for_good(TOKENS))
        account.update_record(account.record, make_position(1, 0))
        self.assertFalse(account.is_gone_for_good(TOKENS))
        unread = EscrowAccount(workspace="w", host="h-1", incarnation="h-1-1")
        self.assertFalse(unread.is_gone_for_good(TOKENS))


if __name__ == "__main__":
    unittest.main()
