"""Define the records of the configuration stream.

An operation is an id that the operator's client sends, so that a repeated change is
applied once.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.const import MAX_RECORD_BYTES, RECORD_VERSION
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText
from trefoilstage.ledger.records import Checkpoint, Upgrade

FileName = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z_-]{0,80}\.toml$")]
Offset = Annotated[int, Field(ge=-1, le=1 << 53)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Publish:
    """Replace a file.

    `base_revision` is the revision that the author edited, -1 for a new file.
    """

    operation: ShortText
    name: FileName
    content: str
    base_revision: Offset
    author: ShortText = ""
    kind: Literal["publish"] = "publish"


@dataclass(frozen=True, kw_only=True, slots=True)
class Remove:
    """Remove a file; `base_revision` is the revision that the author read."""

    operation: ShortText
    name: FileName
    base_revision: Offset
    author: ShortText = ""
    kind: Literal["remove"] = "remove"


@dataclass(frozen=True, kw_only=True, slots=True)
class HostUp:
    """Announce a host's new incarnation and its addresses."""

    host: ShortText
    data_center: ShortText
    caller_url: ShortText
    operator_url: ShortText
    peer_url: ShortText
    kind: Literal["host_up"] = "host_up"


@dataclass(frozen=True, kw_only=True, slots=True)
class HostDown:
    """Announce that an incarnation has left permanently."""

    incarnation: ShortText
    kind: Literal["host_down"] = "host_down"


ConfigRecord = Publish | Remove | HostUp | HostDown | Checkpoint | Upgrade


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigEnvelope:
    """Wrap a record with its writer's incarnation and sequence, which identify it."""

    incarnation: ShortText
    sequence: Annotated[int, Field(ge=0, le=1 << 53)]
    record: Annotated[ConfigRecord, Field(discriminator="kind")]
    version: int = RECORD_VERSION


CONFIG_CODEC: Codec[ConfigEnvelope] = Codec(
    message_type=ConfigEnvelope, max_bytes=MAX_RECORD_BYTES
)
