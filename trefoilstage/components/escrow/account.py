"""Account for one workspace's tokens at its home; pure."""

import math
from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from trefoilstage.components.escrow.record import AccountRecord, Holder

# The store was out of reach for 7 to 9 s at a time. A home that has drawn most of its
# demand for that long goes on meanwhile; what it has drawn is lost with it.
HOME_HORIZON_S = 8.0
# A host that only stands in for the home for a moment draws little.
STAND_IN_HORIZON_S = 0.5
# A stock takes at most this share of what is left of the budget. When all hosts lose
# their power at once, their stocks are lost for good, those of both homes and of a
# host that was one a moment ago. A budget that ends within the day is spent in full
# whether its callers were served in an outage or later, so that a large stock gains
# them little. With a quarter, a fifth of some budgets was lost at such an end, and
# with it the callers of the hours after it; with this share half of that.
MAX_STOCK_SHARE = 0.12
# Of the last tenth of a budget, a long request gets no more than half of what is left.
# One dossier of 12,000 tokens would else take what serves a dozen short questions, and
# for the rest of the day only calls without tokens would be served.
LAST_TENTH = 0.1
LAST_SHARE = 0.5
LONG_REQUEST_TOKENS = 4_000
LOW_WATER = 0.85  # of the wanted stock; below it the home draws again
# Above this multiple of the wanted stock the home gives the rest back.
HIGH_WATER = 1.3
# Smaller changes of a stock are not worth a call to the store.
MIN_CHANGE_TOKENS = 4_000
DEMAND_HALF_LIFE_S = 3.0
MAX_SETTLED = 2_000


class HomeRank(Enum):
    """Name what a host is to a workspace.

    No host holds tokens for its own requests, since it could not witness them after
    its own end. The second home serves the first, and others when the first fails.
    """

    FIRST = "first"
    SECOND = "second"
    NONE = "none"


# What a home has before it knows the demand, as a share of the prepaid tokens.
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


