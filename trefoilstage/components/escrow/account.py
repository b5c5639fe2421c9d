"""Account for the tokens of one workspace at its home; pure."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.messages import (
    AccountKnowledge,
    GrantBasis,
    RestoredAccount,
)
from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.reserve import SizeDemand
from trefoilstage.components.escrow.restored_record import (
    NO_POSITION,
    RestoredRecord,
    is_current,
    make_missing,
    make_restored,
)
from trefoilstage.components.escrow.stock import (
    Demand,
    HomeRank,
    StockChange,
    StockState,
    plan_change,
)
from trefoilstage.components.views.store import split_position

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
    # The store's record if it came back older since, until it is reconciled.
    restored: RestoredRecord | None = None
    # The restored record for which this host last told others its draws.
    reported_at: int = NO_POSITION

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
    def basis(self) -> GrantBasis:
        """Return what a grant that is made now relies on."""
        return GrantBasis(
            drawn=self.drawn, position=max(self.record_offset, self.reported_at)
        )

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
        return self.record_offset >= 0 and not self.restored and not self.pending

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
    def must_report_spent(self) -> bool:
        """Return whether the store's record lacks spent tokens near a budget's end.

        What this host reported when the store came back older was held in part. As
        long as others count that as unspent, callers are told to come back in vain.
        """
        is_low = self.free < LOW_BALANCE_SHARE * self.prepaid
        is_unreported = self.spent > self._get_reported_spent() and not self.holds
        return is_low and is_unreported and self.reported_at > NO_POSITION

    @property
    def obtainable(self) -> int:
        """Return the most tokens that requests may still get, whoever has them now.

        Nothing but a higher balance raises this, so that an old record is no risk.
        """
        own = self.drawn - self.spent
        returning = self.unreported_by_others + own
        return self.prepaid - self.record.drawn + returning

    def update_record(self, record: AccountRecord, position: int) -> None:
        """Replace the record by the store's, unless that is older.

        A record from before the store came back older may lack draws. It is only kept
        to be reconciled with what all hosts know.
        """
        if position <= max(self.record_offset, self._restored_at):
            return
        if not is_current(record, position):
            self.restored = make_restored(record, position)
        elif position > self.reported_at:
            # Others count on what this host has reported, so that the reply to a
            # write before it comes too late.
            self.record = record
            self.record_offset = position
            self.restored = None

    def record_own_write(self, record: AccountRecord, position: int) -> None:
        """Replace the record by one that this incarnation has written."""
        if position > self.reported_at:
            self.clear_pending()
        self.update_record(record, position)

    def report(self, account: RestoredAccount) -> AccountKnowledge:
        """Return what is known of the account since a record was written."""
        self.reported_at = max(self.reported_at, account.read_at)
        is_newer = self.record_offset > account.written_at
        return AccountKnowledge(
            position=self.record_offset,
            record=self.record if is_newer else None,
            roster=dict(self.listed_requesters),
            spent=self.spent,
        )

    def record_missing(self, end_offset: int) -> None:
        """Record that the store has no record of the account.

        A store that came back older may have had one.
        """
        era, _ = split_position(end_offset)
        missing = make_missing(era)
        if era > 0 and missing.read_at > max(self.record_offset, self._restored_at):
            self.restored = missing

    @property
    def _restored_at(self) -> int:
        return self.restored.read_at if self.restored else NO_POSITION

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
        would be spent twice. If the store came back older meanwhile, others may have
        drawn them until then.
        """
        if end_offset > self.pending_at and not self.restored:
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
