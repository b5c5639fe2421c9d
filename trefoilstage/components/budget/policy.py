"""Decide how much a host draws and gives back; pure, with no clock."""

from dataclasses import dataclass
from enum import StrEnum

from trefoilstage.configuration.schema import Preference

PLENTIFUL_S = 300.0
SHARE_OF_FREE = {Preference.AVOID_REFUSALS: 0.5, Preference.AVOID_OVERSPEND: 0.25}
RETURN_WAIT_S = {Preference.AVOID_REFUSALS: 0.9, Preference.AVOID_OVERSPEND: 0.6}
SURPLUS_FACTOR = 2
MARGIN_DIVISOR = 4
REFILL_DIVISOR = 2
IDLE_S = 3.0
PLENTIFUL_IDLE_S = 20.0
RETURNABLE_KEEP_S = 0.5


class BudgetPolicy(StrEnum):
    """Name the ways to divide a budget among the hosts."""

    ADAPTIVE = "adaptive"
    STATIC_SPLIT = "static-split"
    FIXED_DRAW = "fixed-draw"


class Recovery(StrEnum):
    """Name what becomes of a lost host's tokens."""

    WITNESS = "witness"
    COUNT_AS_SPENT = "count-as-spent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Situation:
    """Describe an account as a host sees it; amounts in tokens or watts."""

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
    """Size draws and returns."""

    kind: BudgetPolicy
    horizon_s: float
    fixed_draw_tokens: int

    def size_draw(self, situation: Situation, shortfall: int) -> int:
        """Return what to ask for; below the shortfall means not to ask."""
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return max(shortfall, self.fixed_draw_tokens)
        if self.kind is BudgetPolicy.STATIC_SPLIT:
            return situation.paid // situation.n_hosts - situation.drawn
        return max(shortfall, self.size_stock(situation))

    def size_stock(self, situation: Situation) -> int:
        """Return what a host may keep beside what its requests hold."""
        if situation.returnable:
            return situation.held // MARGIN_DIVISOR
        # While much is free, a host holds minutes of its own demand, so that
        # an outage of the log refuses nobody. As the rest shrinks, so do the
        # draws: what one host keeps idle is what another would refuse.
        share = SHARE_OF_FREE[situation.preference] / situation.n_hosts
        plentiful = situation.demand_rate * PLENTIFUL_S
        return max(0, int(min(plentiful, situation.free * share)))

    def count_low_mark(self, situation: Situation) -> int:
        """Return the usable amount below which to draw ahead of need."""
        if self.kind is not BudgetPolicy.ADAPTIVE or situation.returnable:
            return 0
        soon = int(situation.demand_rate * self.horizon_s)
        stock = self.size_stock(situation)
        # A cut from the log comes unannounced. Filled up only near the end, a
        # host's stock was often nearly empty then, and it refused at once.
        return min(max(soon, stock // REFILL_DIVISOR), stock)

    def count_surplus(self, situation: Situation, usable: int) -> int:
        """Return what to give back without being asked."""
        if self.kind is BudgetPolicy.STATIC_SPLIT or usable <= 0:
            return 0
        # The limit was lowered below what the hosts hold.
        if situation.free < 0:
            return min(usable, -situation.free)
        if situation.held == 0 and situation.idle_s >= self._get_idle_limit(
            situation, usable
        ):
            return usable
        if self.kind is BudgetPolicy.FIXED_DRAW:
            return 0
        keep_s = RETURNABLE_KEEP_S if situation.returnable else self.horizon_s
        soon = int(situation.demand_rate * keep_s)
        keep = max(soon, SURPLUS_FACTOR * self.size_stock(situation))
        return max(0, usable - keep)

    def _get_idle_limit(self, situation: Situation, usable: int) -> float:
        """Return how long a stock may lie unused before it is given back."""
        # Seconds without a request are common at a few a second over a fleet.
        # A host that gave everything back in one and was then cut off from the
        # log refused its next request, with plenty free that it could not draw.
        share = SHARE_OF_FREE[situation.preference] / situation.n_hosts
        if situation.returnable or usable > SURPLUS_FACTOR * situation.free * share:
            return IDLE_S
        return PLENTIFUL_IDLE_S
