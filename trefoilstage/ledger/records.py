"""Define the records of a ledger stream."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.const import MAX_RECORD_BYTES, RECORD_VERSION
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.fields import Name, Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class BilledRequest:
    """Bill one hold of a draw to the digest of its request's idempotency key."""

    key: Name
    tokens: Tokens
    number: Tokens = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenRequest:
    """Describe a hold that may still be spent and the targets that may run it.

    Targets are places in the target list of the message or record around it;
    none means that no target's word can end the doubt.
    """

    number: Tokens
    key: Name
    tokens: Tokens
    request: Name = ""
    targets: tuple[Tokens, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SetLimit:
    """Set an account's limit from an accepted configuration revision."""

    account: Name
    limit: Tokens
    revision: Tokens
    kind: Literal["set_limit"] = "set_limit"


@dataclass(frozen=True, kw_only=True, slots=True)
class TopUp:
    """Raise what an account has paid; idempotent by operation."""

    account: Name
    amount: Tokens
    operation: Name
    kind: Literal["top_up"] = "top_up"


@dataclass(frozen=True, kw_only=True, slots=True)
class Draw:
    """Move tokens from an account to a holder's draw, opening it if new."""

    draw: Name
    account: Name
    amount: Tokens
    minimum: Tokens
    witness: Name
    opens: bool
    kind: Literal["draw"] = "draw"


@dataclass(frozen=True, kw_only=True, slots=True)
class Return:
    """Give tokens of a draw back to its account."""

    draw: Name
    amount: Tokens
    kind: Literal["return"] = "return"


@dataclass(frozen=True, kw_only=True, slots=True)
class Settle:
    """Report a draw's cumulative spend, its billed requests and its end.

    The requests are those spent between the totals `before` and `spent`, in
    the order in which they ended.
    """

    draw: Name
    before: Tokens
    spent: Tokens
    final: bool = False
    requests: tuple[BilledRequest, ...] = ()
    kind: Literal["settle"] = "settle"


@dataclass(frozen=True, kw_only=True, slots=True)
class Seal:
    """End a lost holder's draw at what its witness acknowledged."""

    draw: Name
    before: Tokens
    spent: Tokens
    requests: tuple[BilledRequest, ...] = ()
    opened: tuple[OpenRequest, ...] = ()
    targets: tuple[Name, ...] = ()
    kind: Literal["seal"] = "seal"


@dataclass(frozen=True, kw_only=True, slots=True)
class Resolve:
    """Settle holds of a sealed draw at what every target says they spent."""

    draw: Name
    requests: tuple[BilledRequest, ...]
    kind: Literal["resolve"] = "resolve"


@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Free a lost holder's watts: its targets refuse it up to a fencing number."""

    draw: Name
    fencing: Tokens
    kind: Literal["release"] = "release"


@dataclass(frozen=True, kw_only=True, slots=True)
class Intent:
    """Claim the only run of a request that is not idempotent."""

    key: Name
    workspace: Name
    service: Name
    body_digest: Name
    kind: Literal["intent"] = "intent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Record how the run of an intent ended."""

    key: Name
    status: int
    body: bytes = b""
    content_type: Name = "application/json"
    known: bool = True
    whole: bool = True
    kind: Literal["outcome"] = "outcome"


@dataclass(frozen=True, kw_only=True, slots=True)
class Abandon:
    """Withdraw an intent that its owner has not run and never will."""

    key: Name
    kind: Literal["abandon"] = "abandon"


@dataclass(frozen=True, kw_only=True, slots=True)
class Checkpoint:
    """Carry a part of the compressed state before an offset, so records may expire."""

    offset: Tokens
    fold_version: int
    state: bytes
    part: Tokens = 0
    n_parts: Annotated[int, Field(ge=1)] = 1
    kind: Literal["checkpoint"] = "checkpoint"


@dataclass(frozen=True, kw_only=True, slots=True)
class Upgrade:
    """Let records and rules of the next fold version take effect on a stream."""

    version: Annotated[int, Field(ge=1)]
    kind: Literal["upgrade"] = "upgrade"


LedgerRecord = (
    SetLimit
    | TopUp
    | Draw
    | Return
    | Settle
    | Seal
    | Resolve
    | Release
    | Intent
    | Outcome
    | Abandon
    | Checkpoint
    | Upgrade
)


@dataclass(frozen=True, kw_only=True, slots=True)
class LedgerEnvelope:
    """Identify a record by its writer's incarnation and sequence."""

    incarnation: Name
    sequence: Tokens
    record: Annotated[LedgerRecord, Field(discriminator="kind")]
    version: int = field(default=RECORD_VERSION)


LEDGER_CODEC: Codec[LedgerEnvelope] = Codec(
    family=LedgerEnvelope, max_bytes=MAX_RECORD_BYTES
)
