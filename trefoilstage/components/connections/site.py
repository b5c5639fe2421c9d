"""Listen for HTTP clients whose connections are metered."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web

from trefoilstage.components.connections.http_connection import HttpConnection
from trefoilstage.components.connections.limits import ClientLimits
from trefoilstage.components.connections.memory import MemoryAccount, MemoryBudget
from trefoilstage.components.connections.metered import READ_BYTES
from trefoilstage.components.connections.peer_connection import PeerConnection
from trefoilstage.components.connections.table import ConnectionTable
from trefoilstage.components.connections.transport import MeteredTransport

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

DEFAULT_BACKLOG = 128
# Of a body, by the HTTP library; it reads on below twice as much.
READ_AHEAD_BYTES = 32 * 1024
# An answer is discarded if its client reads nothing for as long. Answers with a
# deadline end earlier.
UNREAD_TIMEOUT_S = 60.0


class ClientConnections:
    """Meter the connections of all clients of a process, on any of its ports."""

    def __init__(self, *, limits: ClientLimits) -> None:
        self.table = ConnectionTable(limits=limits)
        # Data is taken out of it before another connection is read.
        self._read_buffer = memoryview(bytearray(READ_BYTES))

    @property
    def budget(self) -> MemoryBudget:
        """Return the budget of what clients make the process hold."""
        return self.table.budget

    def meter_http(
        self, server_protocol: asyncio.Protocol, *, may_use_reserve: bool = False
    ) -> HttpConnection:
        """Return the protocol that gives an HTTP server's protocol metered input."""
        return HttpConnection(
            server_protocol=server_protocol,
            table=self.table,
            read_buffer=self._read_buffer,
            may_use_reserve=may_use_reserve,
        )

    def meter_peer(self, server_protocol: asyncio.Protocol) -> PeerConnection:
        """Return the protocol that gives a peer's protocol metered input."""
        return PeerConnection(
            server_protocol=server_protocol,
            table=self.table,
            read_buffer=self._read_buffer,
        )


class MeteredSite(web.BaseSite):
    """Accept the connections of an HTTP server's clients, and meter them."""

    def __init__(
        self,
        runner: web.BaseRunner,
        *,
        connections: ClientConnections,
        address: str = "",
        port: int = 0,
        opened: socket.socket | None = None,
        backlog: int = DEFAULT_BACKLOG,
        has_sent_answers: bool = False,  # when the server's handler returns
        is_for_callers: bool = False,
    ) -> None:
        super().__init__(runner, backlog=backlog)
        self._connections = connections
        self._address = (address, port)
        self._opened = opened
        self._has_sent_answers = has_sent_answers
        self._is_for_callers = is_for_callers

    @property
    def name(self) -> str:
        """Return where the site listens."""
        host, port = self._address
        return f"http://{host}:{port}"

    async def start(self) -> None:
        """Start listening; raise OSError if the address can't be used."""
        await super().start()
        server = self._runner.server
        assert server is not None
        handler: Handler = server.request_handler
        if not self._has_sent_answers:
            handler = send_answers(handler)
        server.request_handler = end_requests(handler)
        loop = asyncio.get_running_loop()

        def make_protocol() -> HttpConnection:
            return self._connections.meter_http(
                server(), may_use_reserve=not self._is_for_callers
            )

        if self._opened is not None:
            self._server = await loop.create_server(
                make_protocol, sock=self._opened, backlog=self._backlog
            )
        else:
            self._server = await loop.create_server(
                make_protocol, *self._address, backlog=self._backlog
            )


def send_answers(handler: Handler) -> Handler:
    """Return a handler that has sent its answer when it returns."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            response = await handler(request)
        except web.HTTPException as error:
            response = error
        await send_answer(request, response)
        return response

    return handle


def end_requests(handler: Handler) -> Handler:
    """Return a handler after which the next request of a connection may follow."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await handler(request)
        finally:
            transport = request.transport
            if isinstance(transport, MeteredTransport):
                cast(HttpConnection, transport.connection).end_request()

    return handle


async def send_answer(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Send an answer unless it is sent; close the connection if it stays unread."""
    try:
        async with asyncio.timeout(UNREAD_TIMEOUT_S):
            await response.prepare(request)
            await response.write_eof()
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
    except ConnectionError:
        # The client has left. The HTTP server would log an error of its handler.
        return


def open_account(request: web.BaseRequest, budget: MemoryBudget) -> MemoryAccount:
    """Return an account for a body or an answer, closed at the end of the request."""
    transport = request.transport
    if isinstance(transport, MeteredTransport):
        return cast(HttpConnection, transport.connection).open_account()
    return MemoryAccount(budget=budget)
