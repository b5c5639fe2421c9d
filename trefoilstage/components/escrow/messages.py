"""Define the peer messages about holds on prepaid budgets."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.field_types import ShortText, UInt53
from trefoilstage.helpers.verdict import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldTokens:
    """Ask a workspace's home to hold tokens for a request of this host."""

    workspace: ShortText
    request: ShortText
    tokens: UInt53
    requester: ShortText  # the requesting incarnation
    repeat: bool = False  # a further attempt for the same caller's request
    kind: Literal["hold_tokens"] = "hold_tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldReply:
    """Reply to a hold with the incarnation that holds the tokens, or a refusal."""

    incarnation: ShortText
    refused: Reason | None = None
    lock_wait_s: float = 0.0  # until the home may use its locked tokens
    # Tokens that running requests hold and may free; 0 from a host that does not say.
    held: UInt53 = 0
    kind: Literal["hold_reply"] = "hold_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettledHold:
    """Describe what a request spent of its hold."""

    workspace: ShortText
    request: ShortText
    spent: UInt53


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleHolds:
    """Report to the incarnation that holds tokens what was spent of them."""

    incarnation: ShortText
    holds: tuple[SettledHold, ...]
    kind: Literal["settle_holds"] = "settle_holds"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettleReply:
    """Confirm that the settlements were received."""

    kind: Literal["settle_reply"] = "settle_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class SealHome:
    """Ask a host to refuse all later grants of an ended incarnation."""

    incarnation: ShortText
    kind: Literal["seal_home"] = "seal_home"


@dataclass(frozen=True, kw_only=True, slots=True)
class SealReply:
    """Reply with what this host used of the incarnation's grants, by workspace."""

    incarnation: ShortText
    used: dict[ShortText, UInt53]
    kind: Literal["seal_reply"] = "seal_reply"


EscrowMessage = (
    HoldTokens | HoldReply | SettleHolds | SettleReply | SealHome | SealReply
)
