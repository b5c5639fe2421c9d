"""Define the messages about which version of a target began a stream."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.helpers.field_types import ShortText


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamsBegan:
    """Report streams that targets of one version began."""

    version: StreamVersion
    streams: tuple[ShortText, ...]
    # The incarnation that began them, if it may have restarted shortly before.
    unproven: ShortText = ""
    kind: Literal["streams_began"] = "streams_began"


@dataclass(frozen=True, kw_only=True, slots=True)
class FindStream:
    """Ask a peer which version began a stream."""

    stream: ShortText
    kind: Literal["find_stream"] = "find_stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamFound:
    """Reply with the version that began a stream, None if it is not known."""

    version: StreamVersion | None
    kind: Literal["stream_found"] = "stream_found"


StreamVersionMessage = StreamsBegan | FindStream | StreamFound
