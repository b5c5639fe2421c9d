"""Wrap messages between hosts in numbered frames that match replies to calls."""

from dataclasses import dataclass
from typing import Annotated, Any, Generic, Literal, TypeVar

from pydantic import Field

from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText, UInt53

BodyT = TypeVar("BodyT")


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorReply:
    """Report to the caller that its call failed."""

    detail: ShortText
    kind: Literal["error_reply"] = "error_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame(Generic[BodyT]):
    """Wrap a message with the number by which a reply is matched to its call."""

    number: UInt53
    reply: bool
    body: BodyT


def make_frame_codec(messages: Any) -> Codec[Frame[Any]]:
    """Return the codec for frames around a union of messages with a `kind` each."""
    body = Annotated[messages, Field(discriminator="kind")]
    return Codec(message_type=Frame[body], max_bytes=MAX_PEER_MESSAGE_BYTES)
