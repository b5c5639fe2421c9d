"""Define the peer messages about holds on prepaid budgets."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.field_types import Name, Tokens
from trefoilstage.helpers.verdict import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldTokens:
    """Ask a workspace's home to hold tokens for a request of this host."""

    workspace: Name
    request: Name
    tokens: Tokens
    requester: Name  # the requesting incarnation
    repeat: bool = False  # a further attempt for the same caller's request
    kind: Literal["hold_tokens"] = "hold_tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldReply:
    """Reply to a hold with the incarnation that holds the tokens, or a refusal."""

    incarnation: Name
    refused: Reason | None = None
    lock_wait_s: float = 0.0  # until the home may use its locked tokens
    kind: Literal["hold_reply"] = "hold_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettledHold:
    """Describe what a request spent of its hold."""

    workspace: Name
    request: Name
    spent: Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleHolds:
    """Report to the incarnation that holds tokens what was spent of them."""

    incarnation: Name
    holds: tuple[SettledHold, ...]
    kind: Literal["settle_holds"] = "settle_holds"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleReply:
    """Confirm that the settlements were received."""

    kind: Literal["settle_reply"] = "settle_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class SealHome:
    """Ask a host to refuse all later grants of an ended incarnation."""

    incarnation: Name
    kind: Literal["seal_home"] = "seal_home"


@dataclass(frozen=True, kw_only=True, slots=True)
class SealReply:
    """Reply with what this host used of the incarnation's grants, by workspace."""

    incarnation: Name
    used: dict[Name, Tokens]
    kind: Literal["seal_reply"] = "seal_reply"


EscrowMessage = (
    HoldTokens | HoldReply | SettleHolds | SettleReply | SealHome | SealReply
)
