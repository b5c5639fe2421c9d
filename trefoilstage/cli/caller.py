"""Call the HTTP interface that hosts offer to callers."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from pydantic import BaseModel, ValidationError

from trefoilstage.components.targets.models import ChunkBody, Usage
from trefoilstage.const import HEADER_IDEMPOTENCY_KEY, HEADER_REQUEST_ID
from trefoilstage.exceptions import NotReadyError, TrefoilstageError

CONNECT_TIMEOUT_S = 2.0
HTTP_OK = 200
DATA_PREFIX = b"data:"
END_OF_STREAM = b"[DONE]"


class RefusalBody(BaseModel):
    """Describe why a host refused a request and whether the request ran."""

    reason: str
    effect: str
    message: str = ""
    request_id: str = ""
    retry_after_s: float | None = None


class RefusalAnswer(BaseModel):
    """Describe the body of a refusal."""

    error: RefusalBody


class RefusedError(TrefoilstageError):
    """Report that a host refused a request."""

    def __init__(self, *, refusal: RefusalBody) -> None:
        super().__init__(f"{refusal.reason}: {refusal.message}")
        self.refusal = refusal


class BrokenAnswerError(TrefoilstageError):
    """Report an answer that is malformed or ended without its end marker."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerChunk:
    """Describe a chunk of a streamed answer; only the last one has the usage."""

    request: str
    text: str
    usage: Usage | None


class CallerClient:
    """Send requests as a workspace to the first host that accepts a connection."""

    def __init__(
        self, *, urls: Sequence[str], secret: str, idempotency_key: str
    ) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._secret = secret
        self._idempotency_key = idempotency_key

    @asynccontextmanager
    async def send_request(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request; raise NotReadyError if no host accepts a connection."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            response = await self._send_to_first_host(
                session, method, path, body, headers
            )
            async with response:
                yield response

    async def _send_to_first_host(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> aiohttp.ClientResponse:
        errors = []
        request_headers = {
            **headers,
            "Authorization": f"Bearer {self._secret}",
            "Content-Type": "application/json",
            HEADER_IDEMPOTENCY_KEY: self._idempotency_key,
        }
        for url in self._urls:
            try:
                return await session.request(
                    method, f"{url}{path}", data=body, headers=request_headers
                )
            # The idempotency key makes it safe to send the request again, also when
            # the first host failed after it had started the request.
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                errors.append(f"{url}: {type(error).__name__}")
        raise NotReadyError("; ".join(errors))


async def read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[AnswerChunk]:
    """Yield the chunks of a streamed answer up to its end marker."""
    request = response.headers.get(HEADER_REQUEST_ID, "")
    if response.status != HTTP_OK:
        raise parse_refusal(await response.read(), response.status)
    try:
        async for line in response.content:
            if not line.startswith(DATA_PREFIX):
                continue
            data = line.removeprefix(DATA_PREFIX).strip()
            if data == END_OF_STREAM:
                return
            yield parse_chunk(data, request)
    except (aiohttp.ClientError, OSError) as error:
        raise BrokenAnswerError(type(error).__name__) from error
    raise BrokenAnswerError("no end marker")


def parse_chunk(data: bytes, request: str) -> AnswerChunk:
    """Decode a chunk; raise RefusedError if it is a refusal instead."""
    try:
        chunk = ChunkBody.model_validate_json(data)
    except ValidationError as error:
        raise parse_refusal(data, HTTP_OK) from error
    text = chunk.choices[0].delta.content if chunk.choices else ""
    return AnswerChunk(request=request, text=text, usage=chunk.usage)


def parse_refusal(data: bytes, status: int) -> TrefoilstageError:
    """Return the refusal in a body, or BrokenAnswerError if there is none."""
    try:
        return RefusedError(refusal=RefusalAnswer.model_validate_json(data).error)
    except ValidationError:
        return BrokenAnswerError(f"unexpected answer, status {status}")
