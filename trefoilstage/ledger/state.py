"""Hold the state that the fold of a ledger stream yields."""

from dataclasses import dataclass, field
from enum import StrEnum


class DrawStatus(StrEnum):
    """Name the stages of a draw."""

    OPEN = "open"
    SEALED = "sealed"


@dataclass(kw_only=True, slots=True)
class DoubtfulHold:
    """Hold what a lost holder may have spent on one request."""

    key: str
    tokens: int
    doubt: int
    request: str = ""
    targets: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DoubtfulRun:
    """Name a hold that is in doubt."""

    draw: str
    number: int


@dataclass(kw_only=True, slots=True)
class DrawState:
    """Hold what the stream says of one draw; amounts in tokens or watts."""

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
        """Return what the draw takes from its account."""
        if self.status is DrawStatus.OPEN:
            return self.amount
        return self.spent + self.doubt


@dataclass(kw_only=True, slots=True)
class AccountState:
    """Hold an account: what was paid, what is held, what was spent."""

    limit: int = 0
    revision: int = -1
    topped_up: int = 0
    operations: dict[str, int] = field(default_factory=dict)
    held: int = 0
    closed_spend: int = 0
    credit: int = 0

    @property
    def paid(self) -> int:
        """Return everything that may ever be spent."""
        return self.limit + self.topped_up

    @property
    def free(self) -> int:
        """Return what no draw holds; negative after the limit was lowered."""
        return self.paid + self.credit - self.held - self.closed_spend


@dataclass(kw_only=True, slots=True)
class IntentState:
    """Hold the only run of a request that is not idempotent."""

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
    """Hold everything a ledger stream agrees on before an offset."""

    fold_version: int = 1
    next_offset: int = 0
    accounts: dict[str, AccountState] = field(default_factory=dict)
    draws: dict[str, DrawState] = field(default_factory=dict)
    intents: dict[str, IntentState] = field(default_factory=dict)
    billed: dict[str, int] = field(default_factory=dict)
    doubtful: dict[str, list[DoubtfulRun]] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
