"""Send work to model engines over HTTP."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
from typing import TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from trefoilstage.components.targets.models import (
    CacheEventsAnswer,
    Chunk,
    ChunkBody,
    FenceAnswer,
    Generation,
    HealthAnswer,
    LoadAnswer,
    RequestAnswer,
    Role,
    RoleAnswer,
)
from trefoilstage.configuration.schema import TargetConfig
from trefoilstage.const import (
    HEADER_FENCING,
    HEADER_INCARNATION,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_REVISION,
    HEADER_WORKSPACE,
)
from trefoilstage.exceptions import NotReadyError, TrefoilstageError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.sends import Attempt

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
ORDER_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
END_OF_STREAM = b"[DONE]"
DATA_PREFIX = b"data:"

AnswerT = TypeVar("AnswerT", bound=BaseModel)


NOT_CONNECTED_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
REFUSING_STATUSES = frozenset(
    {HTTP_CONFLICT, HTTP_GONE, HTTP_TOO_MANY, HTTP_UNAVAILABLE}
)


class TargetRefusedError(NotReadyError):
    """Report that a target did not take a request; it ran nothing."""

    def __init__(self, detail: str, *, status: int | None = None) -> None:
        super().__init__(detail)
        self.status = status

    @property
    def is_fenced(self) -> bool:
        """Tell whether the target refused an old fencing number."""
        return self.status == HTTP_CONFLICT

    @property
    def is_busy(self) -> bool:
        """Tell whether the target only lacked room."""
        return self.status == HTTP_TOO_MANY

    @property
    def is_leaving(self) -> bool:
        """Tell whether the target takes no new work any more."""
        return self.status == HTTP_GONE


class TargetBrokenError(TrefoilstageError):
    """Report that a target's answer broke off; it may have run something."""


class TargetClient:
    """Open, read and cancel generations."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def generate(
        self, target: TargetConfig, generation: Generation
    ) -> AsyncGenerator[Chunk, None]:
        """Yield the chunks of an answer up to its explicit end."""
        headers = {
            HEADER_REQUEST_ID: generation.request,
            HEADER_WORKSPACE: generation.workspace,
            HEADER_PRIORITY: str(generation.priority),
            HEADER_INCARNATION: generation.incarnation,
            HEADER_FENCING: str(generation.fencing),
            HEADER_REVISION: str(generation.revision),
            "Content-Type": "application/json",
        }
        url = f"{target.url}/v1/chat/completions"
        try:
            async with await self._post(url, headers, generation) as response:
                check_status(response.status)
                async for chunk in read_chunks(response.content, generation.request):
                    yield chunk
        except NOT_CONNECTED_ERRORS as error:
            raise TargetRefusedError(repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise TargetBrokenError(repr(error)) from error

    async def _post(
        self, url: str, headers: dict[str, str], generation: Generation
    ) -> aiohttp.ClientResponse:
        """Send a request, over a new connection if this host stood still meanwhile."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + generation.timeout_s
        while True:
            attempt = Attempt(once=False)
            try:
                return await self._session.post(
                    url,
                    data=generation.body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(
                        total=give_up_at - loop.time(), sock_connect=CONNECT_TIMEOUT_S
                    ),
                    # A followed redirect would run the request at two targets.
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                )
            except aiohttp.ConnectionTimeoutError:
                stalled = attempt.was_stalled(CONNECT_TIMEOUT_S)
                if not stalled or loop.time() >= give_up_at:
                    raise
                log_event(
                    Event.CONNECT_REPEATED,
                    request=generation.request,
                    workspace=generation.workspace,
                    url=url,
                )

    async def cancel(self, target: TargetConfig, request: str) -> RequestAnswer | None:
        """End a request at its target; return how it stands, None if not known."""
        path = f"/v1/requests/{request}/cancel"
        return await self._order("POST", target, path, RequestAnswer)

    async def ask(self, target: TargetConfig, request: str) -> RequestAnswer | None:
        """Return how a request stands at its target, None if not known."""
        return await self._order(
            "GET", target, f"/v1/requests/{request}", RequestAnswer
        )

    async def fence(
        self, target: TargetConfig, incarnation: str, fencing: int
    ) -> FenceAnswer | None:
        """Have a target refuse an incarnation up to a fencing number."""
        order = {"incarnation": incarnation, "fencing": fencing}
        return await self._order("POST", target, "/v1/fence", FenceAnswer, body=order)

    async def get_health(self, target: TargetConfig) -> HealthAnswer | None:
        """Return what a target says of itself, None if it says nothing."""
        return await self._order("GET", target, "/v1/health", HealthAnswer)

    async def change_role(
        self, target: TargetConfig, role: Role, revision: int
    ) -> RoleAnswer | None:
        """Order a target to a role as of a configuration revision."""
        order = {"role": role.value, "revision": revision}
        return await self._order("POST", target, "/v1/role", RoleAnswer, body=order)

    async def get_load(self, target: TargetConfig) -> LoadAnswer | None:
        """Return a target's late report of its load."""
        return await self._order("GET", target, "/v1/load", LoadAnswer)

    async def get_cache_events(
        self, target: TargetConfig, first: int
    ) -> CacheEventsAnswer | None:
        """Return a target's late cache events from a number on."""
        path = f"/v1/cache-events?from={first}"
        return await self._order("GET", target, path, CacheEventsAnswer)

    async def _order(
        self,
        method: str,
        target: TargetConfig,
        path: str,
        model: type[AnswerT],
        *,
        body: Mapping[str, object] | None = None,
    ) -> AnswerT | None:
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            async with self._session.request(
                method, f"{target.url}{path}", json=body, timeout=timeout
            ) as response:
                if response.status != HTTP_OK:
                    return None
                return model.model_validate_json(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError, ValidationError):
            return None


def check_status(status: int) -> None:
    """Raise the error that a status stands for, if any."""
    if status in REFUSING_STATUSES:
        raise TargetRefusedError(f"status {status}", status=status)
    # Any other status may come after the target has begun: a failure while it
    # ran, or a gateway that lost it. Taking it for a refusal would tell the
    # caller "not run" of something that spent tokens.
    if status != HTTP_OK:
        raise TargetBrokenError(f"status {status}")


async def read_chunks(
    content: aiohttp.StreamReader, request: str
) -> AsyncIterator[Chunk]:
    """Yield the chunks of an event stream, checking owner, order and end."""
    expected = 0
    async for line in content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        chunk, sequence = parse_chunk(data, request)
        # A reused connection may still carry an older answer, and a relay may
        # reorder. Either would mix two answers; owner and number show both.
        if sequence != expected:
            raise TargetBrokenError(f"chunk {sequence}, expected {expected}")
        expected += 1
        yield chunk
    raise TargetBrokenError("stream ended without its end mark")


def parse_chunk(data: bytes, request: str) -> tuple[Chunk, int]:
    """Return a chunk and its number, or raise TargetBrokenError."""
    try:
        body = ChunkBody.model_validate_json(data)
    except ValidationError as error:
        raise TargetBrokenError("malformed chunk") from error
    if body.id != request:
        raise TargetBrokenError("chunk of another request")
    choice = body.choices[0] if body.choices else None
    chunk = Chunk(
        data=data,
        text=choice.delta.content if choice else "",
        usage=body.usage,
        finish_reason=choice.finish_reason if choice else None,
    )
    return chunk, body.sequence
