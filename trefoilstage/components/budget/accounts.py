"""Read accounts from the ledgers that this host has folded."""

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.policy import AccountSnapshot
from trefoilstage.configuration.schema import Preference
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, LEDGER_STREAM_PREFIX
from trefoilstage.ledger.state import AccountState, DrawState, LedgerState

SETTLE_INTERVAL_S = 0.5


class Accounts:
    """Look up accounts in the ledgers and the configuration."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard

    def get_ledger(self, pool: AccountPool) -> LedgerState:
        """Return the ledger that stores an account."""
        return self._blackboard.ledgers[pool.number]

    def is_log_reachable(self, pool: AccountPool) -> bool:
        """Return whether this host can read the account's ledger at present."""
        return self._blackboard.streams[
            f"{LEDGER_STREAM_PREFIX}{pool.number}"
        ].reachable

    def get_account(self, pool: AccountPool) -> AccountState:
        """Return an account, an empty one if the ledger does not have it."""
        accounts = self.get_ledger(pool).accounts
        return accounts.get(pool.account) or AccountState()

    def get_preference(self, pool: AccountPool) -> Preference:
        """Return whether the account's owner prefers to avoid refusals or overspend."""
        name = pool.account.removeprefix(BUDGET_ACCOUNT_PREFIX)
        budget = self._blackboard.configuration.budgets.get(name)
        return budget.preference if budget else Preference.AVOID_OVERSPEND

    def count_usable(self, pool: AccountPool) -> int:
        """Return the amount that new requests may hold without another draw."""
        return pool.count_usable(self.get_ledger(pool).draws)

    def count_unspent(self, pool: AccountPool) -> int:
        """Return the unspent amount of all draws on an account."""
        return sum(
            draw.amount - draw.spent
            for draw in self.get_ledger(pool).draws.values()
            if draw.account == pool.account
        )

    def list_peer_draws(self, pool: AccountPool) -> list[DrawState]:
        """Return the draws of peer hosts on an account."""
        return [
            draw
            for draw in self.get_ledger(pool).draws.values()
            if draw.account == pool.account
            and draw.holder != self._blackboard.incarnation
        ]

    def take_snapshot(self, pool: AccountPool) -> AccountSnapshot:
        """Return what the policy needs to know of an account."""
        account = self.get_account(pool)
        return AccountSnapshot(
            paid=account.paid,
            free=account.free,
            drawn=pool.drawn,
            held=pool.held,
            demand_rate=max(pool.demand_rate, pool.demand / SETTLE_INTERVAL_S),
            idle_s=pool.n_idle * SETTLE_INTERVAL_S,
            n_hosts=max(1, len(self._blackboard.config.hosts)),
            returnable=pool.returnable,
            preference=self.get_preference(pool),
        )
