"""Wrap each message between hosts, so that its reply finds the caller."""

from dataclasses import dataclass
from typing import Annotated, Any, Generic, Literal, TypeVar

from pydantic import Field

from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.fields import Name, Tokens

BodyT = TypeVar("BodyT")


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorReply:
    """Answer a call that the peer could not serve."""

    detail: Name
    kind: Literal["error_reply"] = "error_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class Frame(Generic[BodyT]):
    """Number a message so that its reply finds the caller."""

    number: Tokens
    reply: bool
    body: BodyT


def make_frame_codec(messages: Any) -> Codec[Frame[Any]]:
    """Return the codec for frames around a union of messages with a `kind` each."""
    body = Annotated[messages, Field(discriminator="kind")]
    return Codec(family=Frame[body], max_bytes=MAX_PEER_MESSAGE_BYTES)
