"""Account for one workspace's tokens at its home; pure."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.stock import (
    Demand,
    HomeRank,
    StockChange,
    StockState,
    plan_change,
)

# Of the last tenth of a budget, a long request gets no more than half of what is left.
# One dossier of 12,000 tokens would else take what serves a dozen short questions, and
# for the rest of the day only calls without tokens would be served.
LAST_TENTH = 0.1
LAST_SHARE = 0.5
LONG_REQUEST_TOKENS = 4_000
# Of the prepaid tokens. What may go unused without a refusal being false.
SPENT_SHARE = 0.97
MAX_SETTLED = 2_000


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
    rosters: dict[str, dict[str, str]] = field(default_factory=dict)  # by name
    used_by_former: int = 0
    demand: Demand = field(default_factory=Demand)
    waiting: int = 0  # tokens that requests wait for
    lock: ReserveLock = field(default_factory=ReserveLock)  # of the whole host
    pending: list[StockChange] = field(default_factory=list)  # writes not known to land
    pending_at: int = -1  # where the partition ended when they were sent

    @property
    def drawn(self) -> int:
        """Return what this incarnation has drawn, as the store has confirmed."""
        holder = self.record.holders.get(self.incarnation)
        return holder.drawn if holder else 0

    @property
    def served(self) -> dict[str, str]:
        """Return the incarnations that may get grants, as the store has them."""
        holder = self.record.holders.get(self.incarnation)
        return self.rosters.get(holder.roster, {}) if holder else {}

    @property
    def held(self) -> int:
        """Return the tokens held for requests under way."""
        return sum(self.holds.values())

    @property
    def locked(self) -> int:
        """Return the most that the store may say is locked here."""
        holder = self.record.holders.get(self.incarnation)
        pledged = (change.locked for change in self.pending)
        return max(holder.locked if holder else 0, *pledged, 0)

    @property
    def returning(self) -> int:
        """Return the most tokens that a write may give back yet."""
        return max(0, *(-change.tokens for change in self.pending), 0)

    @property
    def unused(self) -> int:
        """Return the tokens that are drawn here and neither spent nor held.

        When the prepaid tokens were lowered below what is drawn, the excess is
        not spent either; each holder leaves all of it, which is safe.
        """
        excess = max(0, self.record.drawn - self.prepaid)
        return self.drawn - self.spent - self.held - self.returning - excess

    @property
    def is_touched(self) -> bool:
        """Tell whether tokens are in use that the store may say are locked."""
        return self.locked > 0 and self.unused < self.locked

    def get_available(self, now: float) -> int:
        """Return the tokens that may be held for new requests."""
        return self.unused - (0 if self.lock.is_open(now) else self.locked)

    @property
    def free(self) -> int:
        """Return the prepaid tokens that nobody has drawn."""
        return max(0, self.prepaid - self.record.drawn)

    def take_record(self, record: AccountRecord, offset: int) -> None:
        """Take in the store's record, unless it is older than the known one."""
        if offset > self.record_offset:
            self.record = record
            self.record_offset = offset

    def start_change(self, change: StockChange, end_offset: int) -> None:
        """Keep tokens from being held while a write may give them back or lock them."""
        self.pending.append(change)
        self.pending_at = end_offset

    def undo_change(self) -> None:
        """Forget the last write, which the store refused; earlier ones may land."""
        self.pending.pop()

    def end_changes(self) -> None:
        """Note that each write has landed or can no longer land."""
        self.pending.clear()

    def take_end(self, end_offset: int) -> None:
        """Take in where the partition ends, as of the record that is known.

        A write whose answer was lost lands at the end that it was sent for, or
        never. Held again before that is known, tokens that it gave back would be
        spent twice.
        """
        if end_offset > self.pending_at:
            self.end_changes()

    def serves(self, requester: str) -> bool:
        """Tell whether the store names an incarnation as one that gets grants."""
        return requester in self.used and requester in self.served.values()

    def hold(self, request: str, tokens: int, requester: str, now: float) -> bool:
        """Hold tokens for a request if they are available; idempotent.

        Only a requester that the store names gets any: when this host ends, those
        named are asked what they got.
        """
        if request in self.holds:
            return self.requesters[request] == requester
        # The settlement of a hold that was given up may overtake the hold.
        if request in self.settled or tokens > self.get_available(now):
            return False
        if self._is_too_long(tokens, self.unused + self.free):
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
        left = self.unused + self.free
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
        return used + tokens > SPENT_SHARE * self.prepaid

    def plan_change(self, now: float, rank: HomeRank) -> StockChange | None:
        """Return what to draw, give back or lock now, None if nothing."""
        state = StockState(
            prepaid=self.prepaid,
            free=self.free,
            unused=self.unused,
            locked=self.locked,
            waiting=self.waiting,
            demand=self.demand.estimate(now),
        )
        return plan_change(state, rank)

    def make_record(
        self, change: StockChange, served: Mapping[str, str], roster: str
    ) -> AccountRecord:
        """Return the record after a change of this incarnation's stock."""
        self.serve_only(served.values())
        self.rosters[roster] = dict(served)
        holder = Holder(
            host=self.host,
            drawn=self.drawn + change.tokens,
            spent=self.spent,
            locked=change.locked,
            roster=roster,
            used_by_former=self.used_by_former,
        )
        return self.record.set_holder(self.incarnation, holder)

    def _get_reported_spent(self) -> int:
        holder = self.record.holders.get(self.incarnation)
        return holder.spent if holder else 0
