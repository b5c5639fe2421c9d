"""Count the tokens of one draw at the host that holds it; pure, with no clock.

A hold reserves the most that one request may spend. The draw's witness is a
peer host that confirms each hold; if the holder is lost, the witness seals
the draw by its own table of holds. A bound is the message that reports ended
holds to the witness and asks it to allow new ones.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from trefoilstage.components.budget.messages import Bound
from trefoilstage.ledger.records import BilledRequest, OpenRequest, Settle
from trefoilstage.ledger.state import DrawState, DrawStatus

NO_WITNESS = ""
MAX_UNBILLED = 20_000
MAX_ENTRIES_PER_MESSAGE = 2_000


@dataclass(kw_only=True, slots=True)
class Hold:
    """Describe the tokens reserved for one request."""

    number: int
    request: str
    key: str
    tokens: int
    targets: tuple[int, ...] = ()
    confirmed: bool = False

    def make_open_request(self) -> OpenRequest:
        """Return the hold in the form that the witness and the log store."""
        return OpenRequest(
            number=self.number,
            key=self.key,
            tokens=self.tokens,
            request=self.request,
            targets=self.targets,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRequest:
    """Describe what an ended request spent and the draw's total after it."""

    number: int
    key: str
    tokens: int
    after: int

    def make_billed_request(self) -> BilledRequest:
        """Return the request in the form that the witness and the log store."""
        return BilledRequest(key=self.key, tokens=self.tokens, number=self.number)


@dataclass(kw_only=True, slots=True)
class DrawPool:
    """Limit the spend and holds of a draw to its amount and what its witness allows.

    A request is sent to a target only after its hold is confirmed, so the
    witness's table always covers everything that this holder may have spent.
    """

    draw: str
    account: str
    witness: str
    spent: int = 0
    held: int = 0
    returning: int = 0  # the amount of the return record in flight
    sequence: int = 0  # the number of the last bound
    retired: bool = False
    granted: bool = False  # whether the log has opened the draw
    n_drawing: int = 0  # draw records in flight
    settling: bool = False  # whether a settlement is in flight
    dropped: bool = False  # whether an entry was dropped from `unbilled`
    n_holds: int = 0  # holds made so far
    holds: dict[int, Hold] = field(default_factory=dict)
    unconfirmed: dict[int, Hold] = field(default_factory=dict)
    # Ended requests that the log has not counted yet.
    unbilled: deque[EndedRequest] = field(default_factory=deque)
    # Ended requests that the witness has not confirmed yet.
    unwitnessed: deque[EndedRequest] = field(default_factory=deque)
    # Addresses, to which holds refer by index.
    targets: list[str] = field(default_factory=list)

    @property
    def committed(self) -> int:
        """Return the amount spent, plus what running requests may still spend."""
        return self.spent + self.held

    def count_usable(self, amount: int) -> int:
        """Return how much new requests may hold, given the draw's amount in the log."""
        if self.retired:
            return 0
        return amount - self.returning - self.committed

    def add_hold(
        self, *, request: str, key: str, tokens: int, targets: Iterable[str] = ()
    ) -> Hold:
        """Hold tokens for a request; the hold is confirmed if there is no witness."""
        self.n_holds += 1
        # Several targets may share an address. A recovering host that asked it once
        # for each of them would count the same spend each time, and overbill a retry.
        numbers = dict.fromkeys(self._index_target(target) for target in targets)
        hold = Hold(
            number=self.n_holds,
            request=request,
            key=key,
            tokens=tokens,
            targets=tuple(numbers),
            confirmed=self.witness == NO_WITNESS,
        )
        self.holds[hold.number] = hold
        self.held += tokens
        if not hold.confirmed:
            self.unconfirmed[hold.number] = hold
        return hold

    def _index_target(self, target: str) -> int:
        if target not in self.targets:
            self.targets.append(target)
        return self.targets.index(target)

    def settle_hold(self, number: int, tokens: int) -> None:
        """End a hold and count what its request spent."""
        hold = self.holds.pop(number)
        self.unconfirmed.pop(number, None)
        self.held -= hold.tokens
        self.spent += tokens
        ended_request = EndedRequest(
            number=number, key=hold.key, tokens=tokens, after=self.spent
        )
        if tokens > 0:
            self.unbilled.append(ended_request)
        # Entries accumulate while the log is unreachable. Dropping the oldest
        # bounds the memory. The draw's total still includes them, so all spend is
        # billed; only a later retry with the key of a dropped entry is billed twice.
        while len(self.unbilled) > MAX_UNBILLED:
            self.unbilled.popleft()
            self.dropped = True
        if self.witness != NO_WITNESS and not self.retired:
            self.unwitnessed.append(ended_request)

    def retire(self) -> None:
        """Stop accepting holds; the open ones end and are settled."""
        self.retired = True
        self.unwitnessed.clear()

    def propose_bound(self, stream: int) -> Bound | None:
        """Return the next bound for the witness, or None if nothing has changed."""
        ended = list(islice(self.unwitnessed, MAX_ENTRIES_PER_MESSAGE))
        opened = list(islice(self.unconfirmed.values(), MAX_ENTRIES_PER_MESSAGE))
        if not ended and not opened:
            return None
        self.sequence += 1
        before = ended[0].after - ended[0].tokens if ended else self.spent
        return Bound(
            draw=self.draw,
            stream=stream,
            sequence=self.sequence,
            before=before,
            ended=tuple(request.make_billed_request() for request in ended),
            opened=tuple(hold.make_open_request() for hold in opened),
            targets=tuple(self.targets),
        )

    def confirm_bound(self, bound: Bound) -> None:
        """Record that the witness allowed a bound."""
        for request in bound.opened:
            hold = self.unconfirmed.pop(request.number, None)
            if hold is not None:
                hold.confirmed = True
        if not self.retired:
            for _ in bound.ended:
                self.unwitnessed.popleft()

    def forget_settled_up_to(self, spent: int) -> None:
        """Drop the ended requests that the log has counted."""
        while self.unbilled and self.unbilled[0].after <= spent:
            self.unbilled.popleft()

    def forget_settled(self, state: DrawState) -> None:
        """Drop the ended requests that no longer need a settlement."""
        if state.status is DrawStatus.OPEN:
            self.forget_settled_up_to(state.spent)
            return
        # A sealed draw's total also grows by what targets report of other holds,
        # so it does not show what was counted here. The doubtful holds show it.
        self.unbilled = deque(
            request for request in self.unbilled if request.number in state.doubtful
        )

    def make_settlement(self, state: DrawState) -> Settle | None:
        """Return the settlement that the log still lacks, or None."""
        self.forget_settled(state)
        entries = list(islice(self.unbilled, MAX_ENTRIES_PER_MESSAGE))
        is_final = self._is_final(state, len(entries))
        # A witness that lost contact with this host alone must learn that the
        # host is alive, before it has the targets end the running requests.
        must_report_alive = state.status is DrawStatus.SEALED and bool(self.holds)
        if not is_final and not entries and not must_report_alive:
            return None
        total = entries[-1].after if entries else self.spent
        return Settle(
            draw=self.draw,
            before=entries[0].after - entries[0].tokens if entries else total,
            spent=total,
            final=is_final,
            requests=tuple(entry.make_billed_request() for entry in entries),
        )

    def _is_final(self, state: DrawState, n_entries: int) -> bool:
        if not self.retired or self.holds or self.n_drawing:
            return False
        if self.dropped and state.status is DrawStatus.SEALED:
            return False
        return n_entries == len(self.unbilled)
