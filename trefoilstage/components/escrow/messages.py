"""Define the messages about holds on prepaid budgets."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.verdict import Reason
from trefoilstage.ledger.records import Name, Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldTokens:
    """Ask a workspace's home to hold tokens for a request of this host."""

    workspace: Name
    request: Name
    tokens: Tokens
    kind: Literal["hold_tokens"] = "hold_tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldReply:
    """Answer a hold: who holds the tokens, or why nobody does."""

    incarnation: Name
    refused: Reason | None = None
    kind: Literal["hold_reply"] = "hold_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettledHold:
    """Tell what a request spent of its hold."""

    workspace: Name
    request: Name
    spent: Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleHolds:
    """Tell the incarnation that holds tokens what was spent of them."""

    incarnation: Name
    holds: tuple[SettledHold, ...]
    kind: Literal["settle_holds"] = "settle_holds"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleReply:
    """Confirm that the settled holds were taken."""

    kind: Literal["settle_reply"] = "settle_reply"


EscrowMessage = HoldTokens | HoldReply | SettleHolds | SettleReply
