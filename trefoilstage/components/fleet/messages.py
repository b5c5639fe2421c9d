"""Define the messages between the hosts of a forwarding fleet."""

from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from pydantic import Field

from trefoilstage.components.admission_queue.messages import AdmissionMessage
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.escrow.messages import EscrowMessage
from trefoilstage.components.forwarding.messages import WorkMessage
from trefoilstage.components.peer_sends.messages import PeerSendMessage
from trefoilstage.components.peers.frames import ErrorReply, Frame, make_frame_codec
from trefoilstage.components.permits.messages import LimitReport, PermitMessage
from trefoilstage.components.stream_versions.messages import StreamVersionMessage
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText, UInt53

# The largest fleet; a heartbeat has one byte per host.
MAX_HOSTS = 10_000
HostStates = Annotated[bytes, Field(max_length=MAX_HOSTS)]
HostState = Annotated[int, Field(ge=0, le=255)]
Digest = Annotated[bytes, Field(max_length=16)]
Offset = Annotated[int, Field(ge=-1)]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostHeartbeat:
    """Report this host's status, and how far it has read each topic, to a peer."""

    host: ShortText
    incarnation: ShortText
    peer_url: ShortText
    data_center: ShortText
    serving: bool
    store_in_reach: bool
    next_offsets: dict[Topic, int]
    # Previous incarnations that never used their locked tokens; None until known.
    untouched: tuple[ShortText, ...] | None = None
    link_full: bool = False
    # Services of which the sender reaches no target; None if it doesn't report them.
    lost_services: tuple[ShortText, ...] | None = None
    # The offset of this incarnation's record in the store, -1 before it has one.
    announced_at: Offset = -1
    # In a large fleet, the age of other hosts' last messages: a byte for each host of
    # the table with this digest, or a byte by name if the sender doesn't have the
    # peer's table.
    table: Digest = b""
    states: HostStates = b""
    named_states: dict[ShortText, HostState] = field(default_factory=dict)
    limits: tuple[LimitReport, ...] = ()  # that the sender learned of lately
    kind: Literal["host_beat"] = "host_beat"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadView:
    """Request from a peer the newest records of a topic, starting at an offset."""

    topic: Topic
    since: UInt53
    kind: Literal["read_view"] = "read_view"


@dataclass(frozen=True, kw_only=True, slots=True)
class ViewReply:
    """Return the newest records of a topic."""

    records: list[KeyedRecord]
    kind: Literal["view_reply"] = "view_reply"


FleetMessage = (
    HostHeartbeat
    | ReadView
    | ViewReply
    | EscrowMessage
    | WorkMessage
    | CrashReport
    | PermitMessage
    | PeerSendMessage
    | StreamVersionMessage
    | AdmissionMessage
    | ErrorReply
)

FLEET_CODEC: Codec[Frame[Any]] = make_frame_codec(FleetMessage)
