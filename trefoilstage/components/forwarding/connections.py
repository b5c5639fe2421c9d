"""Reuse connections to targets, and detect which are unusable.

A host sends each target a request every two seconds. A new connection costs the target
1 ms of a slot, and both sides a handshake. Three faults occur on idle connections: the
target closes the connection while a request is written to it, an unsolicited answer
arrives before the expected one, or the network path drops packets without a reset. Each
is detected here, before or soon after a request is sent.
"""

import asyncio
import re
import socket
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# A target that sends no Keep-Alive header may close an idle connection in less than
# 1 s, the shortest time that the header can state.
DEFAULT_IDLE_S = 0.4
# Subtracted from the idle timeout that a target states in whole seconds: its timer
# starts when it sends the answer, and a request takes 1 ms to arrive.
IDLE_MARGIN_S = 0.7
# Callers keep idle connections as long; a longer time would serve no request.
MAX_IDLE_S = 15.0
# The share of a target's connection limit that idle connections may use.
IDLE_CONNECTIONS_SHARE = 0.3
# During prefill no data is in flight, so only keep-alive probes detect a dead path.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# One silence of a sound target may hide two probes.
N_KEEPALIVE_PROBES = 3
# A network path without acknowledgements for this long counts as dead. It also ends the
# probes, whatever their number, so it lies between the last probe and its timeout.
MAX_UNACKNOWLEDGED_MS = 3_500
# Bytes of an answer beside its body, such as its head, and as a share of the body. The
# HTTP library limits header lines and their number, but not blank lines, interim
# answers, or what surrounds chunks.
MAX_OVERHEAD_BYTES = 256 * 1024
MAX_OVERHEAD_SHARE = 0.5  # the shortest events of a stream have 0.4
# The library makes an object of each answer that it parses at once, and thousands of
# short ones fit into one read.
MAX_PARSED_BYTES = 16 * 1024
HTTP_CONTINUE = 100
HTTP_SWITCHING_PROTOCOLS = 101  # no request asks for it
HTTP_OK = 200  # lower statuses are those of interim answers
END_OF_STATUSES = 600
KEEP_ALIVE_PATTERN = re.compile(r"(?:timeout=)?(\d+)")


class OverheadError(aiohttp.ClientPayloadError):
    """Report an answer that has too much beside its body."""


class StatusError(aiohttp.ClientPayloadError):
    """Report an answer whose status HTTP does not define."""


