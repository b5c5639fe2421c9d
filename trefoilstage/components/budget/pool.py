"""Account for the tokens of one draw on its holder; pure, with no clock."""

from dataclasses import dataclass, field

from trefoilstage.ledger.records import BilledRequest

NO_WITNESS = ""


@dataclass(kw_only=True, slots=True)
class Hold:
    """Hold the most that one request may spend."""

    request: str
    key: str
    tokens: int
    confirmed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundProposal:
    """Carry what a witness is asked to allow."""

    sequence: int
    level: int
    opened: tuple[BilledRequest, ...]
    closed: tuple[str, ...]


@dataclass(kw_only=True, slots=True)
class DrawPool:
    """Keep spend and holds of a draw within what its witness allowed.

    The invariant is: spent + confirmed holds <= permit, and a request is sent
    to a target only once its hold is confirmed.
    """

    draw: str
    account: str
    witness: str
    spent: int = 0
    settled: int = 0
    returning: int = 0
    permit: int = 0
    sequence: int = 0
    retired: bool = False
    holds: dict[str, Hold] = field(default_factory=dict)
    unbilled: list[BilledRequest] = field(default_factory=list)
    closed: list[str] = field(default_factory=list)

    @property
    def level(self) -> int:
        """Return what is spent or may yet be spent by running requests."""
        return self.spent + sum(hold.tokens for hold in self.holds.values())

    def count_usable(self, amount: int) -> int:
        """Return what new requests may hold, given the draw's folded amount."""
        if self.retired:
            return 0
        return amount - self.returning - self.level

    def add_hold(self, hold: Hold) -> None:
        """Hold tokens for a request; confirmed at once without a witness."""
        hold.confirmed = self.witness == NO_WITNESS
        self.holds[hold.request] = hold

    def settle_hold(self, request: str, tokens: int) -> None:
        """End a request and count what it really spent."""
        hold = self.holds.pop(request)
        self.spent += tokens
        self.closed.append(hold.key)
        if tokens > 0:
            self.unbilled.append(BilledRequest(key=hold.key, tokens=tokens))

    def propose_bound(self) -> BoundProposal | None:
        """Return what to ask the witness for, or None when nothing changed."""
        unconfirmed = [hold for hold in self.holds.values() if not hold.confirmed]
        level = self.level
        if not unconfirmed and level >= self.permit and not self.closed:
            return None
        self.sequence += 1
        # A lower level binds the holder from the moment it is sent: the
        # witness may act on it at any time after that, also unanswered.
        self.permit = min(self.permit, level)
        return BoundProposal(
            sequence=self.sequence,
            level=level,
            opened=tuple(
                BilledRequest(key=hold.key, tokens=hold.tokens) for hold in unconfirmed
            ),
            closed=tuple(self.closed),
        )

    def confirm_bound(self, proposal: BoundProposal) -> None:
        """Take the witness's consent to a proposal."""
        self.permit = proposal.level
        keys = {request.key for request in proposal.opened}
        for hold in self.holds.values():
            hold.confirmed = hold.confirmed or hold.key in keys
        del self.closed[: len(proposal.closed)]

    def take_unbilled(self) -> tuple[BilledRequest, ...]:
        """Return the requests to bill in the next settlement and forget them."""
        requests = tuple(self.unbilled)
        self.unbilled.clear()
        return requests
