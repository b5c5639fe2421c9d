"""Send requests to targets (model engines) over HTTP."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from typing import TypeVar

import aiohttp
from aiohttp.http_exceptions import LineTooLong
from pydantic import BaseModel, ValidationError

from trefoilstage.components.targets.models import (
    CacheEventsPage,
    Chunk,
    ChunkBody,
    FenceResponse,
    GenerationRequest,
    HealthResponse,
    LoadReport,
    RequestStatus,
    Role,
    RoleResponse,
)
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.const import (
    HEADER_FENCING,
    HEADER_INCARNATION,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    HEADER_REVISION,
    HEADER_WORKSPACE,
)
from trefoilstage.exceptions import NotReadyError, TrefoilstageError
from trefoilstage.helpers.body import read_body
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.http import parse_amount
from trefoilstage.helpers.send_trace import SendAttempt

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
CONTROL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MAX_CONTROL_BYTES = 4_000_000
END_OF_STREAM = b"[DONE]"
DATA_PREFIX = b"data:"

ResponseT = TypeVar("ResponseT", bound=BaseModel)


# A line without end raises an error that is no ClientError.
TRANSFER_ERRORS = (aiohttp.ClientError, OSError, LineTooLong)
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
REFUSAL_STATUSES = frozenset(
    {HTTP_CONFLICT, HTTP_GONE, HTTP_TOO_MANY, HTTP_UNAVAILABLE}
)


class TargetRefusedError(NotReadyError):
    """Report that a target refused a request and ran no part of it."""

    def __init__(
        self, detail: str, *, status: int | None = None, rest_s: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.rest_s = rest_s  # the target wants no request from this host for so long

    @property
    def is_fenced(self) -> bool:
        """Return whether the target refused an outdated fencing number."""
        return self.status == HTTP_CONFLICT

    @property
    def is_busy(self) -> bool:
        """Return whether the target refused only for lack of capacity."""
        return self.status == HTTP_TOO_MANY

    @property
    def is_leaving(self) -> bool:
        """Return whether the target is leaving and accepts no new requests."""
        return self.status == HTTP_GONE


class TargetBrokenError(TrefoilstageError):
    """Report that a target's response failed; the request may have run in part."""


