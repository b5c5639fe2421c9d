"""Access the platform's store, a log of topics whose records have keys."""

import base64
import struct
from collections.abc import Mapping
from dataclasses import dataclass
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
    make_position,
    split_position,
)
from trefoilstage.helpers.body import read_body
from trefoilstage.helpers.events import Event, log_event, truncate_text
from trefoilstage.util.stalls import StallWatch

TOPIC_NAMES: Final = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.TARGETS: "keyed.servers",
    Topic.HOSTS: "keyed.hosts",
    Topic.ACCOUNTS: "keyed.accounts",
    Topic.LOCKS: "keyed.locks",
    Topic.ROSTERS: "keyed.rosters",
    Topic.CRASHES: "keyed.crashes",
}
HEADER_STORE_ERA: Final = "Store-Era"
# Positions of higher eras would not fit into messages between hosts.
MAX_ERAS = 8_192
MAX_ERA_DIGITS = 9
HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
# The store normally answers in 5 to 9 ms, and 60 times as slowly when degraded.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # the store sends about 1 MB at a time
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


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswer:
    """Describe an answer of the store."""

    status: int
    era: int  # how often the store has come back from a copy
    data: bytes


class StoreClient:
    """Read and write the store over HTTP, with one connection per pending call.

    The store names its era in each answer, and counts offsets anew in each; positions
    hold both.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._era = 0  # in the latest answer

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key, from all pages."""
        records: list[KeyedRecord] = []
        after: str | None = None
        end_offset: int | None = None
        while True:
            era, page = await self._list_page(topic, partition, after)
            # The pages are not one snapshot: the listing is complete only up to the end
            # offset of the first page.
            if end_offset is None:
                end_offset = make_position(era, page.end_offset)
            elif split_position(end_offset)[0] != era:
                raise StoreUnavailableError("restored while it listed a topic")
            items = validate_items(page.items, topic)
            records += [decode_item(item, era) for item in items]
            if not page.has_more or not items:
                return RecordBatch(records=records, end_offset=end_offset)
            after = items[-1].key

    async def _list_page(
        self, topic: Topic, partition: int, after: str | None
    ) -> tuple[int, WirePage]:
        """Return the store's era, and a page of the newest records."""
        params = {"topic": TOPIC_NAMES[topic], "part": str(partition)}
        if after is not None:
            params["after"] = after
        answer = await self._call("GET", "/trefoilstage/log-newest", params)
        check_status(answer.status)
        return answer.era, decode_model(WirePage, answer.data)

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on; wait up to `wait_s` for the first.

        Raise OffsetExpiredError if the store no longer has the offset.
        """
        era, first = split_position(offset)
        params = {
            "topic": TOPIC_NAMES[topic],
            "part": str(partition),
            "from": str(first),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET", "/trefoilstage/log-read", params, wait_s=wait_s
        )
        # The records before a restored store's end may differ from those read before.
        if answer.status == HTTP_GONE or answer.era != era:
            raise OffsetExpiredError(f"offset {first} in era {era}, now {answer.era}")
        check_status(answer.status)
        return decode_records(answer.data, offset)

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
            era, end_offset = split_position(expected_end_offset)
            if era != self._era:
                return None
            params["at"] = str(end_offset)
        body = encode_record(key, value)
        answer = await self._call("POST", "/trefoilstage/log-append", params, body=body)
        if answer.status == HTTP_PRECONDITION_FAILED:
            return None
        check_status(answer.status)
        if expected_end_offset is not None and answer.era != era:
            # The offset was given out again: what the record was based on is gone.
            return None
        return make_position(answer.era, decode_model(WireAppended, answer.data).offset)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> "StoreAnswer":
        """Call the store; connect again once if this process stalled meanwhile."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_s, sock_connect=CONNECT_TIMEOUT_S
        )

        async def send() -> "StoreAnswer":
            async with self._session.request(
                method, f"{self._url}{path}", params=params, data=body, timeout=timeout
            ) as response:
                data = await read_body(response, MAX_ANSWER_BYTES)
                era = self._read_era(response.headers)
                return StoreAnswer(status=response.status, era=era, data=data)

        try:
            with StallWatch(timeout_s=CONNECT_TIMEOUT_S) as watch:
                try:
                    return await send()
                except aiohttp.ConnectionTimeoutError:
                    # Without a connection, nothing was sent.
                    if not watch.has_seen_stall():
                        raise
            return await send()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailableError(type(error).__name__) from error

    def _read_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of an answer, the latest known one if it names none."""
        text = headers.get(HEADER_STORE_ERA)
        if text is None:
            return self._era
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
        if not is_number or int(text) >= MAX_ERAS:
            log_event(
                Event.HEADER_MALFORMED,
                header=HEADER_STORE_ERA,
                value=truncate_text(text),
            )
            return self._era
        self._era = max(self._era, int(text))
        return int(text)


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


def decode_item(item: WireItem, era: int) -> KeyedRecord:
    """Convert a listed item to a record; invalid base64 becomes UNREADABLE_VALUE."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = UNREADABLE_VALUE
    position = make_position(era, item.offset)
    return KeyedRecord(key=item.key, offset=position, value=value or None)


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
