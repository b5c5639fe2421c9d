"""Send a request to one target and check the head of its answer."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Protocol, cast

import aiohttp
from yarl import URL

from trefoilstage.components.forwarding.answers import (
    AnswerBrokenError,
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.connections import (
    CheckedResponse,
    KeepAliveConnector,
    limit_idle_connections,
    open_socket,
)
from trefoilstage.components.forwarding.models import CallerRequest, TargetEntry
from trefoilstage.components.forwarding.translator import (
    ForwardOptions,
    RequestTranslator,
)
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.send_trace import RepeatedSendError, SendAttempt, open_session

# A target in the same region accepts within 2 ms. The kernel resends a lost SYN packet
# only after 1 s; another target is tried long before that.
CONNECT_TIMEOUT_S = 0.4
# While a caller does not read, the part that is being passed on exists in several
# copies. With parts of any size, each unread stream held 3.2 MB.
MAX_PART_BYTES = 16 * 1024
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
CONNECTION_ERRORS = (
    aiohttp.ClientError,
    aiohttp.EofStream,  # the connection ended after an interim answer
    OSError,
    TimeoutError,
    RepeatedSendError,
    ValueError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectAnswer(OpenAnswer):
    """Represent an answer that this host reads from the target itself."""

    response: CheckedResponse

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises AnswerBrokenError if the answer ends early.
        """
        try:
            async for data in self.response.content.iter_chunked(MAX_PART_BYTES):
                yield data
        except CONNECTION_ERRORS as error:
            raise AnswerBrokenError(type(error).__name__) from error

    def close(self) -> None:
        """Close the connection, which makes the target cancel the request.

        After a complete answer, the connection is already back in the pool and stays
        open.
        """
        self.response.close()


class Sender(Protocol):
    """Send a request to a target, on whatever path."""

    async def send(
        self,
        request: CallerRequest,
        body: bytes,
        target: TargetEntry,
        options: ForwardOptions,
    ) -> SendOutcome:
        """Return a target's answer, or whether it may have run the request."""


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


def open_probe_session(address: str) -> aiohttp.ClientSession:
    """Return a session that opens a connection to a target for each request."""
    connector = aiohttp.TCPConnector(
        limit=0, local_addr=(address, 0), force_close=True, socket_factory=open_socket
    )
    return open_session(connector)


def is_framed(headers: Mapping[str, str]) -> bool:
    """Return whether an answer says where it ends."""
    return any(name in headers for name in ("Content-Length", "Transfer-Encoding"))


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
    ) -> SendOutcome:
        """Return a target's answer, or whether it may have run the request."""
        attempt = SendAttempt(at_most_once=True, connect_timeout_s=CONNECT_TIMEOUT_S)
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
                workspace=options.workspace,
                target=target.name,
                error=name,
                connection="kept" if attempt.watch is None else "new",
                sent=bool(attempt.n_sent),
                waited_s=asyncio.get_running_loop().time() - started_at,
            )
            if attempt.n_sent:
                return InvalidAnswer(reason=name, connected=attempt.connected)
            is_connect_timeout = isinstance(error, aiohttp.ConnectionTimeoutError)
            if is_connect_timeout and attempt.was_stalled():
                return NotRun(reason=name, host_was_suspended=True)
            timed_out = isinstance(error, TimeoutError)
            return NotRun(reason=name, unreachable=True, timed_out=timed_out)
        return self._check_head(
            request, cast(CheckedResponse, response), connected=attempt.connected
        )

    def _check_head(
        self, request: CallerRequest, response: CheckedResponse, *, connected: bool
    ) -> SendOutcome:
        head = self._translator.read_answer(request, response.status, response.headers)
        if head.not_run and head.names_no_other_request:
            response.discard()
            return NotRun(
                reason=f"status {head.status}",
                head=head,
                misdirected=head.misdirected,
                busy=not head.misdirected,
                connected=connected,
            )
        if not head.trusted:
            response.discard()
            return InvalidAnswer(
                reason=f"status {head.status}, not a verified answer of the target",
                head=head if head.names_no_other_request else None,
                connected=connected,
            )
        headers = self._translator.write_answer(response.headers.items())
        protocol = response.protocol
        return DirectAnswer(
            head=head,
            headers=headers,
            connected=connected,
            # The protocol is empty, hence false, while no data waits in it.
            connected_at=float("inf") if protocol is None else protocol.connected_at,
            is_framed=is_framed(response.headers),
            response=response,
        )
