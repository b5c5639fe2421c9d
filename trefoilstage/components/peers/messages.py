"""Define the messages between hosts."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.budget.messages import BudgetMessage
from trefoilstage.components.keys.messages import (
    ClaimKey,
    ClaimReply,
    ReadRun,
    RunPage,
)
from trefoilstage.components.peers.frames import (
    ErrorReply,
    Frame,
    make_frame_codec,
)
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.fields import Name, Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Tell a peer that this incarnation lives."""

    host: Name
    incarnation: Name
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords:
    """Ask a peer for the records of a stream from an offset on.

    With `fence`, a peer that has not folded the first of them and does not hold it
    promises that it never will fold it.
    """

    stream: Name
    offset: Tokens
    fence: bool = False
    kind: Literal["read_records"] = "read_records"


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordsReply:
    """Answer with the records a peer holds, or say from where on they are kept.

    `folded` is the first offset that the peer, of that incarnation, has not folded,
    None if it does not follow the stream.
    """

    offsets: tuple[int, ...] = ()
    records: tuple[bytes, ...] = ()
    next_offset: int = 0
    earliest: int = 0
    expired: bool = False
    fresh: bool = True
    fenced: bool = False
    folded: int | None = None
    incarnation: str = ""
    kind: Literal["records_reply"] = "records_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadState:
    """Ask a peer for a part of a stream's state; of one state while offset is set."""

    stream: Name
    part: Tokens = 0
    offset: Tokens | None = None
    kind: Literal["read_state"] = "read_state"


@dataclass(frozen=True, kw_only=True, slots=True)
class StateReply:
    """Answer with a part of the compressed state before an offset."""

    offset: Tokens
    fold_version: int
    state: bytes
    part: Tokens
    n_parts: Annotated[int, Field(ge=1)]
    kind: Literal["state_reply"] = "state_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Ask a peer to append a group to the log."""

    stream: Name
    records: tuple[bytes, ...]
    kind: Literal["append_records"] = "append_records"


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendReply:
    """Answer an append with its first offset, or -1 when the log gave none."""

    first: int
    kind: Literal["append_reply"] = "append_reply"


PeerMessage = (
    Heartbeat
    | BudgetMessage
    | ReadRecords
    | RecordsReply
    | ReadState
    | StateReply
    | AppendRecords
    | AppendReply
    | ClaimKey
    | ClaimReply
    | ReadRun
    | RunPage
    | ErrorReply
)


FRAME_CODEC: Codec[Frame[PeerMessage]] = make_frame_codec(PeerMessage)
