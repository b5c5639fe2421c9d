"""Compare strategies for keeping a prepaid budget by tokens lost and false refusals.

Run with `python -m bench.trials.budget_ways`. One workspace requests 27,000 tokens per
second of a budget of 950,000 for 60 s. The store is unreachable twice for 8 s, and then
all hosts are lost at the same time. Tokens in their stocks count as spent, except those
that a strategy can prove unused. A refusal is false if the request fits into 97% of the
budget, counting only tokens really spent.
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

PREPAID_TOKENS = 950_000
ALLOWED_SHARE = 0.97
MEAN_TOKENS = 6_000
MAX_TOKENS = 54_600
REQUESTS_PER_S = 4.5
DURATION_S = 60.0
OUTAGES_S = ((6.0, 14.0), (24.0, 32.0))
HOSTS_LOST_AT_S = 34.0
N_HOSTS = 7
N_SEEDS = 200
DEFAULT_STOCK_SHARE = 0.12
STOCK_HORIZON_S = 8.0
# Locked tokens become usable this long after the store was last reachable.
LOCK_S = 3.2


@dataclass(frozen=True, kw_only=True, slots=True)
class Strategy:
    """Describe the number and size of stocks, and what is recovered after a loss."""

    name: str
    n_stocks: int
    has_product_sizes: bool = False  # stock sizes as the product computes them
    stock_share: float = DEFAULT_STOCK_SHARE
    proves_locked: bool = False


@dataclass(kw_only=True, slots=True)
class Counts:
    """Count the results of one strategy over all seeds."""

    n_requests: int = 0
    n_refused_in_outage: int = 0
    n_requests_in_outage: int = 0
    n_false_refusals: int = 0
    n_lost_tokens: int = 0


STRATEGIES = (
    Strategy(name="each request written to the store", n_stocks=1, stock_share=0.0),
    Strategy(name="a stock at each host, 12% in all", n_stocks=N_HOSTS),
    Strategy(name="a stock at each host, 12% each", n_stocks=N_HOSTS, stock_share=0.84),
    Strategy(name="one home, 12%", n_stocks=1),
    Strategy(name="one home, 25%", n_stocks=1, stock_share=0.25),
    Strategy(
        name="one home, shrinking, power lost", n_stocks=1, has_product_sizes=True
    ),
    Strategy(
        name="one home, shrinking, processes killed",
        n_stocks=1,
        has_product_sizes=True,
        proves_locked=True,
    ),
)


def sample_request_tokens(generator: random.Random) -> int:
    """Return a request's size in tokens: most are small, a few very large."""
    return min(MAX_TOKENS, int(generator.expovariate(1 / MEAN_TOKENS)) + 200)


def is_store_unreachable(now: float) -> bool:
    """Return whether the store is unreachable."""
    return any(begin <= now < end for begin, end in OUTAGES_S)


class Budget:
    """Represent the budget of one workspace as one strategy keeps it."""

    def __init__(self, *, strategy: Strategy) -> None:
        self._strategy = strategy
        self._stocks = [0] * strategy.n_stocks
        self._locked = 0
        self._store_reached_at = 0.0
        self.drawn = 0
        self.spent = 0

    @property
    def free(self) -> int:
        """Return the tokens that no host has drawn."""
        return PREPAID_TOKENS - self.drawn

    def compute_target(self) -> StockTarget:
        """Return the size of the stock that a host aims for."""
        left = self.free + sum(self._stocks)
        demand = REQUESTS_PER_S * MEAN_TOKENS
        if not self._strategy.has_product_sizes:
            wanted = min(demand * STOCK_HORIZON_S, self._strategy.stock_share * left)
            return StockTarget(ready=int(wanted / self._strategy.n_stocks), locked=0)
        state = StockState(
            prepaid=PREPAID_TOKENS,
            free=self.free,
            unused=self._stocks[0],
            locked=self._locked,
            waiting_tokens=0,
            demand_per_s=demand,
        )
        return compute_target_stock(state, HomeRank.FIRST)

    def serve(self, host: int, tokens: int, now: float) -> bool:
        """Take tokens for a request at a host; return whether its stock had enough."""
        number = host % self._strategy.n_stocks
        is_unreachable = is_store_unreachable(now)
        if not is_unreachable:
            self._store_reached_at = now
            self._fill(number, tokens)
        locked = self._locked if now - self._store_reached_at < LOCK_S else 0
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
        """Lose all hosts at the same time; return the tokens that become unusable."""
        lost = sum(self._stocks)
        if self._strategy.proves_locked:
            lost -= self._locked
            self.drawn -= self._locked
        self._stocks = [0] * self._strategy.n_stocks
        self._locked = 0
        return lost


def run_once(strategy: Strategy, seed: int, counts: Counts) -> None:
    """Run one seed of one strategy."""
    generator = random.Random(seed)
    budget = Budget(strategy=strategy)
    now, hosts_lost = 0.0, False
    while (now := now + generator.expovariate(REQUESTS_PER_S)) < DURATION_S:
        if now >= HOSTS_LOST_AT_S and not hosts_lost:
            hosts_lost = True
            counts.n_lost_tokens += budget.lose_all()
        tokens = sample_request_tokens(generator)
        fits = budget.spent + tokens <= ALLOWED_SHARE * PREPAID_TOKENS
        served = budget.serve(generator.randrange(N_HOSTS), tokens, now)
        counts.n_requests += fits
        counts.n_false_refusals += fits and not served
        if is_store_unreachable(now):
            counts.n_requests_in_outage += fits
            counts.n_refused_in_outage += fits and not served


def compare(strategies: Sequence[Strategy]) -> None:
    """Print a table with a row for each strategy."""
    print("| strategy | lost, % of the budget | refused in outages | refused falsely |")
    print("| --- | --- | --- | --- |")
    for strategy in strategies:
        counts = Counts()
        for seed in range(N_SEEDS):
            run_once(strategy, seed, counts)
        lost = 100 * counts.n_lost_tokens / N_SEEDS / PREPAID_TOKENS
        outage = 100 * counts.n_refused_in_outage / max(1, counts.n_requests_in_outage)
        false = 100 * counts.n_false_refusals / max(1, counts.n_requests)
        print(f"| {strategy.name} | {lost:.1f} | {outage:.0f}% | {false:.0f}% |")


if __name__ == "__main__":
    compare(STRATEGIES)