@dataclass(kw_only=True, slots=True)
class EscrowAccount:
    """Hold what this incarnation drew for a workspace and what it did with it."""

    workspace: str
    host: str
    incarnation: str
    prepaid: int = 0
    record: AccountRecord = field(default_factory=AccountRecord)
    record_offset: int = -1
    spent: int = 0
    holds: dict[str, int] = field(default_factory=dict)
    settled: OrderedDict[str, None] = field(default_factory=OrderedDict)
    requesters: dict[str, str] = field(default_factory=dict)  # by request held
    used: dict[str, int] = field(default_factory=dict)  # by requester served
    used_by_former: int = 0
    demand: Demand = field(default_factory=Demand)
    waiting: int = 0  # tokens that requests wait for
    returning: int = 0  # tokens on their way back to the store
    returning_at: int = -1  # where the partition ended when they were sent

    @property
    def drawn(self) -> int:
        """Return what this incarnation has drawn, as the store has confirmed."""
        holder = self.record.holders.get(self.incarnation)
        return holder.drawn if holder else 0

    @property
    def served(self) -> dict[str, str]:
        """Return the incarnations that may get grants, as the store has them."""
        holder = self.record.holders.get(self.incarnation)
        return holder.served if holder else {}

    @property
    def held(self) -> int:
        """Return the tokens held for requests under way."""
        return sum(self.holds.values())

    @property
    def available(self) -> int:
        """Return the tokens that may be held for new requests.

        When the prepaid tokens were lowered below what is drawn, the excess is
        not spent either; each holder leaves all of it, which is safe.
        """
        excess = max(0, self.record.drawn - self.prepaid)
        return self.drawn - self.spent - self.held - self.returning - excess

    @property
    def free(self) -> int:
        """Return the prepaid tokens that nobody has drawn."""
        return max(0, self.prepaid - self.record.drawn)

    def take_record(self, record: AccountRecord, offset: int) -> None:
        """Take in the store's record, unless it is older than the known one."""
        if offset > self.record_offset:
            self.record = record
            self.record_offset = offset

    def start_return(self, tokens: int, end_offset: int) -> None:
        """Keep tokens from being held while they are given back."""
        self.returning = tokens
        self.returning_at = end_offset

    def end_return(self) -> None:
        """Note that a return has landed or can no longer land."""
        self.returning = 0

    def take_end(self, end_offset: int) -> None:
        """Take in where the partition ends, as of the record that is known.

        A return whose answer was lost lands at the end that it was sent for, or
        never. Held again before that is known, its tokens would be spent twice.
        """
        if end_offset > self.returning_at:
            self.end_return()

    def serves(self, requester: str) -> bool:
        """Tell whether the store names an incarnation as one that gets grants."""
        return requester in self.used and requester in self.served.values()

    def hold(self, request: str, tokens: int, requester: str) -> bool:
        """Hold tokens for a request if they are available; idempotent.

        Only a requester that the store names gets any: when this host ends, those
        named are asked what they got.
        """
        if request in self.holds:
            return self.requesters[request] == requester
        # The settlement of a hold that was given up may overtake the hold.
        if request in self.settled or tokens > self.available:
            return False
        if self._is_too_long(tokens, self.available + self.free):
            return False
        if not self.serves(requester):
            return False
        self.holds[request] = tokens
        self.requesters[request] = requester
        self.used[requester] += tokens
        return True

    def settle(self, request: str, spent: int) -> None:
        """End a hold and count what was spent; idempotent."""
        if request in self.settled:
            return
        held = self.holds.pop(request, None)
        self.settled[request] = None
        if held is not None:
            self.spent += spent
            requester = self.requesters.pop(request)
            if requester in self.used:
                self.used[requester] -= held - spent
        while len(self.settled) > MAX_SETTLED:
            self.settled.popitem(last=False)

    def serve_only(self, requesters: Collection[str]) -> None:
        """Serve some incarnations, and no more those that have ended.

        At once, before the store names the new ones: a former one that got a grant
        after its total was taken would be missing in it.
        """
        for former in set(self.used) - set(requesters):
            self.used_by_former += self.used.pop(former)
        for requester in requesters:
            self.used.setdefault(requester, 0)

    def can_cover(self, tokens: int) -> bool:
        """Tell whether a draw could make enough tokens available."""
        left = self.available + self.free
        return left >= tokens and not self._is_too_long(tokens, left)

    def _is_too_long(self, tokens: int, left: int) -> bool:
        if tokens < LONG_REQUEST_TOKENS or left >= LAST_TENTH * self.prepaid:
            return False
        return tokens > LAST_SHARE * left

    def is_nearly_spent(self, tokens: int) -> bool:
        """Tell whether what was really spent or held leaves no room for a request.

        Tokens that lost hosts had drawn make a budget look used up. Only when it
        is used up in truth is the caller told that its balance is too low.
        """
        others = self.record.spent - self._get_reported_spent()
        used = others + self.spent + self.held
        return used + tokens > 0.97 * self.prepaid

    def want_change(self, now: float, rank: HomeRank) -> int:
        """Return how many tokens to draw now, or, below 0, to give back."""
        stock = self.get_stock(now, rank)
        if self.waiting:
            return min(self.free, max(0, self.waiting + stock - self.available))
        if self.available < LOW_WATER * stock:
            change = min(self.free, stock - self.available)
        elif self.available > HIGH_WATER * stock:
            change = stock - self.available
        else:
            return 0
        return change if abs(change) >= MIN_CHANGE_TOKENS else 0

    def get_stock(self, now: float, rank: HomeRank) -> int:
        """Return the stock that serves callers through an outage of the store."""
        stand_in = rank is HomeRank.NONE
        horizon_s = STAND_IN_HORIZON_S if stand_in else HOME_HORIZON_S
        floor = FIRST_SHARES[rank] * self.prepaid
        wanted = max(floor, self.demand.estimate(now) * horizon_s)
        left = self.free + max(0, self.available)
        return int(min(wanted, MAX_STOCK_SHARE * left))

    def make_draw(self, tokens: int, served: Mapping[str, str]) -> AccountRecord:
        """Return the record with tokens more, or fewer, drawn by this incarnation."""
        self.serve_only(served.values())
        holder = Holder(
            host=self.host,
            drawn=self.drawn + tokens,
            spent=self.spent,
            served=dict(served),
            used_by_former=self.used_by_former,
        )
        return self.record.set_holder(self.incarnation, holder)

    def _get_reported_spent(self) -> int:
        holder = self.record.holders.get(self.incarnation)
        return holder.spent if holder else 0
