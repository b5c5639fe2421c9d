"""Define the state that results from folding a ledger stream."""

from dataclasses import dataclass, field
from enum import StrEnum


class DrawStatus(StrEnum):
    """Enumerate the states of a draw that is still in the ledger."""

    OPEN = "open"
    SEALED = "sealed"


@dataclass(kw_only=True, slots=True)
class DoubtfulHold:
    """Describe a hold of a sealed draw whose spend is unknown.

    The doubt is the part of its tokens that still counts as spent.
    """

    key: str
    tokens: int
    doubt: int
    request: str = ""
    targets: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DoubtfulHoldKey:
    """Identify a doubtful hold by its draw and its number within the draw."""

    draw: str
    number: int


@dataclass(kw_only=True, slots=True)
class DrawState:
    """Describe one draw as of the last folded record; amounts in tokens or watts."""

    account: str
    holder: str
    witness: str
    amount: int = 0
    spent: int = 0
    opened: int = 0
    sealed: int = 0
    status: DrawStatus = DrawStatus.OPEN
    doubt: int = 0
    doubtful: dict[int, DoubtfulHold] = field(default_factory=dict)
    targets: tuple[str, ...] = ()

    @property
    def charge(self) -> int:
        """Return the tokens or watts that the draw takes from its account."""
        if self.status is DrawStatus.OPEN:
            return self.amount
        return self.spent + self.doubt


@dataclass(kw_only=True, slots=True)
class AccountState:
    """Describe an account: the tokens or watts paid, held by draws and spent.

    The credit is what repeated runs of a key spent without being billed.
    """

    limit: int = 0
    revision: int = -1
    topped_up: int = 0
    operations: dict[str, int] = field(default_factory=dict)
    held: int = 0
    closed_spend: int = 0
    credit: int = 0

    @property
    def paid(self) -> int:
        """Return the total that may be spent over time, in tokens or watts."""
        return self.limit + self.topped_up

    @property
    def free(self) -> int:
        """Return what is not held or spent; may be negative after a lowered limit."""
        return self.paid + self.credit - self.held - self.closed_spend


@dataclass(kw_only=True, slots=True)
class IntentState:
    """Describe the only run of a request that is not idempotent, and its result."""

    workspace: str
    service: str
    body_digest: str
    owner: str
    offset: int
    status: int | None = None
    body: bytes = b""
    content_type: str = ""
    known: bool = False
    whole: bool = True


@dataclass(kw_only=True, slots=True)
class LedgerState:
    """Represent the state of a ledger stream before the next offset to fold.

    `billed` and `doubtful` map an account and key to the billed tokens and to the
    doubtful holds, `sequences` maps an incarnation to its newest sequence.
    """

    fold_version: int = 1
    next_offset: int = 0
    accounts: dict[str, AccountState] = field(default_factory=dict)
    draws: dict[str, DrawState] = field(default_factory=dict)
    intents: dict[str, IntentState] = field(default_factory=dict)
    billed: dict[str, int] = field(default_factory=dict)
    doubtful: dict[str, list[DoubtfulHoldKey]] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
