"""Call the platform's store: keyed topics of a log."""

import base64
import struct
from typing import Annotated, Any, Final, TypeVar

import aiohttp
from pydantic import BaseModel, Field, ValidationError

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import (
    Listing,
    OffsetExpiredError,
    StoreRefusedError,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.helpers.events import Event, log_event

TOPICS: Final = {
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
HTTP_CONFLICT = 412
# The store answers in 5 to 9 ms, and 60 times as slowly on a bad day.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
# Stands for a value that can't be decoded; no decoder of ours takes it.
UNREADABLE = b"\xff"
ModelT = TypeVar("ModelT", bound=BaseModel)


class WireItem(BaseModel):
    """Check the newest record of a key.

    Another writer's record may be anything; it must not cost the others of its page.
    """

    key: str
    value: str  # base64
    offset: int


class WirePage(BaseModel):
    """Check a page of the newest records."""

    items: list[Any]  # each is checked by itself
    has_more: bool = False
    end_offset: int


class WireAppended(BaseModel):
    """Check the answer to an append."""

    offset: Annotated[int, Field(ge=0)]


class StoreClient:
    """Read and write the store over HTTP, one connection a call in flight."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def list_newest(self, topic: Topic, partition: int = 0) -> Listing:
        """Return the newest record of each key."""
        records: list[KeyedRecord] = []
        after: str | None = None
        end_offset: int | None = None
        while True:
            page = await self._list_page(topic, partition, after)
            # Pages are no snapshot: only what the first page knew was complete.
            end_offset = page.end_offset if end_offset is None else end_offset
            items = decode_items(page.items, topic)
            records += [decode_item(item) for item in items]
            if not page.has_more or not items:
                return Listing(records=records, end_offset=end_offset)
            after = items[-1].key

    async def _list_page(
        self, topic: Topic, partition: int, after: str | None
    ) -> WirePage:
        params = {"topic": TOPICS[topic], "part": str(partition)}
        if after is not None:
            params["after"] = after
        status, data = await self._call("GET", "/trefoilstage/log-newest", params)
        check_status(status)
        return decode_model(WirePage, data)

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> Listing:
        """Return the records from an offset on; wait for one if there is none."""
        params = {
            "topic": TOPICS[topic],
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
        at: int | None = None,
    ) -> int | None:
        """Write a key and return its offset, None if the topic didn't end at `at`."""
        params = {"topic": TOPICS[topic], "part": str(partition)}
        if at is not None:
            params["at"] = str(at)
        body = encode_record(key, value)
        status, data = await self._call(
            "POST", "/trefoilstage/log-append", params, body=body
        )
        if status == HTTP_CONFLICT:
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
    """Return a checked body, or raise StoreUnavailableError."""
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise StoreUnavailableError(f"malformed answer: {model.__name__}") from error


def decode_items(items: list[Any], topic: Topic) -> list[WireItem]:
    """Return the items that can be read; log each of the others."""
    found: list[WireItem] = []
    for item in items:
        try:
            found.append(WireItem.model_validate(item, strict=True))
        except ValidationError as error:
            log_event(
                Event.RECORD_MALFORMED,
                topic=topic,
                key="",
                error=f"{error.error_count()} fields of a listed record",
            )
    return found


def decode_item(item: WireItem) -> KeyedRecord:
    """Return the record of a listed item."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = UNREADABLE
    return KeyedRecord(key=item.key, offset=item.offset, value=value or None)


def encode_record(key: str, value: bytes | None) -> bytes:
    """Return a keyed record with its length before it."""
    name = key.encode()
    content = bytes([len(name)]) + name + (value or b"")
    return LENGTH.pack(len(content)) + content


def decode_records(data: bytes, offset: int) -> Listing:
    """Return the records of a read that began at an offset."""
    records: list[KeyedRecord] = []
    try:
        # Where the partition ends and what it keeps; one answer may hold less, so
        # neither tells where to read on.
        OFFSETS.unpack_from(data)
        position = OFFSETS.size
        while position < len(data):
            (length,) = LENGTH.unpack_from(data, position)
            position += LENGTH.size
            if position + length > len(data):
                raise StoreUnavailableError("torn records")
            content = data[position : position + length]
            position += length
            records.append(decode_content(content, offset + len(records)))
    except struct.error as error:
        raise StoreUnavailableError("malformed records") from error
    return Listing(records=records, end_offset=offset + len(records))


def decode_content(content: bytes, offset: int) -> KeyedRecord:
    """Return a keyed record: length of the key, key, value.

    A key that is no text is a key all the same: a record that raised here would hold
    up every later one of its topic.
    """
    if not content or len(content) <= content[0]:
        return KeyedRecord(key="", offset=offset, value=UNREADABLE)
    end = 1 + content[0]
    key = content[1:end].decode(errors="backslashreplace")
    return KeyedRecord(key=key, offset=offset, value=content[end:] or None)
