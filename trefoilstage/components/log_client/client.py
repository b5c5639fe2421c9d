"""Speak the platform log's HTTP protocol."""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import aiohttp
import cbor2
from pydantic import BaseModel, Field

from trefoilstage.exceptions import (
    LogUnavailableError,
    RecordsExpiredError,
)

HTTP_OK = 200
HTTP_GONE = 410

AnswerT = TypeVar("AnswerT", bound=BaseModel)


class ReadAnswer(BaseModel):
    """Check the log's answer to a read."""

    records: list[tuple[int, bytes]] = []
    earliest: Annotated[int, Field(ge=0)] = 0
    next: Annotated[int, Field(ge=0)] = 0


class AppendAnswer(BaseModel):
    """Check the log's answer to an append."""

    first: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """Hold one record's bytes at its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Hold what one read returned; stale when nobody asked reaches the log."""

    records: tuple[LogRecord, ...]
    next_offset: int
    stale: bool = False


class LogClient:
    """Append to and read from the platform's log."""

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def append(
        self, stream: str, records: list[bytes], *, timeout_s: float
    ) -> int:
        """Append a group and return its first offset; repeat after a lost answer."""
        url = f"{self._url}/streams/{stream}/records"
        body = await self._call("POST", url, timeout_s, cbor2.dumps(records))
        return parse_answer(AppendAnswer, body).first

    async def read(
        self, stream: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> LogPage:
        """Return records from an offset, waiting for the first one to come."""
        wait_ms = int(wait_s * 1000)
        url = f"{self._url}/streams/{stream}/records?from={offset}&wait_ms={wait_ms}"
        body = await self._call("GET", url, timeout_s + wait_s, None)
        answer = parse_answer(ReadAnswer, body)
        records = tuple(LogRecord(offset=at, data=data) for at, data in answer.records)
        return LogPage(records=records, next_offset=answer.next)

    async def _call(
        self, method: str, url: str, timeout_s: float, data: bytes | None
    ) -> bytes:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, data=data, timeout=timeout
            ) as response:
                body = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LogUnavailableError(repr(error)) from error
        if status == HTTP_GONE:
            raise RecordsExpiredError(earliest=parse_answer(ReadAnswer, body).earliest)
        if status != HTTP_OK:
            raise LogUnavailableError(f"status {status}")
        return body


def parse_answer(model: type[AnswerT], body: bytes) -> AnswerT:
    """Return the log's checked answer; anything else counts as no answer."""
    try:
        return model.model_validate(cbor2.loads(body))
    # The decoder raises many types for cut or garbled bytes. One that got
    # through would end the follower, and the host would stand still unseen.
    except Exception as error:
        raise LogUnavailableError("malformed answer") from error
