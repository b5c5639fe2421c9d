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


class Recovery(StrEnum):
    """List how a lost host's tokens are accounted for."""

    WITNESS = "witness"
    COUNT_AS_SPENT = "count-as-spent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Situation:
    """Describe an account as one host sees it; amounts in tokens or watts.

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

    def size_draw(self, situation: Situation, shortfall: int) -> int:
        """Return the amount to ask for; a static split may allow less than needed."""
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return max(shortfall, self.fixed_draw_tokens)
        if self.kind is BudgetPolicy.STATIC_SPLIT:
            return situation.paid // situation.n_hosts - situation.drawn
        return max(shortfall, self.compute_stock(situation))

    def compute_stock(self, situation: Situation) -> int:
        """Return the amount that a host may keep beyond what its requests hold."""
        if situation.returnable:
            return situation.held // RETURNABLE_STOCK_DIVISOR
        # While much is free, a host keeps a stock for minutes of its own demand,
        # so that no request is refused in an outage of the log. The stock shrinks
        # with the free amount, since an unused stock makes other hosts refuse
        # requests.
        stock_share = STOCK_FREE_SHARE[situation.preference] / situation.n_hosts
        demand_tokens = situation.demand_rate * MAX_STOCK_DEMAND_S
        return max(0, int(min(demand_tokens, situation.free * stock_share)))

    def compute_low_water_mark(self, situation: Situation) -> int:
        """Return the usable amount below which a host draws ahead of demand."""
        if self.kind is not BudgetPolicy.ADAPTIVE or situation.returnable:
            return 0
        upcoming_demand = int(situation.demand_rate * self.horizon_s)
        stock = self.compute_stock(situation)
        # The log becomes unreachable without warning. When hosts refilled a stock
        # only near its end, it was often nearly empty at that moment, and they
        # refused requests immediately.
        return min(max(upcoming_demand, stock // LOW_WATER_DIVISOR), stock)

    def compute_surplus(self, situation: Situation, usable: int) -> int:
        """Return the amount to give back without a request from a peer."""
        if self.kind is BudgetPolicy.STATIC_SPLIT or usable <= 0:
            return 0
        # The limit was lowered below what the hosts hold.
        if situation.free < 0:
            return min(usable, -situation.free)
        if situation.held == 0 and situation.idle_s >= self._get_idle_limit_s(
            situation, usable
        ):
            return usable
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return 0
        horizon_s = RETURNABLE_HORIZON_S if situation.returnable else self.horizon_s
        upcoming_demand = int(situation.demand_rate * horizon_s)
        kept = max(
            upcoming_demand, SURPLUS_STOCK_FACTOR * self.compute_stock(situation)
        )
        return max(0, usable - kept)

    def _get_idle_limit_s(self, situation: Situation, usable: int) -> float:
        """Return for how long a stock may be unused before it is given back."""
        # At a few requests a second over the fleet, a host often gets none for
        # some seconds. A host that gave back its whole stock then and lost the
        # log refused its next request, though plenty was free in the account.
        stock_share = STOCK_FREE_SHARE[situation.preference] / situation.n_hosts
        if (
            situation.returnable
            or usable > SURPLUS_STOCK_FACTOR * situation.free * stock_share
        ):
            return IDLE_RETURN_S
        return PLENTIFUL_IDLE_RETURN_S
