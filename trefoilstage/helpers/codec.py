"""Encode typed messages as CBOR, and validate them when decoding."""

from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError

from trefoilstage.exceptions import MalformedMessageError

MessageT = TypeVar("MessageT")


class Codec(Generic[MessageT]):
    """Encode and decode one message type, or a union of them."""

    def __init__(self, *, message_type: Any, max_bytes: int) -> None:
        self._adapter: TypeAdapter[MessageT] = TypeAdapter(message_type)
        self._max_bytes = max_bytes

    def encode(self, message: MessageT) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(self._adapter.dump_python(message))

    def decode(self, data: bytes) -> MessageT:
        """Return the decoded message, or raise MalformedMessageError."""
        if len(data) > self._max_bytes:
            raise MalformedMessageError(f"{len(data)} bytes, limit {self._max_bytes}")
        try:
            return self._adapter.validate_python(cbor2.loads(data))
        # For hostile input the decoder and validator raise a dozen exception types;
        # one that is not caught would stop the task that reads the messages. The error
        # names locations only, because the input may contain a caller's body.
        except ValidationError as error:
            locations = [".".join(map(str, item["loc"])) for item in error.errors()]
            raise MalformedMessageError(f"invalid fields: {locations[:5]}") from error
        except Exception as error:
            raise MalformedMessageError(type(error).__name__) from error
