"""Account for one workspace's tokens at its home; pure."""

from collections import OrderedDict
from dataclasses import dataclass, field

from trefoilstage.components.escrow.record import AccountRecord, Holder

# The store was out of reach for 4 to 9 s at a time. A home that has drawn ten
# seconds of its demand goes on through that; what it drew is lost with it.
HOME_HORIZON_S = 10.0
# A host that only stands in for the home for a moment draws little.
STAND_IN_HORIZON_S = 1.0
LOW_WATER = 0.7  # of the wanted stock; below it the home draws again
# What a home has before it knows the demand, as a share of the prepaid tokens.
FIRST_SHARE = 0.04
DEMAND_WINDOW_S = 4.0
MAX_SETTLED = 2_000
# A draw takes at most this share of what is free, so that near the end several
# homes can still draw, unless a request that waits needs more.
MAX_FREE_SHARE = 0.5


@dataclass(kw_only=True, slots=True)
class Demand:
    """Estimate the tokens asked for a second, decaying over a window."""

    amount: float = 0.0
    at: float = 0.0

    def note(self, tokens: int, now: float) -> None:
        """Count tokens that were asked for."""
        self._decay(now)
        self.amount += tokens

    def estimate(self, now: float) -> float:
        """Return the tokens a second."""
        self._decay(now)
        return self.amount / DEMAND_WINDOW_S

    def _decay(self, now: float) -> None:
        age_s = max(0.0, now - self.at)
        self.amount *= 0.5 ** (age_s / (DEMAND_WINDOW_S / 2))
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
    demand: Demand = field(default_factory=Demand)
    waiting: int = 0  # tokens that requests wait for

    @property
    def drawn(self) -> int:
        """Return what this incarnation has drawn, as the store has confirmed."""
        return self.record.get_drawn(self.host, self.incarnation)

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
        return self.drawn - self.spent - self.held - excess

    @property
    def free(self) -> int:
        """Return the prepaid tokens that nobody has drawn."""
        return max(0, self.prepaid - self.record.drawn)

    def take_record(self, record: AccountRecord, offset: int) -> None:
        """Take in the store's record, unless it is older than the known one."""
        if offset > self.record_offset:
            self.record = record
            self.record_offset = offset

    def hold(self, request: str, tokens: int) -> bool:
        """Hold tokens for a request if they are available; idempotent."""
        if request in self.holds:
            return True
        # The settlement of a hold that was given up may overtake the hold.
        if request in self.settled or tokens > self.available:
            return False
        self.holds[request] = tokens
        return True

    def settle(self, request: str, spent: int) -> None:
        """End a hold and count what was spent; idempotent."""
        if request in self.settled:
            return
        held = self.holds.pop(request, None)
        self.settled[request] = None
        if held is not None:
            self.spent += spent
        while len(self.settled) > MAX_SETTLED:
            self.settled.popitem(last=False)

    def can_cover(self, tokens: int) -> bool:
        """Tell whether a draw could make enough tokens available."""
        return self.available + self.free >= tokens

    def is_nearly_spent(self, tokens: int) -> bool:
        """Tell whether what was really spent or held leaves no room for a request.

        Tokens that lost hosts had drawn make a budget look used up. Only when it
        is used up in truth is the caller told that its balance is too low.
        """
        others = self.record.spent - self._get_reported_spent()
        used = others + self.spent + self.held
        return used + tokens > 0.97 * self.prepaid

    def want_draw(self, now: float, *, home: bool) -> int:
        """Return how many tokens to draw now, 0 for none."""
        if self.waiting == 0 and not home:
            return 0
        wanted = self.get_wanted(now, home=home)
        if self.waiting == 0 and self.available >= LOW_WATER * wanted:
            return 0
        missing = max(0, int(wanted) - self.available)
        needed = max(0, self.waiting - self.available)
        return min(
            self.free, max(needed, min(missing, int(MAX_FREE_SHARE * self.free)))
        )

    def get_wanted(self, now: float, *, home: bool) -> float:
        """Return the stock that serves callers through an outage of the store."""
        horizon_s = HOME_HORIZON_S if home else STAND_IN_HORIZON_S
        floor = FIRST_SHARE * self.prepaid if home else 0.0
        return self.waiting + max(floor, self.demand.estimate(now) * horizon_s)

    def make_draw(self, tokens: int) -> AccountRecord:
        """Return the record with tokens more, or fewer, drawn by this incarnation."""
        holder = Holder(
            incarnation=self.incarnation,
            drawn=self.drawn + tokens,
            spent=self.spent,
        )
        return self.record.set_holder(self.host, holder)

    def _get_reported_spent(self) -> int:
        holder = self.record.holders.get(self.host)
        if holder is None or holder.incarnation != self.incarnation:
            return 0
        return holder.spent
