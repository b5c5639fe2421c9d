"""Account for the tokens of one draw on its holder; pure, with no clock."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from trefoilstage.components.budget.messages import Bound
from trefoilstage.ledger.records import BilledRequest, OpenRequest, Settle
from trefoilstage.ledger.state import DrawState, DrawStatus

NO_WITNESS = ""
MAX_UNBILLED = 20_000
MAX_ENTRIES = 2_000


@dataclass(kw_only=True, slots=True)
class Hold:
    """Hold the most that one request may spend."""

    number: int
    request: str
    key: str
    tokens: int
    targets: tuple[int, ...] = ()
    confirmed: bool = False

    def describe(self) -> OpenRequest:
        """Return the hold as the witness and the log know it."""
        return OpenRequest(
            number=self.number,
            key=self.key,
            tokens=self.tokens,
            request=self.request,
            targets=self.targets,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """Hold what an ended request spent and the draw's total after it."""

    number: int
    key: str
    tokens: int
    after: int

    def describe(self) -> BilledRequest:
        """Return the ending as the witness and the log know it."""
        return BilledRequest(key=self.key, tokens=self.tokens, number=self.number)


@dataclass(kw_only=True, slots=True)
class DrawPool:
    """Keep spend and holds of a draw within its amount and its witness's word.

    A request is sent to a target only once its hold is confirmed, so the
    witness's table always covers whatever this holder may have spent.
    """

    draw: str
    account: str
    witness: str
    spent: int = 0
    held: int = 0
    returning: int = 0
    sequence: int = 0
    retired: bool = False
    granted: bool = False
    n_drawing: int = 0
    settling: bool = False
    dropped: bool = False
    n_holds: int = 0
    holds: dict[int, Hold] = field(default_factory=dict)
    unconfirmed: dict[int, Hold] = field(default_factory=dict)
    unbilled: deque[Ending] = field(default_factory=deque)
    unwitnessed: deque[Ending] = field(default_factory=deque)
    targets: list[str] = field(default_factory=list)

    @property
    def level(self) -> int:
        """Return what is spent or may yet be spent by running requests."""
        return self.spent + self.held

    def count_usable(self, amount: int) -> int:
        """Return what new requests may hold, given the draw's folded amount."""
        if self.retired:
            return 0
        return amount - self.returning - self.level

    def add_hold(
        self, *, request: str, key: str, tokens: int, targets: Iterable[str] = ()
    ) -> Hold:
        """Hold tokens for a request; confirmed at once without a witness."""
        self.n_holds += 1
        # Several targets may share an address. Asked once for each of them, it
        # would tell the same spend each time, and a retry would be overbilled.
        numbers = dict.fromkeys(self._number_target(target) for target in targets)
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

    def _number_target(self, target: str) -> int:
        if target not in self.targets:
            self.targets.append(target)
        return self.targets.index(target)

    def settle_hold(self, number: int, tokens: int) -> None:
        """End a hold and count what its request really spent."""
        hold = self.holds.pop(number)
        self.unconfirmed.pop(number, None)
        self.held -= hold.tokens
        self.spent += tokens
        ending = Ending(number=number, key=hold.key, tokens=tokens, after=self.spent)
        if tokens > 0:
            self.unbilled.append(ending)
        # While the log is out, entries pile up. The oldest are dropped then:
        # the total still charges them, and only a retry of such a key later
        # pays twice. Memory stays bounded and nothing is spent unpaid.
        while len(self.unbilled) > MAX_UNBILLED:
            self.unbilled.popleft()
            self.dropped = True
        if self.witness != NO_WITNESS and not self.retired:
            self.unwitnessed.append(ending)

    def retire(self) -> None:
        """Take no new holds; those that run end and are settled."""
        self.retired = True
        self.unwitnessed.clear()

    def propose_bound(self, stream: int) -> Bound | None:
        """Return what to ask the witness for, or None when nothing changed."""
        ended = list(islice(self.unwitnessed, MAX_ENTRIES))
        opened = list(islice(self.unconfirmed.values(), MAX_ENTRIES))
        if not ended and not opened:
            return None
        self.sequence += 1
        before = ended[0].after - ended[0].tokens if ended else self.spent
        return Bound(
            draw=self.draw,
            stream=stream,
            sequence=self.sequence,
            before=before,
            ended=tuple(ending.describe() for ending in ended),
            opened=tuple(hold.describe() for hold in opened),
            targets=tuple(self.targets),
        )

    def confirm_bound(self, bound: Bound) -> None:
        """Take the witness's consent to what was asked."""
        for request in bound.opened:
            hold = self.unconfirmed.pop(request.number, None)
            if hold is not None:
                hold.confirmed = True
        if not self.retired:
            for _ in bound.ended:
                self.unwitnessed.popleft()

    def acknowledge_spent(self, spent: int) -> None:
        """Forget the endings that the log has counted."""
        while self.unbilled and self.unbilled[0].after <= spent:
            self.unbilled.popleft()

    def acknowledge_state(self, state: DrawState) -> None:
        """Forget the endings that need no settlement any more."""
        if state.status is DrawStatus.OPEN:
            self.acknowledge_spent(state.spent)
            return
        # A sealed draw's total also grows by what the targets said of other
        # holds, so it proves nothing of ours; the holds in doubt do.
        self.unbilled = deque(
            ending for ending in self.unbilled if ending.number in state.doubtful
        )

    def make_settlement(self, state: DrawState) -> Settle | None:
        """Return what the log has still to be told, given the folded draw."""
        self.acknowledge_state(state)
        entries = list(islice(self.unbilled, MAX_ENTRIES))
        final = self._is_final(state, len(entries))
        # A witness that lost this host alone must learn that it lives, before
        # it has the targets end the requests that still run.
        alive = state.status is DrawStatus.SEALED and bool(self.holds)
        if not final and not entries and not alive:
            return None
        total = entries[-1].after if entries else self.spent
        return Settle(
            draw=self.draw,
            before=entries[0].after - entries[0].tokens if entries else total,
            spent=total,
            final=final,
            requests=tuple(ending.describe() for ending in entries),
        )

    def _is_final(self, state: DrawState, n_entries: int) -> bool:
        if not self.retired or self.holds or self.n_drawing:
            return False
        if self.dropped and state.status is DrawStatus.SEALED:
            return False
        return n_entries == len(self.unbilled)
