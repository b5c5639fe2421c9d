"""Implement the HTTP protocol of the platform's log."""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import aiohttp
import cbor2
from pydantic import BaseModel, Field

from trefoilstage.exceptions import (
    LogUnavailableError,
    RecordsExpiredError,
)
from trefoilstage.helpers.body import read_body

HTTP_OK = 200
HTTP_GONE = 410
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # the log sends about 3 MB at a time

ResponseT = TypeVar("ResponseT", bound=BaseModel)


class ReadResponse(BaseModel):
    """Validate the log's response to a read."""

    records: list[tuple[int, bytes]] = []
    earliest: Annotated[int, Field(ge=0)] = 0
    next: Annotated[int, Field(ge=0)] = 0


class AppendResponse(BaseModel):
    """Validate the log's response to an append."""

    first: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """Represent one record's bytes and its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Represent the result of one read.

    `end_offset` is the end of the stream as far as the source of the page knows it.
    The page is stale if it comes from a host that cannot reach the log either.
    """

    records: tuple[LogRecord, ...]
    end_offset: int
    is_stale: bool = False


class LogClient:
    """Append to and read from the platform's log."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def append(
        self, stream: str, records: list[bytes], *, timeout_s: float
    ) -> int:
        """Append a group of records and return the offset of the first one.

        If this raises LogUnavailableError, the group may have been appended; repeat it.
        """
        url = f"{self._url}/streams/{stream}/records"
        body = await self._call("POST", url, timeout_s, cbor2.dumps(records))
        return parse_response(AppendResponse, body).first

    async def read(
        self, stream: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> LogPage:
        """Return records from an offset; wait up to wait_s for the first one.

        Raise RecordsExpiredError if the log has dropped the record at the offset.
        """
        wait_ms = int(wait_s * 1000)
        url = f"{self._url}/streams/{stream}/records?from={offset}&wait_ms={wait_ms}"
        body = await self._call("GET", url, timeout_s + wait_s, None)
        response = parse_response(ReadResponse, body)
        records = tuple(
            LogRecord(offset=position, data=data) for position, data in response.records
        )
        return LogPage(records=records, end_offset=response.next)

    async def _call(
        self, method: str, url: str, timeout_s: float, data: bytes | None
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, data=data, timeout=timeout
            ) as response:
                body = await read_body(response, MAX_ANSWER_BYTES)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LogUnavailableError(repr(error)) from error
        if status == HTTP_GONE:
            raise RecordsExpiredError(
                earliest=parse_response(ReadResponse, body).earliest
            )
        if status != HTTP_OK:
            raise LogUnavailableError(f"status {status}")
        return body


def parse_response(model: type[ResponseT], body: bytes) -> ResponseT:
    """Return the log's validated response, or raise LogUnavailableError."""
    try:
        return model.model_validate(cbor2.loads(body))
    # The decoder raises many exception types for truncated or corrupt bytes. An
    # uncaught one would end the task that reads the stream, and with it the host.
    except Exception as error:
        raise LogUnavailableError("malformed response") from error
