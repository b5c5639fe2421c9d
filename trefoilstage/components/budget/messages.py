"""Define the messages between holders, witnesses and starved hosts.

A starved host needs more tokens of an account than it can draw.
"""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.field_types import ShortText, UInt53
from trefoilstage.ledger.records import BilledRequest, OpenRequest


@dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """Report ended holds to a draw's witness and ask it to allow new ones.

    `before` is the draw's total spend before the ended requests.
    """

    draw: ShortText
    stream: UInt53
    sequence: UInt53
    before: UInt53
    ended: tuple[BilledRequest, ...] = ()
    opened: tuple[OpenRequest, ...] = ()
    targets: tuple[ShortText, ...] = ()
    kind: Literal["bound"] = "bound"


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundReply:
    """Answer a bound; `known` is false if the witness's log lacks the draw."""

    allowed: bool
    known: bool = True
    kind: Literal["bound_reply"] = "bound_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class Starved:
    """Ask a peer to give back what no request holds of an account."""

    account: ShortText
    kind: Literal["starved"] = "starved"


@dataclass(frozen=True, kw_only=True, slots=True)
class StarvedReply:
    """Report to a starved host how many tokens are being given back."""

    returned: UInt53
    kind: Literal["starved_reply"] = "starved_reply"


BudgetMessage = Bound | BoundReply | Starved | StarvedReply
