"""Turn typed messages into CBOR and back, checking them at the border."""

from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError

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
        # The message tells places only, since the bytes may be a caller's body.
        except ValidationError as error:
            places = [".".join(map(str, item["loc"])) for item in error.errors()]
            raise MalformedMessageError(f"not valid: {places[:5]}") from error
        except Exception as error:
            raise MalformedMessageError(type(error).__name__) from error
