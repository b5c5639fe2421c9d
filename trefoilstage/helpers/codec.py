"""Turn typed messages into CBOR and back, checking them at the border."""

from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter

from trefoilstage.exceptions import MalformedMessageError

MessageT = TypeVar("MessageT")


class Codec(Generic[MessageT]):
    """Encode and decode one family of messages."""

    def __init__(self, *, family: Any, max_bytes: int) -> None:
        self._adapter: TypeAdapter[MessageT] = TypeAdapter(family)
        self._max_bytes = max_bytes

    def encode(self, message: MessageT) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(self._adapter.dump_python(message))

    def decode(self, data: bytes) -> MessageT:
        """Return the message, or raise MalformedMessageError for any other bytes."""
        if len(data) > self._max_bytes:
            raise MalformedMessageError(f"{len(data)} bytes, limit {self._max_bytes}")
        try:
            return self._adapter.validate_python(cbor2.loads(data))
        # The bytes come from outside. The decoder and validator raise a dozen
        # types for hostile input; one that got through would stop the reader.
        except Exception as error:
            raise MalformedMessageError(str(error)[:200]) from error
