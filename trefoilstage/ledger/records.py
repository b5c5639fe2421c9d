"""Define the records of a ledger stream.

A hold reserves a part of a draw for one request. A settlement reports what the requests
of a draw spent. An intent claims the only run of a request that is not idempotent; its
outcome is the stored result of that run. An incarnation is one run of a host's process.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.const import MAX_RECORD_BYTES, RECORD_VERSION
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText, UInt53


@dataclass(frozen=True, kw_only=True, slots=True)
class BilledRequest:
    """Report what a request spent, billed under the digest of its idempotency key.

    The number identifies the request's hold within its draw.
    """

    key: ShortText
    tokens: UInt53
    number: UInt53 = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenRequest:
    """Describe a request whose hold may still be spent, and its possible targets.

    Targets are indexes into the target list of the enclosing message or record. If
    there are none, no target can confirm what the request spent.
    """

    number: UInt53
    key: ShortText
    tokens: UInt53
    request: ShortText = ""
    targets: tuple[UInt53, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SetLimit:
    """Set an account's limit to its value in an accepted configuration revision."""

    account: ShortText
    limit: UInt53
    revision: UInt53
    kind: Literal["set_limit"] = "set_limit"


@dataclass(frozen=True, kw_only=True, slots=True)
class TopUp:
    """Add paid tokens to an account, once per operation."""

    account: ShortText
    amount: UInt53
    operation: ShortText
    kind: Literal["top_up"] = "top_up"


@dataclass(frozen=True, kw_only=True, slots=True)
class Draw:
    """Move tokens or watts from an account to a draw.

    At least `minimum` and at most `amount` are granted. `opens` allows a new draw.
    """

    draw: ShortText
    account: ShortText
    amount: UInt53
    minimum: UInt53
    witness: ShortText
    opens: bool
    kind: Literal["draw"] = "draw"


@dataclass(frozen=True, kw_only=True, slots=True)
class Return:
    """Return unspent tokens or watts of a draw to its account."""

    draw: ShortText
    amount: UInt53
    kind: Literal["return"] = "return"


@dataclass(frozen=True, kw_only=True, slots=True)
class Settle:
    """Report a draw's cumulative spend and the requests to bill.

    The requests account for the spend between the totals `before` and `spent`, in
    the order in which they ended. A final settlement closes the draw.
    """

    draw: ShortText
    before: UInt53
    spent: UInt53
    final: bool = False
    requests: tuple[BilledRequest, ...] = ()
    kind: Literal["settle"] = "settle"


@dataclass(frozen=True, kw_only=True, slots=True)
class Seal:
    """End a lost holder's draw at the spend that its witness acknowledged."""

    draw: ShortText
    before: UInt53
    spent: UInt53
    requests: tuple[BilledRequest, ...] = ()
    opened: tuple[OpenRequest, ...] = ()
    targets: tuple[ShortText, ...] = ()
    kind: Literal["seal"] = "seal"


@dataclass(frozen=True, kw_only=True, slots=True)
class Resolve:
    """Settle holds of a sealed draw at the spend that the targets report."""

    draw: ShortText
    requests: tuple[BilledRequest, ...]
    kind: Literal["resolve"] = "resolve"


@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Free a lost holder's watts once the targets refuse its requests.

    The targets refuse requests up to a fencing number, an offset of the ledger stream.
    """

    draw: ShortText
    fencing: UInt53
    kind: Literal["release"] = "release"


@dataclass(frozen=True, kw_only=True, slots=True)
class Intent:
    """Claim the only run of a request that is not idempotent."""

    key: ShortText
    workspace: ShortText
    service: ShortText
    body_digest: ShortText
    kind: Literal["intent"] = "intent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Store the result of the run that an intent claimed.

    It is not `known` if the service gave no complete response, and not `whole` if the
    response was too large to store.
    """

    key: ShortText
    status: int
    body: bytes = b""
    content_type: ShortText = "application/json"
    known: bool = True
    whole: bool = True
    kind: Literal["outcome"] = "outcome"


@dataclass(frozen=True, kw_only=True, slots=True)
class Abandon:
    """Withdraw an intent whose owner has not run the request and will not run it."""

    key: ShortText
    kind: Literal["abandon"] = "abandon"


@dataclass(frozen=True, kw_only=True, slots=True)
class Checkpoint:
    """Store one part of the compressed state before an offset.

    The log may drop the records that the state includes.
    """

    offset: UInt53
    fold_version: int
    state: bytes
    part: UInt53 = 0
    n_parts: Annotated[int, Field(ge=1)] = 1
    kind: Literal["checkpoint"] = "checkpoint"


@dataclass(frozen=True, kw_only=True, slots=True)
class Upgrade:
    """Switch a stream to the records and rules of the next fold version."""

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
    """Wrap a record with its writer's incarnation and sequence, which identify it."""

    incarnation: ShortText
    sequence: UInt53
    record: Annotated[LedgerRecord, Field(discriminator="kind")]
    version: int = field(default=RECORD_VERSION)


LEDGER_CODEC: Codec[LedgerEnvelope] = Codec(
    message_type=LedgerEnvelope, max_bytes=MAX_RECORD_BYTES
)
