"""Decide what a witness allows and what it seals; pure, with no clock.

A bound asks the witness of a draw to allow new holds. A seal ends the use of a
lost host's draw: it records what was spent and which requests may still run.
"""

from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field

from trefoilstage.components.budget.messages import Bound, BoundReply
from trefoilstage.ledger.records import BilledRequest, OpenRequest, Seal
from trefoilstage.ledger.state import DrawState, DrawStatus

MAX_UNSETTLED = 5_000
ALLOWED_REPLY = BoundReply(allowed=True)
REFUSED_REPLY = BoundReply(allowed=False)
UNKNOWN_DRAW_REPLY = BoundReply(allowed=False, known=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class WitnessedRequest:
    """Describe an ended request that the log may not have counted."""

    request: BilledRequest
    after: int


@dataclass(kw_only=True, slots=True)
class WitnessedDraw:
    """Describe what this host has allowed for one draw of a peer."""

    sequence: int = 0
    spent: int = 0
    sealed: bool = False
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)
    unsettled: deque[WitnessedRequest] = field(
        default_factory=lambda: deque(maxlen=MAX_UNSETTLED)
    )
    targets: tuple[str, ...] = ()

    def apply(self, message: Bound) -> None:
        """Apply a holder's ended requests and new holds."""
        self.sequence = message.sequence
        self.targets = message.targets
        total_spent = message.before
        for ended in message.ended:
            total_spent += ended.tokens
            self.open_requests.pop(ended.number, None)
            if total_spent > self.spent:
                self.unsettled.append(
                    WitnessedRequest(request=ended, after=total_spent)
                )
                self.spent = total_spent
        for opened in message.opened:
            self.open_requests[opened.number] = opened

    def forget_settled(self, spent: int) -> None:
        """Drop the ended requests that the log has counted."""
        while self.unsettled and self.unsettled[0].after <= spent:
            self.unsettled.popleft()


@dataclass(kw_only=True, slots=True)
class WitnessTable:
    """Store every draw that this host is the witness of."""

    incarnation: str
    draws: dict[str, WitnessedDraw] = field(default_factory=dict)

    def answer(self, message: Bound, state: DrawState | None) -> BoundReply:
        """Allow a bound only if its draw is known to be open."""
        # The state no longer has a closed draw and does not have a new one yet. If
        # an unknown draw were allowed, a holder whose draw was sealed and dropped
        # could spend what the log has granted to peer hosts since.
        if state is None or state.witness != self.incarnation:
            return UNKNOWN_DRAW_REPLY
        draw = self.draws.setdefault(message.draw, WitnessedDraw())
        # After sealing a draw, this host allows no more: the seal on the log
        # counts exactly this table, and the rest is granted to peer hosts.
        if draw.sealed or state.status is not DrawStatus.OPEN:
            return REFUSED_REPLY
        if message.sequence <= draw.sequence:
            return ALLOWED_REPLY if message.sequence == draw.sequence else REFUSED_REPLY
        draw.apply(message)
        draw.forget_settled(state.spent)
        return ALLOWED_REPLY

    def seal(self, name: str, state: DrawState) -> Seal | None:
        """Allow no more holds of a draw; return its seal, or None if it was sealed."""
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
            requests=tuple(witnessed.request for witnessed in unsettled),
            opened=tuple(draw.open_requests.values()),
            targets=draw.targets,
        )

    def forget_closed(self, known: Container[str]) -> None:
        """Drop the draws that the log has closed."""
        for name in list(self.draws):
            if name not in known:
                del self.draws[name]
