"""Keep connections to targets for further requests, and know which are sound.

Load: a host sends each target a request every two seconds, and a new connection costs
the target 1 ms of a slot and both sides a handshake. Three things go wrong on kept
connections: a target closes an idle one while a request is written to it, an answer
that nobody asked for arrives before the next one, and a path goes silent without a
reset. Each is told here, before or soon after a request is sent.
"""

import asyncio
import re
import socket
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# A target that names no time to keep idle connections means less than the second that
# it could name.
DEFAULT_IDLE_S = 0.4
# Taken off the time that a target names, in whole seconds: its clock started when the
# answer left, and a request needs 1 ms to get there.
IDLE_MARGIN_S = 0.7
# Callers leave an idle connection as long; more serves no request.
MAX_IDLE_S = 15.0
# Of the connections that a target takes from everybody, what idle ones may use.
IDLE_CONNECTIONS_SHARE = 0.3
# A path on which nothing is acknowledged for so long is dead: callers bear 2 s and more
# of silence, and a shorter time ended calls that a cut of a second had only delayed.
UNACKNOWLEDGED_MS = 2_000
# While a target reads a prompt, nothing is sent that could go unacknowledged.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
N_PROBES = 2
KEEP_ALIVE_SECONDS = re.compile(r"(?:timeout=)?(\d+)")


class CheckedResponseHandler(ResponseHandler):
    """Tell an answer that was reset from one that ended, and stray bytes from answers.

    An answer without a length ends with its connection. The library takes a reset
    for that end, and a caller would get half an answer as a whole one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._idle_s = DEFAULT_IDLE_S
        self._answered_at = loop.time()
        self._awaits_answer = False

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer of the request that is sent next."""
        self._awaits_answer = True
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take in an answer's head, and how long its connection may stay idle."""
        message, _ = data
        self._idle_s = read_idle_time(message.headers)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take in bytes; those that come between answers spoil the connection."""
        if data and not self._awaits_answer:
            # Read on, they would be taken for the answer to the next request.
            self.force_close()
        super().data_received(data)
        if self._payload is not None and self._payload.is_eof():
            self._awaits_answer = False
            self._answered_at = self._loop.time()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body under way before the library completes it."""
        if exc is not None and self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError("reset"))
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Tell whether the connection may be used for another request."""
        if self.should_close or not super().is_connected():
            return False
        return self._awaits_answer or self._loop.time() < self._get_idle_end()

    def _get_idle_end(self) -> float:
        return self._answered_at + self._idle_s


class KeepingConnector(aiohttp.TCPConnector):
    """Keep a few idle connections to each target."""

    def __init__(self, *, address: str, get_max_idle: Callable[[], int]) -> None:
        super().__init__(
            limit=0,
            local_addr=(address, 0),
            use_dns_cache=False,
            keepalive_timeout=MAX_IDLE_S,
            socket_factory=open_socket,
        )
        self._factory = partial(make_handler, asyncio.get_running_loop())
        self._get_max_idle = get_max_idle

    def _release(
        self, key: Any, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        # All hosts together must leave room for requests under way: above its limit
        # a target resets new connections.
        is_full = len(self._conns.get(key, ())) >= self._get_max_idle()
        super()._release(key, protocol, should_close=should_close or is_full)


class CheckedResponse(aiohttp.ClientResponse):
    """Remember the connection, also after the end of the answer."""

    protocol: ResponseHandler | None = None

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self.protocol = connection.protocol
        return await super().start(connection)

    def discard(self) -> None:
        """Close the connection, upon which the target stops its work.

        A whole answer gives its connection back before its head was checked. If it
        answers another request, the own one still comes, and would be taken for the
        answer to the next.
        """
        self.close()
        if self.protocol is not None:
            self.protocol.force_close()
            self.protocol.close()


def read_idle_time(headers: Mapping[str, str]) -> float:
    """Return the seconds that an idle connection may be used after an answer."""
    found = KEEP_ALIVE_SECONDS.search(headers.get("Keep-Alive", ""))
    if found is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, max(0.0, int(found[1]) - IDLE_MARGIN_S))


def count_idle(max_connections: Iterable[int], n_hosts: int) -> int:
    """Return how many idle connections one of some hosts may keep to a target.

    `max_connections` holds what the targets of each service take from everybody.
    """
    scarcest = min(max_connections, default=0)
    return max(1, int(IDLE_CONNECTIONS_SHARE * scarcest / max(1, n_hosts)))


def open_socket(address: Any) -> socket.socket:
    """Return a socket whose connection fails soon when its path goes silent."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_PROBES)
    return opened


def make_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Return the protocol of one connection."""
    return CheckedResponseHandler(loop)
