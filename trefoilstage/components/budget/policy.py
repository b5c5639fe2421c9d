"""Decide how much a host draws and gives back; pure, with no clock.

A draw is an amount of an account that the log has granted to one host. The
stock is the part of a host's draws that no request holds.
"""

from dataclasses import dataclass
from enum import StrEnum

from trefoilstage.configuration.schema import Preference

MAX_STOCK_DEMAND_S = 300.0
STOCK_FREE_SHARE = {Preference.AVOID_REFUSALS: 0.5, Preference.AVOID_OVERSPEND: 0.25}
PEER_RETURN_WAIT_S = {Preference.AVOID_REFUSALS: 0.9, Preference.AVOID_OVERSPEND: 0.6}
SURPLUS_STOCK_FACTOR = 2
RETURNABLE_STOCK_DIVISOR = 4
LOW_WATER_DIVISOR = 2
IDLE_RETURN_S = 3.0
PLENTIFUL_IDLE_RETURN_S = 20.0
RETURNABLE_HORIZON_S = 0.5


class BudgetPolicy(StrEnum):
    """List the ways to divide a budget among the hosts."""

    ADAPTIVE = "adaptive"
    STATIC_SPLIT = "static-split"
    FIXED_DRAW = "fixed-draw"


class RecoveryPolicy(StrEnum):
    """List how a lost host's tokens are accounted for."""

    WITNESS = "witness"
    COUNT_AS_SPENT = "count-as-spent"


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountSnapshot:
    """Describe an account as one host sees it; amounts in tokens or watts.

    `free` is what no host has drawn or spent, `held` what this host's requests hold.
    `returnable` marks watts, which come free again when their request ends.
    """

    paid: int
    free: int
    drawn: int
    held: int
    demand_rate: float
    idle_s: float
    n_hosts: int
    returnable: bool
    preference: Preference = Preference.AVOID_OVERSPEND


@dataclass(frozen=True, kw_only=True, slots=True)
class DrawPolicy:
    """Compute the amounts to draw and to give back."""

    kind: BudgetPolicy
    horizon_s: float
    fixed_draw_tokens: int

    def compute_draw(self, snapshot: AccountSnapshot, shortfall: int) -> int:
        """Return the amount to ask for; a static split may allow less than needed."""
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return max(shortfall, self.fixed_draw_tokens)
        if self.kind is BudgetPolicy.STATIC_SPLIT:
            return snapshot.paid // snapshot.n_hosts - snapshot.drawn
        return max(shortfall, self.compute_stock(snapshot))

    def compute_stock(self, snapshot: AccountSnapshot) -> int:
        """Return the amount that a host may keep beyond what its requests hold."""
        if snapshot.returnable:
            return snapshot.held // RETURNABLE_STOCK_DIVISOR
        # While much of the account is free, a host keeps a stock for minutes of its
        # own demand, so that no request is refused in an outage of the log. The stock
        # shrinks with the free amount, since an unused stock makes other hosts refuse
        # requests.
        stock_share = STOCK_FREE_SHARE[snapshot.preference] / snapshot.n_hosts
        demand_tokens = snapshot.demand_rate * MAX_STOCK_DEMAND_S
        return max(0, int(min(demand_tokens, snapshot.free * stock_share)))

    def compute_low_water_mark(self, snapshot: AccountSnapshot) -> int:
        """Return the usable amount below which a host draws ahead of demand."""
        if self.kind is not BudgetPolicy.ADAPTIVE or snapshot.returnable:
            return 0
        upcoming_demand = int(snapshot.demand_rate * self.horizon_s)
        stock = self.compute_stock(snapshot)
        # The log becomes unreachable without warning. When hosts refilled a stock
        # only near its end, it was often nearly empty at that moment, and they
        # refused requests immediately.
        return min(max(upcoming_demand, stock // LOW_WATER_DIVISOR), stock)

    def compute_surplus(self, snapshot: AccountSnapshot, usable: int) -> int:
        """Return the amount to give back without a request from a peer."""
        if self.kind is BudgetPolicy.STATIC_SPLIT or usable <= 0:
            return 0
        # A limit that was lowered below the drawn amount makes the free one negative.
        if snapshot.free < 0:
            return min(usable, -snapshot.free)
        if snapshot.held == 0 and snapshot.idle_s >= self._get_idle_limit_s(
            snapshot, usable
        ):
            return usable
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return 0
        horizon_s = RETURNABLE_HORIZON_S if snapshot.returnable else self.horizon_s
        upcoming_demand = int(snapshot.demand_rate * horizon_s)
        kept = max(upcoming_demand, SURPLUS_STOCK_FACTOR * self.compute_stock(snapshot))
        return max(0, usable - kept)

    def _get_idle_limit_s(self, snapshot: AccountSnapshot, usable: int) -> float:
        """Return for how long a stock may be unused before it is given back."""
        # At a few requests a second over the fleet, a host often gets none for
        # some seconds. A host that gave back its whole stock then and lost the
        # log refused its next request, though plenty was free in the account.
        stock_share = STOCK_FREE_SHARE[snapshot.preference] / snapshot.n_hosts
        if (
            snapshot.returnable
            or usable > SURPLUS_STOCK_FACTOR * snapshot.free * stock_share
        ):
            return IDLE_RETURN_S
        return PLENTIFUL_IDLE_RETURN_S
