"""Send a request to one target and check the head of its answer."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import cast

import aiohttp
from yarl import URL

from trefoilstage.components.forwarding.connections import (
    CheckedResponse,
    KeepAliveConnector,
    limit_idle_connections,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.translator import (
    AnswerHead,
    ForwardOptions,
    RequestTranslator,
)
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.send_trace import RepeatedSendError, SendAttempt, open_session

# A target in the same region accepts within 2 ms. The kernel resends a lost SYN packet
# only after 1 s; another target is tried long before that.
CONNECT_TIMEOUT_S = 0.4
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TimeoutError,
    RepeatedSendError,
    ValueError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """Report that a target certainly did not run a request."""

    reason: str
    head: AnswerHead | None = None  # None if the target did not answer
    misdirected: bool = False  # another target has this address
    busy: bool = False  # the target refused it for lack of capacity
    unreachable: bool = False  # no connection could be opened
    timed_out: bool = False  # the connection attempt timed out
    host_was_suspended: bool = False  # this host was suspended while it connected


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidAnswer:
    """Report that a target gave no valid answer; it may have run the request."""

    reason: str
    head: AnswerHead | None = None  # None if there was no answer to this request


class AnswerBrokenError(TrefoilstageError):
    """Raised when an answer ends before it is complete."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenAnswer:
    """Represent an answer whose head was checked and whose body is not read yet."""

    head: AnswerHead
    headers: list[tuple[str, str]]
    response: CheckedResponse

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises AnswerBrokenError if the answer ends early.
        """
        try:
            async for data in self.response.content.iter_any():
                yield data
        except CONNECTION_ERRORS as error:
            raise AnswerBrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Close the connection, which makes the target cancel the request.

        After a complete answer, the connection is already back in the pool and stays
        open.
        """
        self.response.close()


def open_target_session(address: str, board: FleetBoard) -> aiohttp.ClientSession:
    """Return a session that reuses connections to targets while they are usable."""

    def get_max_idle_connections() -> int:
        services = board.configuration.services if board.configuration else {}
        limits = (service.max_connections for service in services.values())
        return limit_idle_connections(limits, len(board.peers) + 1)

    connector = KeepAliveConnector(
        address=address, get_max_idle_connections=get_max_idle_connections
    )
    return open_session(connector, CheckedResponse)


class TargetSender:
    """Send requests to targets."""

    def __init__(
        self, *, session: aiohttp.ClientSession, translator: RequestTranslator
    ) -> None:
        self._session = session
        self._translator = translator

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> OpenAnswer | NotRun | InvalidAnswer:
        """Return a target's answer, or whether it may have run the request."""
        attempt = SendAttempt(at_most_once=True)
        started_at = asyncio.get_running_loop().time()
        try:
            response = await self._session.request(
                request.method,
                URL(f"http://{target.address}{request.raw_target}", encoded=True),
                data=body or None,
                headers=self._translator.write_request(request, target, options),
                skip_auto_headers=SKIPPED_HEADERS,
                allow_redirects=False,
                auto_decompress=False,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                trace_request_ctx=attempt,
            )
        except CONNECTION_ERRORS as error:
            name = type(error).__name__
            log_event(
                Event.SEND_FAILED,
                request=request.request_id,
                target=target.name,
                error=name,
                connection="kept" if attempt.connecting_since is None else "new",
                sent=bool(attempt.n_sent),
                waited_s=asyncio.get_running_loop().time() - started_at,
            )
            if attempt.n_sent:
                return InvalidAnswer(reason=name)
            is_connect_timeout = isinstance(error, aiohttp.ConnectionTimeoutError)
            if is_connect_timeout and attempt.was_stalled(CONNECT_TIMEOUT_S):
                return NotRun(reason=name, host_was_suspended=True)
            timed_out = isinstance(error, TimeoutError)
            return NotRun(reason=name, unreachable=True, timed_out=timed_out)
        return self._check_head(request, cast(CheckedResponse, response))

    def _check_head(
        self, request: CallerRequest, response: CheckedResponse
    ) -> OpenAnswer | NotRun | InvalidAnswer:
        head = self._translator.read_answer(request, response.status, response.headers)
        if head.not_run and head.names_no_other_request:
            response.discard()
            return NotRun(
                reason=f"status {head.status}",
                head=head,
                misdirected=head.misdirected,
                busy=not head.misdirected,
            )
        if not head.trusted:
            response.discard()
            return InvalidAnswer(
                reason=f"status {head.status}, not a verified answer of the target",
                head=head if head.names_no_other_request else None,
            )
        headers = self._translator.write_answer(response.headers.items())
        return OpenAnswer(head=head, headers=headers, response=response)
