"""Send a request to one target and read the head of its answer."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from trefoilstage.components.forwarding.border import (
    AnswerHead,
    Border,
    ForwardOptions,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.helpers.sends import Attempt, RepeatedSendError, open_session

# A target in the same region accepts within 2 ms. The kernel sends a lost opening
# packet again after 1 s; another target is tried long before that.
CONNECT_TIMEOUT_S = 0.4
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
SEND_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    RepeatedSendError,
    ValueError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class NotSent:
    """Tell that a target certainly did not run a request."""

    reason: str
    misdirected: bool = False
    busy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """Tell that a target gave no proper answer; it may have run the request."""

    reason: str


class AnswerBrokenError(TrefoilstageError):
    """Report that an answer ended before it was complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenAnswer:
    """Hold an answer whose head was read and whose body is still to come."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    response: aiohttp.ClientResponse

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes, or raise AnswerBrokenError."""
        try:
            async for data in self.response.content.iter_any():
                yield data
        except SEND_ERRORS as error:
            raise AnswerBrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Close the connection, upon which the target stops its work."""
        self.response.close()


class CheckedResponseHandler(ResponseHandler):
    """Tell an answer that was reset from one that ended.

    An answer without a length ends with its connection. The library takes a reset
    for that end, and a caller would get half an answer as a whole one.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body under way before the library completes it."""
        if exc is not None and self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError("reset"))
        super().connection_lost(exc)


def open_target_session(address: str) -> aiohttp.ClientSession:
    """Return a session that opens a connection for each request.

    On a kept connection a late second answer would meet the next request, and a
    target that closes it while a request is written leaves open whether it ran.
    """
    connector = aiohttp.TCPConnector(
        limit=0, force_close=True, local_addr=(address, 0), use_dns_cache=False
    )
    connector._factory = partial(make_handler, asyncio.get_running_loop())
    return open_session(connector)


def make_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Return the protocol of one connection."""
    return CheckedResponseHandler(loop)


class TargetSender:
    """Send requests to targets."""

    def __init__(self, *, session: aiohttp.ClientSession, border: Border) -> None:
        self._session = session
        self._border = border

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> OpenAnswer | NotSent | Broken:
        """Return a target's answer, or whether it can have run the request."""
        attempt = Attempt(once=True)
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{target.address}{request.raw_target}", encoded=True),
                data=body or None,
                headers=self._border.write_request(request, target, options),
                skip_auto_headers=SKIPPED_HEADERS,
                allow_redirects=False,
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                trace_request_ctx=attempt,
            )
        except SEND_ERRORS as error:
            name = type(error).__name__
            return Broken(reason=name) if attempt.n_sent else NotSent(reason=name)
        return self._check(request, response)

    def _check(
        self, request: CallerRequest, response: aiohttp.ClientResponse
    ) -> OpenAnswer | NotSent | Broken:
        head = self._border.read_answer(request, response.status, response.headers)
        if head.not_run and head.own_or_unnamed:
            response.close()
            return NotSent(
                reason=f"status {head.status}",
                misdirected=head.misdirected,
                busy=not head.misdirected,
            )
        if not head.trusted:
            response.close()
            return Broken(reason=f"status {head.status}, not the target's answer")
        headers = self._border.write_answer(response.headers.items())
        return OpenAnswer(head=head, headers=headers, response=response)
