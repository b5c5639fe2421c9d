"""Decide how many tokens a home keeps ready, and how many behind its lock; pure.

Load: a home serves some 27,000 tokens a second of a workspace, with single requests of
up to 60,000. The store is out of reach for 7 to 9 s at a time, and all hosts may lose
their memory at any moment.
"""

import math
from dataclasses import dataclass
from enum import Enum


class HomeRank(Enum):
    """Name what a host is to a workspace.

    No host holds tokens for its own requests, since it could not witness them after
    its own end. The second home serves the first, and others when the first fails.
    """

    FIRST = "first"
    SECOND = "second"
    NONE = "none"


# What a home wants covers its demand for an outage, as far as the shares below allow.
HORIZON_S = 9.0
# A host that only stands in for the home for a moment draws little.
STAND_IN_HORIZON_S = 0.5
# What lies ready when all hosts end at once is lost: nobody can tell whether it was
# granted. A workspace whose lost tokens pass 3% of its budget is refused for the rest
# of the day while it still has a balance. So the share of what is left shrinks with
# what is left: ready are 12% of a full budget and 1.3% of one of which a third is left.
# Simulated with two outages and a loss of all hosts, 36% of the requests of a scarce
# budget were refused falsely with a steady 12%, 17% so; 24% so with nothing locked.
READY_SHARES = {HomeRank.FIRST: 0.12, HomeRank.SECOND: 0.03, HomeRank.NONE: 0.01}
# Locked tokens come back when the hosts' processes end together, but not when their
# machines lose power. Below this part of a budget nothing is locked any more: locked
# down to a fifth, 9.1% of an ample budget was lost with the power in place of 4.5%.
LOCKED_SHARE = 0.6
MIN_PART_TO_LOCK = 0.4
LOW_WATER = 0.6  # of the ready stock that is wanted; below it the home draws again
LOCKED_LOW_WATER = 0.8
# Above this multiple of the wanted stock the home gives the rest back.
HIGH_WATER = 1.3
# Smaller changes of a stock are not worth a call to the store.
MIN_CHANGE_TOKENS = 2_000
DEMAND_HALF_LIFE_S = 3.0


# What a home wants before it knows the demand, as a share of the prepaid tokens.
FIRST_SHARES = {HomeRank.FIRST: 0.04, HomeRank.SECOND: 0.01, HomeRank.NONE: 0.0}


@dataclass(kw_only=True, slots=True)
class Demand:
    """Estimate the tokens asked for a second, decaying by half-lives."""

    amount: float = 0.0
    at: float = 0.0

    def note(self, tokens: int, now: float) -> None:
        """Count tokens that were asked for."""
        self._decay(now)
        self.amount += tokens

    def estimate(self, now: float) -> float:
        """Return the tokens a second."""
        self._decay(now)
        return self.amount * math.log(2) / DEMAND_HALF_LIFE_S

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self.at)
        self.amount *= 0.5 ** (age_s / DEMAND_HALF_LIFE_S)
        self.at = now


@dataclass(frozen=True, kw_only=True, slots=True)
class StockState:
    """Hold what a home has of an account, and what it is asked for."""

    prepaid: int
    free: int  # drawn by nobody
    unused: int  # drawn here and neither spent nor held
    locked: int  # the part of it behind the lock, as the store has it
    waiting: int  # tokens that requests wait for
    demand: float  # tokens a second

    @property
    def ready(self) -> int:
        """Return the tokens that may be held while the lock is closed."""
        return self.unused - self.locked


@dataclass(frozen=True, kw_only=True, slots=True)
class StockTarget:
    """Hold the stock that a home wants."""

    ready: int
    locked: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StockChange:
    """Tell what to draw, or, below 0, to give back, and what is locked after it."""

    tokens: int
    locked: int


def get_target(state: StockState, rank: HomeRank) -> StockTarget:
    """Return the stock that a home wants."""
    left = state.free + max(0, state.unused)
    part = min(1.0, left / max(1, state.prepaid))
    horizon_s = STAND_IN_HORIZON_S if rank is HomeRank.NONE else HORIZON_S
    floor = FIRST_SHARES[rank] * state.prepaid
    wanted = max(floor, state.demand * horizon_s)
    ready = min(wanted, READY_SHARES[rank] * part * left)
    locked = 0.0
    if rank is not HomeRank.NONE:
        share = LOCKED_SHARE * max(0.0, part - MIN_PART_TO_LOCK)
        locked = min(wanted, share * left)
    return StockTarget(ready=int(ready), locked=int(locked))


def plan_change(state: StockState, rank: HomeRank) -> StockChange | None:
    """Return the change of a stock that is due, None if it can stay as it is."""
    target = get_target(state, rank)
    if not state.waiting and not is_due(state, target):
        return None
    wanted = state.waiting + target.ready + target.locked
    tokens = min(state.free, wanted - state.unused)
    if state.waiting:
        tokens = max(0, tokens)
    unused = state.unused + tokens
    # With nothing free any more, those who wait get what was locked.
    locked = max(0, min(target.locked, unused - state.waiting - target.ready))
    if tokens == 0 and locked == state.locked:
        return None
    return StockChange(tokens=tokens, locked=locked)


def is_due(state: StockState, target: StockTarget) -> bool:
    """Tell whether a stock is far enough from what is wanted for a call."""
    excess = state.unused - target.ready - target.locked
    if excess >= MIN_CHANGE_TOKENS:
        return state.unused > HIGH_WATER * (target.ready + target.locked)
    may_grow = min(state.free + max(0, state.ready), target.ready) - state.ready
    if state.ready < LOW_WATER * target.ready and may_grow >= MIN_CHANGE_TOKENS:
        return True
    missing = min(state.free, target.locked - state.locked)
    low = state.locked < LOCKED_LOW_WATER * target.locked
    # A lock that holds more than its share keeps the last tokens from callers.
    high = state.locked > HIGH_WATER * target.locked and state.ready < target.ready
    return (low and missing >= MIN_CHANGE_TOKENS) or high
