"""Decide how many tokens a home keeps ready and how many it locks; pure.

The stock of a home is the tokens that it has drawn from a workspace's account and that
are neither spent nor held. Locked tokens are the part of it that the home does not use
while its lock is closed (see `lock`); the rest is ready.

Expected load: a home grants about 27,000 tokens a second for a workspace, with single
requests of up to 60,000. The store is out of reach for 7 to 9 s at a time, and all
hosts may lose their memory at any moment.
"""

import math
from dataclasses import dataclass
from enum import Enum


class HomeRank(Enum):
    """Rank a host among the possible homes of a workspace.

    While other hosts are live, a host does not grant tokens to its own requests,
    because it could not witness those grants after it ends. The second home serves
    the requests of the first, and those of other hosts when the first fails.
    """

    FIRST = "first"
    SECOND = "second"
    NONE = "none"


# A home's stock covers its demand during an outage, as far as the shares below allow.
SUPPLY_HORIZON_S = 9.0
# A host that replaces the home only briefly draws little.
FALLBACK_HORIZON_S = 0.5
# Ready tokens are lost when all hosts end together, because no host can determine
# whether they were granted. A workspace that loses more than 3% of its budget is
# refused for the rest of the day although it has a balance. The share of the remaining
# tokens that is kept ready therefore shrinks with them: 12% of a full budget, and 1.3%
# of a budget of which a third is left. In a simulation of a scarce budget with two
# outages and a loss of all hosts, 17% of the requests were refused falsely, 36% with a
# constant share of 12%, and 24% without locked tokens.
READY_SHARES = {HomeRank.FIRST: 0.12, HomeRank.SECOND: 0.03, HomeRank.NONE: 0.01}
# Locked tokens are recovered when the processes of all hosts end together, but not when
# the machines lose power.
LOCKED_SHARE = 0.6
# Nothing is locked when less than this share of a budget is left: when tokens were
# locked down to a fifth, a loss of power lost 9.1% of an ample budget instead of 4.5%.
MIN_LEFT_SHARE_TO_LOCK = 0.4
# The home draws again when its ready stock is below this share of the target.
READY_LOW_WATERMARK_SHARE = 0.6
LOCKED_LOW_WATERMARK_SHARE = 0.8
# Above this multiple of the target the home returns the excess.
HIGH_WATERMARK_SHARE = 1.3
# A smaller change does not justify a call to the store.
MIN_CHANGE_TOKENS = 2_000
DEMAND_HALF_LIFE_S = 3.0


# The target before the home knows the demand, as a share of the prepaid tokens.
INITIAL_SHARES = {HomeRank.FIRST: 0.04, HomeRank.SECOND: 0.01, HomeRank.NONE: 0.0}


@dataclass(kw_only=True, slots=True)
class Demand:
    """Estimate the tokens requested per second, as an average with a half-life."""

    amount: float = 0.0
    at: float = 0.0

    def add(self, tokens: int, now: float) -> None:
        """Count tokens that a request asked for."""
        self._decay(now)
        self.amount += tokens

    def estimate(self, now: float) -> float:
        """Return the demand in tokens per second."""
        self._decay(now)
        return self.amount * math.log(2) / DEMAND_HALF_LIFE_S

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self.at)
        self.amount *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class StockState:
    """Describe a home's stock of an account and the demand for it."""

    prepaid: int
    free: int  # not drawn by any host
    unused: int  # drawn by this home, neither spent nor held
    locked: int  # the part of `unused` that the store has as locked
    waiting_tokens: int  # tokens that waiting requests need
    demand_per_s: float  # tokens per second

    @property
    def ready(self) -> int:
        """Return the tokens that can be held while the lock is closed."""
        return self.unused - self.locked


@dataclass(frozen=True, kw_only=True, slots=True)
class StockTarget:
    """Describe the stock that a home should have."""

    ready: int
    locked: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StockChange:
    """Describe a draw, or a return if below 0, and the locked tokens after it."""

    tokens: int
    locked: int


def compute_target_stock(state: StockState, rank: HomeRank) -> StockTarget:
    """Return the stock that a home should have."""
    left = state.free + max(0, state.unused)
    left_share = min(1.0, left / max(1, state.prepaid))
    horizon_s = FALLBACK_HORIZON_S if rank is HomeRank.NONE else SUPPLY_HORIZON_S
    min_wanted = INITIAL_SHARES[rank] * state.prepaid
    wanted = max(min_wanted, state.demand_per_s * horizon_s)
    ready = min(wanted, READY_SHARES[rank] * left_share * left)
    locked = 0.0
    if rank is not HomeRank.NONE:
        share = LOCKED_SHARE * max(0.0, left_share - MIN_LEFT_SHARE_TO_LOCK)
        locked = min(wanted, share * left)
    return StockTarget(ready=int(ready), locked=int(locked))


def plan_change(state: StockState, rank: HomeRank) -> StockChange | None:
    """Return the change of the stock that is due, None if it can stay as it is."""
    target = compute_target_stock(state, rank)
    if not state.waiting_tokens and not is_change_due(state, target):
        return None
    wanted = state.waiting_tokens + target.ready + target.locked
    tokens = min(state.free, wanted - state.unused)
    if state.waiting_tokens:
        tokens = max(0, tokens)
    unused = state.unused + tokens
    # When no tokens are free, waiting requests get locked ones.
    locked = max(0, min(target.locked, unused - state.waiting_tokens - target.ready))
    if tokens == 0 and locked == state.locked:
        return None
    return StockChange(tokens=tokens, locked=locked)


def is_change_due(state: StockState, target: StockTarget) -> bool:
    """Return whether the stock is far enough from its target for a store call."""
    excess = state.unused - target.ready - target.locked
    if excess >= MIN_CHANGE_TOKENS:
        return state.unused > HIGH_WATERMARK_SHARE * (target.ready + target.locked)
    possible_growth = min(state.free + max(0, state.ready), target.ready) - state.ready
    if (
        state.ready < READY_LOW_WATERMARK_SHARE * target.ready
        and possible_growth >= MIN_CHANGE_TOKENS
    ):
        return True
    missing_locked = min(state.free, target.locked - state.locked)
    is_locked_low = state.locked < LOCKED_LOW_WATERMARK_SHARE * target.locked
    # Too many locked tokens would keep the last tokens from callers.
    is_locked_high = (
        state.locked > HIGH_WATERMARK_SHARE * target.locked
        and state.ready < target.ready
    )
    return (is_locked_low and missing_locked >= MIN_CHANGE_TOKENS) or is_locked_high
