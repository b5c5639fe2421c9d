"""Define the peer messages about holds on prepaid budgets."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.escrow.record import AccountRecord
from trefoilstage.helpers.field_types import ShortText, UInt53
from trefoilstage.helpers.verdict import Reason

Position = Annotated[int, Field(ge=-1, le=1 << 53)]  # in the store, -1 if none


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantBasis:
    """Describe what a grant relies on: the home's draws by a record of the account."""

    drawn: UInt53
    position: Position


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
    # None with a refusal, and from a host of an earlier build.
    basis: GrantBasis | None = None
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


@dataclass(frozen=True, kw_only=True, slots=True)
class RestoredAccount:
    """Describe an account whose record is from before the store came back older."""

    read_at: Position
    written_at: Position


@dataclass(frozen=True, kw_only=True, slots=True)
class AskAccounts:
    """Ask a host what it knows of accounts that a restored store may lack.

    From then on, the host refuses grants that rely on records read before these.
    """

    accounts: dict[ShortText, RestoredAccount]
    kind: Literal["ask_accounts"] = "ask_accounts"


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeGrants:
    """Describe what one incarnation of a home granted to a host."""

    host: ShortText  # of the home
    incarnation: ShortText
    used: UInt53  # spent, or held for running requests
    drawn: UInt53  # by the home, as of its latest grant
    position: Position  # of the record that the latest grant relies on


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountKnowledge:
    """Describe what a host knows of an account since a record was written."""

    position: Position = -1  # of the record
    record: AccountRecord | None = None  # None if the host knows no later one
    # Of the host's own draws: the roster, and what is spent.
    roster: dict[ShortText, ShortText] = field(default_factory=dict)
    spent: UInt53 = 0
    grants: tuple[HomeGrants, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountsReply:
    """Reply with what a host knows of accounts, and which hosts it hears from."""

    incarnation: ShortText
    accounts: dict[ShortText, AccountKnowledge]
    hosts: tuple[ShortText, ...] = ()
    kind: Literal["accounts_reply"] = "accounts_reply"


EscrowMessage = (
    HoldTokens
    | HoldReply
    | SettleHolds
    | SettleReply
    | SealHome
    | SealReply
    | AskAccounts
    | AccountsReply
)
