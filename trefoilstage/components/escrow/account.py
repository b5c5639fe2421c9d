"""Account for the tokens of one workspace at its home; pure."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.reserve import SizeDemand
from trefoilstage.components.escrow.restored_record import (
    is_own_current,
    is_own_stated,
    join_records,
    keep_stated,
)
from trefoilstage.components.escrow.stock import (
    Demand,
    HomeRank,
    StockChange,
    StockState,
    plan_change,
)

# In the last tenth of a budget, a long request gets at most half of what is left. One
# request of 12,000 tokens would otherwise take what serves a dozen short ones, and for
# the rest of the day only requests without tokens would be served.
LOW_BALANCE_SHARE = 0.1
MAX_LOW_BALANCE_SHARE = 0.5
LONG_REQUEST_TOKENS = 4_000
# A budget counts as exhausted when more than this share of it is spent or held. Up to
# 3% may go unused; a refusal with more than that left would be false.
EXHAUSTED_SHARE = 0.97
MAX_REMEMBERED_SETTLEMENTS = 2_000


@dataclass(kw_only=True, slots=True)
class EscrowAccount:
    """Represent an account with what this incarnation drew and granted of it."""

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
    used: dict[str, int] = field(default_factory=dict)  # by listed requester
    rosters: dict[str, dict[str, str]] = field(default_factory=dict)  # by name
    used_by_former: int = 0
    revision: int = 0  # of the last write, whether or not it was stored
    demand: Demand = field(default_factory=Demand)
    size_demand: SizeDemand = field(default_factory=SizeDemand)
    waiting: int = 0  # tokens that waiting requests need
    lock: ReserveLock = field(default_factory=ReserveLock)  # one for the whole host
    pending: list[StockChange] = field(default_factory=list)  # writes not confirmed
    pending_at: int = -1  # the partition's end offset when they were sent
    # The record before the store came back older, until all homes wrote theirs again.
    known_before: AccountRecord | None = None
    lacks_known: bool = False  # whether the stored record lacks part of that one

    @property
    def drawn(self) -> int:
        """Return the tokens that this incarnation has drawn, confirmed by the store."""
        holder = self.record.holders.get(self.incarnation)
        return holder.drawn if holder else 0

    @property
    def listed_requesters(self) -> dict[str, str]:
        """Return the incarnations that may get grants by the stored roster, by host."""
        holder = self.record.holders.get(self.incarnation)
        return self.rosters.get(holder.roster, {}) if holder else {}

    @property
    def held(self) -> int:
        """Return the tokens held for running requests."""
        return sum(self.holds.values())

    @property
    def locked(self) -> int:
        """Return the most tokens that the store may record as locked here."""
        holder = self.record.holders.get(self.incarnation)
        pending_locked = (change.locked for change in self.pending)
        return max(holder.locked if holder else 0, *pending_locked, 0)

    @property
    def restated_locked(self) -> int:
        """Return the locked tokens to write again once the store came back older.

        The restored record may name as locked what was unlocked and used since.
        """
        known = self.known_before
        own = known.holders.get(self.incarnation) if known else None
        return min(self.locked, own.locked) if own else self.locked

    @property
    def returning(self) -> int:
        """Return the most tokens that an unconfirmed write may return."""
        return max(0, *(-change.tokens for change in self.pending), 0)

    @property
    def unused(self) -> int:
        """Return the tokens that are drawn here and neither spent nor held.

        If the prepaid tokens were lowered below what is drawn, the excess must not
        be spent either; each holder subtracts all of it, which is safe.
        """
        excess = max(0, self.record.drawn - self.prepaid)
        return self.drawn - self.spent - self.held - self.returning - excess

    @property
    def has_used_locked(self) -> bool:
        """Return whether tokens that the store may record as locked are in use."""
        return self.locked > 0 and self.unused < self.locked

    def get_available(self, now: float) -> int:
        """Return the tokens that may be held for new requests."""
        return self.unused - (0 if self.lock.is_open(now) else self.locked)

    @property
    def free(self) -> int:
        """Return the prepaid tokens that no host has drawn."""
        return max(0, self.prepaid - self.record.drawn)

    @property
    def is_read(self) -> bool:
        """Return whether the store's record is known, with no write unconfirmed."""
        is_made_good = self.known_before is None and not self.lacks_known
        return self.record_offset >= 0 and is_made_good and not self.pending

    @property
    def unreported_by_others(self) -> int:
        """Return the tokens that other holders drew and have not reported as spent.

        An ended holder counts until it is retired, because its unused tokens may be
        drawn again then.
        """
        return sum(
            max(0, holder.drawn - holder.spent)
            for incarnation, holder in self.record.holders.items()
            if incarnation != self.incarnation
        )

    @property
    def obtainable(self) -> int:
        """Return the most tokens that requests may still get, whoever has them now.

        Nothing but a higher balance raises this, so that an old record is no risk.
        """
        own = self.drawn - self.spent
        returning = self.unreported_by_others + own
        return self.prepaid - self.record.drawn + returning

    def update_record(self, record: AccountRecord, offset: int) -> None:
        """Replace the record by the store's, unless that is older."""
        if offset > self.record_offset:
            self.record = self._make_good(record)
            self.record_offset = offset

    def record_own_write(
        self, record: AccountRecord, offset: int, *, restates_own: bool
    ) -> None:
        """Replace the record by one that this incarnation has written.

        A write that retires another holder copies the stored one of this incarnation,
        which may be older than what it stated last.
        """
        self.clear_pending()
        own = record.holders.get(self.incarnation)
        if self.known_before is not None and own is not None and restates_own:
            self.known_before = self.known_before.set_holder(self.incarnation, own)
        self.update_record(record, offset)

    def record_missing(self, end_offset: int) -> None:
        """Record that the store has no record of the account, as its copy had none."""
        if self.known_before is not None:
            self.update_record(AccountRecord(), end_offset - 1)

    def begin_making_good(self) -> None:
        """Keep to the record as known, as the store came back from an older copy."""
        if self.record_offset < 0:
            return
        known = self.record
        if self.known_before is not None:
            # The record may have the roster and locked tokens of an earlier copy.
            own = self.known_before.holders.get(self.incarnation)
            known = known.set_holder(self.incarnation, own) if own else known
        self.known_before = known

    def end_making_good(self) -> None:
        """Take records as the store has them, unless they still lack own draws."""
        if not self.lacks_known:
            self.known_before = None

    def _make_good(self, stored: AccountRecord) -> AccountRecord:
        """Return a stored record with what it lacks of the one known before."""
        known = self.known_before
        if known is None:
            return stored
        own = known.holders.get(self.incarnation)
        stored_own = stored.holders.get(self.incarnation)
        joined = join_records(stored, known)
        if own is not None:
            returned = {own.drawn + change.tokens for change in self.pending}
            if is_own_current(stored_own, own, returned) and stored_own is not None:
                # Grants follow the stored roster, although the known one is newer.
                joined = joined.set_holder(self.incarnation, stored_own)
                kept = keep_stated(stored_own, own)
                known = known.set_holder(self.incarnation, kept)
            else:
                joined = joined.set_holder(self.incarnation, own)
        self.known_before = known
        self.lacks_known = joined != stored or not is_own_stated(stored_own, own)
        return joined

    def start_change(self, change: StockChange, end_offset: int) -> None:
        """Reserve the tokens that a write may return or lock, until it is confirmed."""
        self.pending.append(change)
        self.pending_at = end_offset

    def drop_last_change(self) -> None:
        """Drop the last write, which the store refused; earlier ones stay pending."""
        self.pending.pop()

    def clear_pending(self) -> None:
        """Drop all pending writes: each is stored or can no longer be."""
        self.pending.clear()

    def resolve_pending(self, end_offset: int) -> None:
        """Drop pending writes once the partition has grown past their offset.

        A write without a reply is stored at the end offset that it was sent for, or
        never. If tokens that it returns were held again before that is known, they
        would be spent twice.
        """
        if end_offset > self.pending_at:
            self.clear_pending()

    def is_listed(self, requester: str) -> bool:
        """Return whether the stored roster lists an incarnation as a requester."""
        return requester in self.used and requester in self.listed_requesters.values()

    def hold(self, request: str, tokens: int, requester: str, now: float) -> bool:
        """Hold tokens for a request if they are available; idempotent.

        Only a requester on the stored roster gets tokens, because the listed hosts
        are asked about their grants when this host ends.
        """
        if request in self.holds:
            return self.requesters[request] == requester
        # The settlement of an abandoned hold may arrive before the hold.
        if request in self.settled or tokens > self.get_available(now):
            return False
        if self._exceeds_low_balance_limit(tokens, self.unused + self.free):
            return False
        if not self.is_listed(requester):
            return False
        self.holds[request] = tokens
        self.requesters[request] = requester
        self.used[requester] += tokens
        return True

    def settle(self, request: str, spent: int) -> None:
        """End a hold and count the tokens spent; idempotent."""
        if request in self.settled:
            return
        held = self.holds.pop(request, None)
        self.settled[request] = None
        if held is not None:
            self.spent += spent
            requester = self.requesters.pop(request)
            if requester in self.used:
                self.used[requester] -= held - spent
        while len(self.settled) > MAX_REMEMBERED_SETTLEMENTS:
            self.settled.popitem(last=False)

    def replace_requesters(self, requesters: Collection[str]) -> None:
        """Grant only to these incarnations from now on, not to ended ones.

        This happens before the new roster is stored: a grant to a removed requester
        after its total is taken would be missing from the total.
        """
        for former in set(self.used) - set(requesters):
            self.used_by_former += self.used.pop(former)
        for requester in requesters:
            self.used.setdefault(requester, 0)

    def can_cover(self, tokens: int) -> bool:
        """Return whether a draw could make enough tokens available."""
        left = self.unused + self.free
        return left >= tokens and not self._exceeds_low_balance_limit(tokens, left)

    def _exceeds_low_balance_limit(self, tokens: int, left: int) -> bool:
        if tokens < LONG_REQUEST_TOKENS or left >= LOW_BALANCE_SHARE * self.prepaid:
            return False
        return tokens > MAX_LOW_BALANCE_SHARE * left

    def is_nearly_spent(self, tokens: int) -> bool:
        """Return whether the tokens spent or held leave no room for a request.

        Tokens drawn by lost hosts make a budget look used up, but may be recovered;
        see `is_gone_for_good`.
        """
        spent_by_others = self.record.spent - self._get_reported_spent()
        used = spent_by_others + self.spent + self.held
        return used + tokens > EXHAUSTED_SHARE * self.prepaid

    def is_gone_for_good(self, tokens: int) -> bool:
        """Return whether no return or end of a request makes room for a request.

        What ended holders drew and nobody can account for counts as used. Callers
        refused with a time to retry came back all day for such tokens.
        """
        return self.is_read and tokens > self.obtainable

    def count_held_for_live(self, tokens: int) -> int:
        """Return the tokens held for requests of live hosts, as far as they may help.

        The holds of an ended host are never settled. The result is 0 if a request for
        `tokens` would exceed the limit of a low balance even if all of them were freed.
        """
        listed = set(self.listed_requesters.values()) & set(self.used)
        held = sum(
            amount
            for request, amount in self.holds.items()
            if self.requesters[request] in listed
        )
        left = self.unused + self.free + held
        return 0 if self._exceeds_low_balance_limit(tokens, left) else held

    def plan_change(self, now: float, rank: HomeRank) -> StockChange | None:
        """Return what to draw, return or lock now, None if nothing."""
        state = StockState(
            prepaid=self.prepaid,
            free=self.free,
            unused=self.unused,
            locked=self.locked,
            waiting_tokens=self.waiting,
            demand_per_s=self.demand.estimate(now),
        )
        return plan_change(state, rank)

    def make_record(
        self, change: StockChange, members: Mapping[str, str], roster: str
    ) -> AccountRecord:
        """Return the record after a stock change.

        From now on, only `members` get grants.
        """
        self.replace_requesters(members.values())
        self.rosters[roster] = dict(members)
        self.revision += 1
        holder = Holder(
            host=self.host,
            drawn=self.drawn + change.tokens,
            spent=self.spent,
            locked=change.locked,
            roster=roster,
            used_by_former=self.used_by_former,
            revision=self.revision,
        )
        return self.record.set_holder(self.incarnation, holder)

    def _get_reported_spent(self) -> int:
        holder = self.record.holders.get(self.incarnation)
        return holder.spent if holder else 0
