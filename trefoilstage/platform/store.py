"""Access the platform's store, a log of topics whose records have keys."""

import base64
import struct
from typing import Annotated, Any, Final, TypeVar

import aiohttp
from pydantic import BaseModel, Field, ValidationError

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    RecordBatch,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.helpers.events import Event, log_event

TOPIC_NAMES: Final = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.HOSTS: "keyed.hosts",
    Topic.ACCOUNTS: "keyed.accounts",
    Topic.LOCKS: "keyed.locks",
    Topic.ROSTERS: "keyed.rosters",
    Topic.CRASHES: "keyed.crashes",
}
HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
# The store normally answers in 5 to 9 ms, and 60 times as slowly when degraded.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
RECORD_LENGTH = struct.Struct(">I")
PARTITION_OFFSETS = struct.Struct(">QQ")
# Replaces a value that cannot be decoded; every decoder in this project rejects it.
UNREADABLE_VALUE = b"\xff"
ModelT = TypeVar("ModelT", bound=BaseModel)


class WireItem(BaseModel):
    """Describe the newest record of a key.

    Another writer's record may be malformed; the rest of its page must stay readable.
    """

    key: str
    value: str  # base64
    offset: int


class WirePage(BaseModel):
    """Describe a page of the newest records."""

    items: list[Any]  # each item is validated separately
    has_more: bool = False
    end_offset: int


class WireAppended(BaseModel):
    """Describe the answer to an append."""

    offset: Annotated[int, Field(ge=0)]


class StoreClient:
    """Read and write the store over HTTP, with one connection per pending call."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key, from all pages."""
        records: list[KeyedRecord] = []
        after: str | None = None
        end_offset: int | None = None
        while True:
            page = await self._list_page(topic, partition, after)
            # The pages are not one snapshot: the listing is complete only up to the end
            # offset of the first page.
            end_offset = page.end_offset if end_offset is None else end_offset
            items = validate_items(page.items, topic)
            records += [decode_item(item) for item in items]
            if not page.has_more or not items:
                return RecordBatch(records=records, end_offset=end_offset)
            after = items[-1].key

    async def _list_page(
        self, topic: Topic, partition: int, after: str | None
    ) -> WirePage:
        params = {"topic": TOPIC_NAMES[topic], "part": str(partition)}
        if after is not None:
            params["after"] = after
        status, data = await self._call("GET", "/trefoilstage/log-newest", params)
        check_status(status)
        return decode_model(WirePage, data)

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on; wait up to `wait_s` for the first.

        Raise OffsetExpiredError if the store no longer keeps the offset.
        """
        params = {
            "topic": TOPIC_NAMES[topic],
            "part": str(partition),
            "from": str(offset),
            "wait_ms": str(int(wait_s * 1000)),
        }
        status, data = await self._call(
            "GET", "/trefoilstage/log-read", params, wait_s=wait_s
        )
        if status == HTTP_GONE:
            raise OffsetExpiredError(f"offset {offset} of {topic} has expired")
        check_status(status)
        return decode_records(data, offset)

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        expected_end_offset: int | None = None,
    ) -> int | None:
        """Write a key; return its offset, or None if the end offset differs."""
        params = {"topic": TOPIC_NAMES[topic], "part": str(partition)}
        if expected_end_offset is not None:
            params["at"] = str(expected_end_offset)
        body = encode_record(key, value)
        status, data = await self._call(
            "POST", "/trefoilstage/log-append", params, body=body
        )
        if status == HTTP_PRECONDITION_FAILED:
            return None
        check_status(status)
        return decode_model(WireAppended, data).offset

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, f"{self._url}{path}", params=params, data=body, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(type(error).__name__) from error


def check_status(status: int) -> None:
    """Raise StoreRefusedError for any status but success."""
    if status != HTTP_OK:
        raise StoreRefusedError(f"status {status}")


def decode_model(model: type[ModelT], data: bytes) -> ModelT:
    """Decode a response body; raise StoreUnavailableError if it is malformed."""
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise StoreUnavailableError(f"malformed answer: {model.__name__}") from error


def validate_items(items: list[Any], topic: Topic) -> list[WireItem]:
    """Return the valid items of a page and log each invalid one."""
    valid: list[WireItem] = []
    for item in items:
        try:
            valid.append(WireItem.model_validate(item, strict=True))
        except ValidationError as error:
            log_event(
                Event.RECORD_MALFORMED,
                topic=topic,
                key="",
                error=f"{error.error_count()} invalid fields in a listed record",
            )
    return valid


def decode_item(item: WireItem) -> KeyedRecord:
    """Convert a listed item to a record; invalid base64 becomes UNREADABLE_VALUE."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = UNREADABLE_VALUE
    return KeyedRecord(key=item.key, offset=item.offset, value=value or None)


def encode_record(key: str, value: bytes | None) -> bytes:
    """Encode a keyed record, prefixed with its length."""
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def decode_records(data: bytes, offset: int) -> RecordBatch:
    """Decode the response to a read that began at an offset."""
    records: list[KeyedRecord] = []
    try:
        # The response starts with the partition's end and its first kept offset; here,
        # only their presence is checked. The response may contain only some of the
        # records up to the end, so neither is the next offset.
        PARTITION_OFFSETS.unpack_from(data)
        position = PARTITION_OFFSETS.size
        while position < len(data):
            (length,) = RECORD_LENGTH.unpack_from(data, position)
            position += RECORD_LENGTH.size
            if position + length > len(data):
                raise StoreUnavailableError("truncated records")
            content = data[position : position + length]
            position += length
            records.append(decode_keyed_record(content, offset + len(records)))
    except struct.error as error:
        raise StoreUnavailableError("malformed records") from error
    return RecordBatch(records=records, end_offset=offset + len(records))


def decode_keyed_record(content: bytes, offset: int) -> KeyedRecord:
    """Decode a keyed record, which consists of the key's length, the key and the value.

    A key that is not valid UTF-8 is escaped: an exception here would block every later
    record of the topic.
    """
    if not content or len(content) <= content[0]:
        return KeyedRecord(key="", offset=offset, value=UNREADABLE_VALUE)
    end = 1 + content[0]
    key = content[1:end].decode(errors="backslashreplace")
    return KeyedRecord(key=key, offset=offset, value=content[end:] or None)