class CheckedResponseHandler(ResponseHandler):
    """Detect connection resets within an answer, and unsolicited bytes.

    An answer without a Content-Length ends when its connection closes. The HTTP library
    also accepts a reset as the end, and a caller would get a truncated answer as whole.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.connected_at = loop.time()
        self._idle_s = DEFAULT_IDLE_S
        self._answered_at = loop.time()
        self._is_awaiting_answer = False
        self._n_answers = 0  # to the latest request, without interim ones
        self._n_received_bytes = 0  # of the expected answer
        self._invalid_status: int | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to the next request."""
        self._is_awaiting_answer = True
        self._n_answers = 0
        self._n_received_bytes = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process the head of an answer, and store its connection's idle timeout.

        Interim answers say nothing; queued, thousands of them fit into one read.
        """
        message, _ = data
        if not is_defined(message.code):
            self._invalid_status = message.code
        if message.code < HTTP_OK or self._invalid_status is not None:
            return
        self._n_answers += 1
        if self._n_answers == 1:
            self._idle_s = parse_idle_time(message.headers)
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process received bytes until the answer is whole or invalid."""
        for start in range(0, max(1, len(data)), MAX_PARSED_BYTES):
            if self.transport is None or self.exception() is not None:
                return
            self._process(data[start : start + MAX_PARSED_BYTES])

    def _process(self, data: bytes) -> None:
        """Process received bytes; close the connection after unsolicited ones."""
        if data and not self._is_awaiting_answer:
            # The library would parse them as the answer to the next request.
            self.force_close()
            self.close()
            return
        super().data_received(data)
        body = self._payload if self._n_answers else None
        if self._invalid_status is not None:
            self._break_off(StatusError(f"status {self._invalid_status}"), body)
        elif self._n_answers > 1:
            self._is_awaiting_answer = False
            self.force_close()
            self.close()
        elif body is not None and body.is_eof():
            self._is_awaiting_answer = False
            self._answered_at = self._loop.time()
        else:
            self._limit_overhead(body, len(data))

    def _limit_overhead(self, body: aiohttp.StreamReader | None, n_bytes: int) -> None:
        """Break off an answer that has too much beside its body."""
        self._n_received_bytes += n_bytes
        n_body_bytes = 0 if body is None else body.total_bytes
        n_overhead_bytes = self._n_received_bytes - n_body_bytes
        if n_overhead_bytes <= MAX_OVERHEAD_BYTES + MAX_OVERHEAD_SHARE * n_body_bytes:
            return
        error = OverheadError(f"{n_overhead_bytes} bytes beside the body")
        self._break_off(error, body)

    def _break_off(
        self, error: aiohttp.ClientPayloadError, body: aiohttp.StreamReader | None
    ) -> None:
        """Fail the request, and read no more of its answer."""
        self.set_exception(error)
        if body is not None:
            body.set_exception(error)
        self.force_close()
        self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was opened."""
        self.connected_at = self._loop.time()
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete body before the library marks it complete."""
        if exc is not None and self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError("reset"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Return whether the connection may be used for another request."""
        if self.should_close or not super().is_connected():
            return False
        return self._is_awaiting_answer or self._loop.time() < self._get_idle_end()

    def _get_idle_end(self) -> float:
        return self._answered_at + self._idle_s


class KeepAliveConnector(aiohttp.TCPConnector):
    """Keep a limited number of idle connections to each target."""

    def __init__(
        self, *, address: str, get_max_idle_connections: Callable[[], int]
    ) -> None:
        super().__init__(
            limit=0,
            local_addr=(address, 0),
            use_dns_cache=False,
            keepalive_timeout=MAX_IDLE_S,
            socket_factory=open_socket,
        )
        self._factory = partial(make_protocol, asyncio.get_running_loop())
        self._get_max_idle_connections = get_max_idle_connections

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        # The idle connections of all hosts must leave room for active requests: a
        # target at its connection limit resets new connections.
        is_full = len(self._conns.get(key, ())) >= self._get_max_idle_connections()
        super()._release(key, protocol, should_close=should_close or is_full)


class CheckedResponse(aiohttp.ClientResponse):
    """Keep a reference to the connection after the end of the answer."""

    protocol: CheckedResponseHandler | None = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)

    def discard(self) -> None:
        """Close the connection, which makes the target cancel the request.

        A complete answer returns its connection to the pool before its head is checked.
        If it belongs to another request, the expected answer still arrives, and would
        be read as the answer to the next request.
        """
        self.close()
        if self.protocol is not None:
            self.protocol.force_close()
            self.protocol.close()


def is_defined(status: int) -> bool:
    """Return whether HTTP defines a status as that of an answer to a request."""
    is_in_range = HTTP_CONTINUE <= status < END_OF_STATUSES
    return is_in_range and status != HTTP_SWITCHING_PROTOCOLS


def parse_idle_time(headers: Mapping[str, str]) -> float:
    """Return how long an idle connection may be used after an answer, in seconds."""
    match = KEEP_ALIVE_PATTERN.search(headers.get("Keep-Alive", ""))
    if match is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, max(0.0, int(match[1]) - IDLE_MARGIN_S))


def limit_idle_connections(max_connections: Iterable[int], n_hosts: int) -> int:
    """Return how many idle connections each of `n_hosts` may keep to a target.

    `max_connections` are the connection limits of the services' targets.
    """
    lowest_limit = min(max_connections, default=0)
    return max(1, int(IDLE_CONNECTIONS_SHARE * lowest_limit / max(1, n_hosts)))


def open_socket(address: Any) -> socket.socket:
    """Return a socket whose connection fails soon after its network path fails."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
    return opened


def make_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Return the protocol instance for one connection."""
    return CheckedResponseHandler(loop)
