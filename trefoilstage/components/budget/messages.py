"""Define what holders, witnesses and starved hosts say to each other."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.fields import Name, Tokens
from trefoilstage.ledger.records import BilledRequest, OpenRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """Tell a draw's witness which holds ended and ask it to allow new ones."""

    draw: Name
    stream: Tokens
    sequence: Tokens
    before: Tokens
    ended: tuple[BilledRequest, ...] = ()
    opened: tuple[OpenRequest, ...] = ()
    targets: tuple[Name, ...] = ()
    kind: Literal["bound"] = "bound"


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundReply:
    """Answer a bound; an unknown draw may just not have been read yet."""

    allowed: bool
    known: bool = True
    kind: Literal["bound_reply"] = "bound_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class Starved:
    """Ask a peer to give back what it does not hold of an account."""

    account: Name
    kind: Literal["starved"] = "starved"


@dataclass(frozen=True, kw_only=True, slots=True)
class StarvedReply:
    """Tell a starved host what will come back."""

    returned: Tokens
    kind: Literal["starved_reply"] = "starved_reply"


BudgetMessage = Bound | BoundReply | Starved | StarvedReply
