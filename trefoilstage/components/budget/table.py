"""Decide what a witness allows and what it seals; pure, with no clock."""

from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field

from trefoilstage.components.budget.messages import Bound, BoundReply
from trefoilstage.ledger.records import BilledRequest, OpenRequest, Seal
from trefoilstage.ledger.state import DrawState, DrawStatus

MAX_UNSETTLED = 5_000
ALLOWED = BoundReply(allowed=True)
REFUSED = BoundReply(allowed=False)
NOT_READ_YET = BoundReply(allowed=False, known=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class WitnessedEnding:
    """Hold an ended request that the log may not have counted."""

    request: BilledRequest
    after: int


@dataclass(kw_only=True, slots=True)
class WitnessedDraw:
    """Hold what this host allowed for one draw of a peer."""

    sequence: int = 0
    spent: int = 0
    sealed: bool = False
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    unsettled: deque[WitnessedEnding] = field(
        default_factory=lambda: deque(maxlen=MAX_UNSETTLED)
    )
    targets: tuple[str, ...] = ()

    def take(self, message: Bound) -> None:
        """Count a holder's endings and new holds."""
        self.sequence = message.sequence
        self.targets = message.targets
        position = message.before
        for ended in message.ended:
            position += ended.tokens
            self.open_requests.pop(ended.number, None)
            if position > self.spent:
                self.unsettled.append(WitnessedEnding(request=ended, after=position))
                self.spent = position
        for opened in message.opened:
            self.open_requests[opened.number] = opened

    def forget_settled(self, spent: int) -> None:
        """Forget the endings that the log has counted."""
        while self.unsettled and self.unsettled[0].after <= spent:
            self.unsettled.popleft()


@dataclass(kw_only=True, slots=True)
class WitnessTable:
    """Hold every draw that this host is the witness of."""

    incarnation: str
    draws: dict[str, WitnessedDraw] = field(default_factory=dict)

    def answer(self, message: Bound, state: DrawState | None) -> BoundReply:
        """Allow a bound unless its draw is, or may be, closed to the holder."""
        # A closed draw is no longer in the state, and a new one not yet.
        # Allowing either would let a holder that was sealed and forgotten
        # spend what others were granted since.
        if state is None or state.witness != self.incarnation:
            return NOT_READ_YET
        draw = self.draws.setdefault(message.draw, WitnessedDraw())
        # Once sealed here, nothing more may be allowed: the seal on the log
        # counts exactly this table, and the rest is granted to others.
        if draw.sealed or state.status is not DrawStatus.OPEN:
            return REFUSED
        if message.sequence <= draw.sequence:
            return ALLOWED if message.sequence == draw.sequence else REFUSED
        draw.take(message)
        draw.forget_settled(state.spent)
        return ALLOWED

    def seal(self, name: str, state: DrawState) -> Seal | None:
        """Allow nothing more for a draw; return its seal unless made before."""
        draw = self.draws.setdefault(name, WitnessedDraw())
        if draw.sealed:
            return None
        draw.sealed = True
        draw.forget_settled(state.spent)
        unsettled = list(draw.unsettled)
        first = unsettled[0] if unsettled else None
        return Seal(
            draw=name,
            before=first.after - first.request.tokens if first else draw.spent,
            spent=draw.spent,
            requests=tuple(ending.request for ending in unsettled),
            opened=tuple(draw.open_requests.values()),
            targets=draw.targets,
        )

    def forget_closed(self, known: Container[str]) -> None:
        """Drop the draws that the log has closed."""
        for name in list(self.draws):
            if name not in known:
                del self.draws[name]
