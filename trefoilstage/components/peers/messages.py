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
from trefoilstage.helpers.field_types import ShortText, UInt53


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Show a peer that this incarnation is live."""

    host: ShortText
    incarnation: ShortText
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRecords:
    """Request from a peer the records of a stream, starting at an offset.

    With `fence`, a peer that has not folded the first record and does not have it
    promises never to fold it.
    """

    stream: ShortText
    offset: UInt53
    fence: bool = False
    kind: Literal["read_records"] = "read_records"


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordsReply:
    """Return the records that a peer has, or the earliest offset that it can return.

    `fresh` is false if the log is out of the peer's reach, so that newer records may
    exist. `folded` is the first offset that this incarnation of the peer has not
    folded, None if it does not follow the stream.
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
    """Request a part of a stream's state from a peer.

    If `offset` is set, the part has to belong to the state at that offset.
    """

    stream: ShortText
    part: UInt53 = 0
    offset: UInt53 | None = None
    kind: Literal["read_state"] = "read_state"


@dataclass(frozen=True, kw_only=True, slots=True)
class StateReply:
    """Return a part of a stream's compressed state before an offset."""

    offset: UInt53
    fold_version: int
    state: bytes
    part: UInt53
    n_parts: Annotated[int, Field(ge=1)]
    kind: Literal["state_reply"] = "state_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Request that a peer append a group of records to the log."""

    stream: ShortText
    records: tuple[bytes, ...]
    kind: Literal["append_records"] = "append_records"


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendReply:
    """Return the first offset of an appended group, -1 if the log returned none."""

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


PEER_CODEC: Codec[Frame[PeerMessage]] = make_frame_codec(PeerMessage)
