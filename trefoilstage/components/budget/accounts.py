"""Read an account as this host has folded it."""

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.policy import Situation
from trefoilstage.configuration.schema import Preference
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, LEDGER_STREAM_PREFIX
from trefoilstage.ledger.state import AccountState, DrawState, LedgerState

SETTLE_S = 0.5


class Accounts:
    """Look up what the ledgers and the configuration say of an account."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard

    def get_ledger(self, pool: AccountPool) -> LedgerState:
        """Return the ledger that holds an account."""
        return self._blackboard.ledgers[pool.number]

    def is_log_reachable(self, pool: AccountPool) -> bool:
        """Tell whether this host still reads the account's ledger."""
        return self._blackboard.streams[
            f"{LEDGER_STREAM_PREFIX}{pool.number}"
        ].reachable

    def get_account(self, pool: AccountPool) -> AccountState:
        """Return an account, an empty one if the ledger does not know it."""
        accounts = self.get_ledger(pool).accounts
        return accounts.get(pool.account) or AccountState()

    def get_preference(self, pool: AccountPool) -> Preference:
        """Return which error hurts the account's owner more."""
        name = pool.account.removeprefix(BUDGET_ACCOUNT_PREFIX)
        budget = self._blackboard.configuration.budgets.get(name)
        return budget.preference if budget else Preference.AVOID_OVERSPEND

    def count_usable(self, pool: AccountPool) -> int:
        """Return what new requests may hold without another draw."""
        return pool.count_usable(self.get_ledger(pool).draws)

    def count_unspent(self, pool: AccountPool) -> int:
        """Return what all draws on an account may still give back."""
        return sum(
            draw.amount - draw.spent
            for draw in self.get_ledger(pool).draws.values()
            if draw.account == pool.account
        )

    def list_foreign(self, pool: AccountPool) -> list[DrawState]:
        """Return the draws that other hosts have on an account."""
        return [
            draw
            for draw in self.get_ledger(pool).draws.values()
            if draw.account == pool.account
            and draw.holder != self._blackboard.incarnation
        ]

    def describe(self, pool: AccountPool) -> Situation:
        """Return an account as the policy sees it."""
        account = self.get_account(pool)
        return Situation(
            paid=account.paid,
            free=account.free,
            drawn=pool.drawn,
            held=pool.held,
            demand_rate=max(pool.demand_rate, pool.demand / SETTLE_S),
            idle_s=pool.n_idle * SETTLE_S,
            n_hosts=max(1, len(self._blackboard.config.hosts)),
            returnable=pool.returnable,
            preference=self.get_preference(pool),
        )
