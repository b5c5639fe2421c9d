"""Compare ways to keep a prepaid budget by the tokens lost and the requests refused.

Run with `python -m bench.trials.budget_ways`. One workspace asks for 27,000 tokens a
second of 950,000 for 60 s. The store is away for 8 s twice, and then all hosts end at
once. What lay in their stocks counts as spent, but for what a way can prove unused. A
refusal is false while the request fits into 97% of the budget by what was really spent.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from trefoilstage.components.escrow.stock import (
    HomeRank,
    StockState,
    StockTarget,
    compute_target_stock,
)

PREPAID = 950_000
ALLOWED_SHARE = 0.97
MEAN_TOKENS = 6_000
MAX_TOKENS = 54_600
REQUESTS_PER_S = 4.5
DURATION_S = 60.0
OUTAGES_S = ((6.0, 14.0), (24.0, 32.0))
LOSS_AT_S = 34.0
N_HOSTS = 7
N_SEEDS = 200
FLAT_SHARE = 0.12
FLAT_HORIZON_S = 8.0
# A locked stock is opened this long after the store fell silent.
LOCK_S = 3.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Way:
    """Describe who keeps stocks, of which size, and what comes back after a loss."""

    name: str
    n_stocks: int
    shrinks: bool = False  # the product's present sizes
    share: float = FLAT_SHARE
    proves_locked: bool = False


@dataclass(kw_only=True, slots=True)
class Tally:
    """Count what callers got of one way, over all seeds."""

    asked: int = 0
    refused_in_outage: int = 0
    asked_in_outage: int = 0
    refused_falsely: int = 0
    lost: int = 0


WAYS = (
    Way(name="each request written to the store", n_stocks=1, share=0.0),
    Way(name="a stock at each host, 12% in all", n_stocks=N_HOSTS),
    Way(name="a stock at each host, 12% each", n_stocks=N_HOSTS, share=0.84),
    Way(name="one home, 12%", n_stocks=1),
    Way(name="one home, 25%", n_stocks=1, share=0.25),
    Way(name="one home, shrinking, power lost", n_stocks=1, shrinks=True),
    Way(
        name="one home, shrinking, processes killed",
        n_stocks=1,
        shrinks=True,
        proves_locked=True,
    ),
)


def pick_tokens(generator: random.Random) -> int:
    """Return the size of a request; most are short, a few very long."""
    return min(MAX_TOKENS, int(generator.expovariate(1 / MEAN_TOKENS)) + 200)


def is_away(now: float) -> bool:
    """Tell whether the store is out of reach."""
    return any(begin <= now < end for begin, end in OUTAGES_S)


class Budget:
    """Hold one workspace's budget as one way keeps it."""

    def __init__(self, *, way: Way) -> None:
        self._way = way
        self._stocks = [0] * way.n_stocks
        self._locked = 0
        self._silent_since = 0.0
        self.drawn = 0
        self.spent = 0

    @property
    def free(self) -> int:
        """Return what nobody has drawn."""
        return PREPAID - self.drawn

    def compute_target(self) -> StockTarget:
        """Return the stock that a host wants."""
        left = self.free + sum(self._stocks)
        demand = REQUESTS_PER_S * MEAN_TOKENS
        if not self._way.shrinks:
            wanted = min(demand * FLAT_HORIZON_S, self._way.share * left)
            return StockTarget(ready=int(wanted / self._way.n_stocks), locked=0)
        state = StockState(
            prepaid=PREPAID,
            free=self.free,
            unused=self._stocks[0],
            locked=self._locked,
            waiting_tokens=0,
            demand_per_s=demand,
        )
        return compute_target_stock(state, HomeRank.FIRST)

    def serve(self, host: int, tokens: int, now: float) -> bool:
        """Take tokens for a request of a host, if there are any."""
        number = host % self._way.n_stocks
        away = is_away(now)
        if not away:
            self._silent_since = now
            self._fill(number, tokens)
        locked = self._locked if now - self._silent_since < LOCK_S else 0
        if self._stocks[number] - locked < tokens:
            return False
        self._stocks[number] -= tokens
        self.spent += tokens
        return True

    def _fill(self, number: int, tokens: int) -> None:
        target = self.compute_target()
        wanted = tokens + target.ready + target.locked
        drawn = min(self.free, max(0, wanted - self._stocks[number]))
        self._stocks[number] += drawn
        self.drawn += drawn
        left = self._stocks[number] - tokens - target.ready
        self._locked = max(0, min(target.locked, left))

    def lose_all(self) -> int:
        """End all hosts at once; return the tokens that nobody can use any more."""
        lost = sum(self._stocks)
        if self._way.proves_locked:
            lost -= self._locked
            self.drawn -= self._locked
        self._stocks = [0] * self._way.n_stocks
        self._locked = 0
        return lost


def play(way: Way, seed: int, tally: Tally) -> None:
    """Play one day of one way."""
    generator = random.Random(seed)
    budget = Budget(way=way)
    now, ended = 0.0, False
    while (now := now + generator.expovariate(REQUESTS_PER_S)) < DURATION_S:
        if now >= LOSS_AT_S and not ended:
            ended = True
            tally.lost += budget.lose_all()
        tokens = pick_tokens(generator)
        fits = budget.spent + tokens <= ALLOWED_SHARE * PREPAID
        served = budget.serve(generator.randrange(N_HOSTS), tokens, now)
        tally.asked += fits
        tally.refused_falsely += fits and not served
        if is_away(now):
            tally.asked_in_outage += fits
            tally.refused_in_outage += fits and not served


def compare(ways: Sequence[Way]) -> None:
    """Print a row for each way."""
    print("| way | lost, % of the budget | refused in outages | refused falsely |")
    print("| --- | --- | --- | --- |")
    for way in ways:
        tally = Tally()
        for seed in range(N_SEEDS):
            play(way, seed, tally)
        lost = 100 * tally.lost / N_SEEDS / PREPAID
        outage = 100 * tally.refused_in_outage / max(1, tally.asked_in_outage)
        false = 100 * tally.refused_falsely / max(1, tally.asked)
        print(f"| {way.name} | {lost:.1f} | {outage:.0f}% | {false:.0f}% |")


if __name__ == "__main__":
    compare(WAYS)
