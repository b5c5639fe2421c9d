"""Define the messages about holds on prepaid budgets."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.fields import Name, Tokens
from trefoilstage.helpers.verdict import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldTokens:
    """Ask a workspace's home to hold tokens for a request of this host."""

    workspace: Name
    request: Name
    tokens: Tokens
    requester: Name  # the incarnation that asks
    repeat: bool = False  # asked again for the same caller's request
    kind: Literal["hold_tokens"] = "hold_tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldReply:
    """Answer a hold: who holds the tokens, or why nobody does."""

    incarnation: Name
    refused: Reason | None = None
    lock_wait_s: float = 0.0  # until the home may use its locked tokens
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


@dataclass(frozen=True, kw_only=True, slots=True)
class SealHome:
    """Ask a host to take no grant of an ended incarnation any more."""

    incarnation: Name
    kind: Literal["seal_home"] = "seal_home"


@dataclass(frozen=True, kw_only=True, slots=True)
class SealReply:
    """Answer with what this host used of the incarnation's grants, by workspace."""

    incarnation: Name
    used: dict[Name, Tokens]
    kind: Literal["seal_reply"] = "seal_reply"


EscrowMessage = (
    HoldTokens | HoldReply | SettleHolds | SettleReply | SealHome | SealReply
)