class TargetClient:
    """Run and cancel requests at targets, and query and control the targets."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def generate(
        self, target: TargetConfig, generation_request: GenerationRequest
    ) -> AsyncGenerator[Chunk, None]:
        """Yield the chunks of a streamed response until its end marker.

        Raise TargetRefusedError if the target ran nothing, TargetBrokenError if it may
        have run the request.
        """
        headers = {
            HEADER_REQUEST_ID: generation_request.request,
            HEADER_WORKSPACE: generation_request.workspace,
            HEADER_PRIORITY: str(generation_request.priority),
            HEADER_INCARNATION: generation_request.incarnation,
            HEADER_FENCING: str(generation_request.fencing),
            HEADER_REVISION: str(generation_request.revision),
            "Content-Type": "application/json",
        }
        url = f"{target.url}/v1/chat/completions"
        try:
            async with await self._post(url, headers, generation_request) as response:
                raise_for_status(response.status, response.headers)
                async for chunk in read_chunks(
                    response.content, generation_request.request
                ):
                    yield chunk
        except CONNECT_ERRORS as error:
            raise TargetRefusedError(repr(error)) from error
        except TRANSFER_ERRORS as error:
            raise TargetBrokenError(repr(error)) from error

    async def _post(
        self, url: str, headers: dict[str, str], generation_request: GenerationRequest
    ) -> aiohttp.ClientResponse:
        """Send a request; connect again if this process stalled while connecting."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + generation_request.timeout_s
        while True:
            attempt = SendAttempt(
                at_most_once=False, connect_timeout_s=CONNECT_TIMEOUT_S
            )
            try:
                return await self._session.post(
                    url,
                    data=generation_request.body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(
                        total=deadline - loop.time(), sock_connect=CONNECT_TIMEOUT_S
                    ),
                    # Following a redirect could run the request at two targets.
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                )
            except aiohttp.ConnectionTimeoutError:
                if not attempt.was_stalled() or loop.time() >= deadline:
                    raise
                log_event(
                    Event.CONNECT_REPEATED,
                    request=generation_request.request,
                    workspace=generation_request.workspace,
                    url=url,
                )

    async def cancel(self, target: TargetConfig, request: str) -> RequestStatus | None:
        """Cancel a request at its target; return its status, None if unknown."""
        path = f"/v1/requests/{request}/cancel"
        return await self._request_json("POST", target, path, RequestStatus)

    async def get_request_status(
        self, target: TargetConfig, request: str
    ) -> RequestStatus | None:
        """Return the status of a request at its target, None if unknown."""
        return await self._request_json(
            "GET", target, f"/v1/requests/{request}", RequestStatus
        )

    async def fence(
        self, target: TargetConfig, incarnation: str, fencing: int
    ) -> FenceResponse | None:
        """Make a target refuse requests of an incarnation up to a fencing number."""
        body = {"incarnation": incarnation, "fencing": fencing}
        return await self._request_json(
            "POST", target, "/v1/fence", FenceResponse, body=body
        )

    async def get_health(self, target: TargetConfig) -> HealthResponse | None:
        """Return a target's health, None if it does not respond properly."""
        return await self._request_json("GET", target, "/v1/health", HealthResponse)

    async def change_role(
        self, target: TargetConfig, role: Role, revision: int
    ) -> RoleResponse | None:
        """Set a target's role as of a configuration revision."""
        body = {"role": role.value, "revision": revision}
        return await self._request_json(
            "POST", target, "/v1/role", RoleResponse, body=body
        )

    async def get_load(self, target: TargetConfig) -> LoadReport | None:
        """Return a target's load report, which lags behind its actual load."""
        return await self._request_json("GET", target, "/v1/load", LoadReport)

    async def get_cache_events(
        self, target: TargetConfig, first: int
    ) -> CacheEventsPage | None:
        """Return a target's cache events from the number `first` on."""
        path = f"/v1/cache-events?from={first}"
        return await self._request_json("GET", target, path, CacheEventsPage)

    async def _request_json(
        self,
        method: str,
        target: TargetConfig,
        path: str,
        model: type[ResponseT],
        *,
        body: Mapping[str, object] | None = None,
    ) -> ResponseT | None:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, f"{target.url}{path}", json=body, timeout=timeout
            ) as response:
                if response.status != HTTP_OK:
                    return None
                body_bytes = await read_body(response, MAX_CONTROL_BYTES)
                return model.model_validate_json(body_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError, ValidationError):
            return None


def raise_for_status(status: int, headers: Mapping[str, str]) -> None:
    """Raise TargetRefusedError or TargetBrokenError for any status but 200."""
    if status in REFUSAL_STATUSES:
        rest_s = parse_amount(headers.get(HEADER_RETRY_AFTER, "")) or 0.0
        raise TargetRefusedError(f"status {status}", status=status, rest_s=rest_s)
    # Any other status may be sent after the target has begun to run the request:
    # after a failure during the run, or by a gateway that lost the target. Treated as
    # a refusal, a request that used tokens would be reported to the caller as not run.
    if status != HTTP_OK:
        raise TargetBrokenError(f"status {status}")


async def read_chunks(
    content: aiohttp.StreamReader, request: str
) -> AsyncIterator[Chunk]:
    """Yield the chunks of an event stream; check their request, order and end."""
    expected_sequence = 0
    async for line in content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        chunk, sequence = parse_chunk(data, request)
        # A reused connection may still carry an earlier response, and a relay may
        # reorder chunks. The request's name and the sequence number reveal both.
        if sequence != expected_sequence:
            raise TargetBrokenError(
                f"received chunk {sequence}, expected chunk {expected_sequence}"
            )
        expected_sequence += 1
        yield chunk
    raise TargetBrokenError("stream ended without its end marker")


def parse_chunk(data: bytes, request: str) -> tuple[Chunk, int]:
    """Return a chunk and its sequence number, or raise TargetBrokenError."""
    try:
        body = ChunkBody.model_validate_json(data)
    except ValidationError as error:
        raise TargetBrokenError("received a malformed chunk") from error
    if body.id != request:
        raise TargetBrokenError("received a chunk of another request")
    choice = body.choices[0] if body.choices else None
    chunk = Chunk(
        data=data,
        text=choice.delta.content if choice else "",
        usage=body.usage,
        finish_reason=choice.finish_reason if choice else None,
    )
    return chunk, body.sequence
