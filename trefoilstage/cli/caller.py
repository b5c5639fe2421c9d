"""Call the hosts' callers' interface."""

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
    """Check what a refusal tells."""

    reason: str
    effect: str
    message: str = ""
    request_id: str = ""
    retry_after_s: float | None = None


class RefusalAnswer(BaseModel):
    """Check the body of a refusal."""

    error: RefusalBody


class RefusedError(TrefoilstageError):
    """Report a typed refusal."""

    def __init__(self, *, refusal: RefusalBody) -> None:
        super().__init__(f"{refusal.reason}: {refusal.message}")
        self.refusal = refusal


class BrokenAnswerError(TrefoilstageError):
    """Report an answer that ended without its end mark."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """Hold the new text of a chunk, and the usage on the last one."""

    request: str
    text: str
    usage: Usage | None


class CallerClient:
    """Send requests as a workspace to the first host that takes a connection."""

    def __init__(self, *, urls: Sequence[str], secret: str, key: str) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._secret = secret
        self._key = key

    @asynccontextmanager
    async def open(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Open a request; raise NotReadyError when no host takes a connection."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            response = await self._connect(session, method, path, body, headers)
            async with response:
                yield response

    async def _connect(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> aiohttp.ClientResponse:
        problems = []
        sent = {
            **headers,
            "Authorization": f"Bearer {self._secret}",
            "Content-Type": "application/json",
            HEADER_IDEMPOTENCY_KEY: self._key,
        }
        for url in self._urls:
            try:
                return await session.request(
                    method, f"{url}{path}", data=body, headers=sent
                )
            # The key makes it safe to send a request again, also one whose
            # host was lost after it had begun.
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                problems.append(f"{url}: {type(error).__name__}")
        raise NotReadyError("; ".join(problems))


async def read_pieces(response: aiohttp.ClientResponse) -> AsyncIterator[Piece]:
    """Yield a streamed answer up to its end mark."""
    request = response.headers.get(HEADER_REQUEST_ID, "")
    if response.status != HTTP_OK:
        raise read_refusal(await response.read(), response.status)
    try:
        async for line in response.content:
            if not line.startswith(DATA_PREFIX):
                continue
            data = line.removeprefix(DATA_PREFIX).strip()
            if data == END_OF_STREAM:
                return
            yield read_piece(data, request)
    except (aiohttp.ClientError, OSError) as error:
        raise BrokenAnswerError(type(error).__name__) from error
    raise BrokenAnswerError("no end mark")


def read_piece(data: bytes, request: str) -> Piece:
    """Return a chunk's text, or raise the refusal that came in its place."""
    try:
        chunk = ChunkBody.model_validate_json(data)
    except ValidationError as error:
        raise read_refusal(data, HTTP_OK) from error
    text = chunk.choices[0].delta.content if chunk.choices else ""
    return Piece(request=request, text=text, usage=chunk.usage)


def read_refusal(data: bytes, status: int) -> TrefoilstageError:
    """Return the refusal in a body."""
    try:
        return RefusedError(refusal=RefusalAnswer.model_validate_json(data).error)
    except ValidationError:
        return BrokenAnswerError(f"unexpected answer, status {status}")
