"""Call one peer over a WebSocket, reconnecting as needed."""

import asyncio
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from trefoilstage.components.peers.frames import ErrorReply, Frame
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.exceptions import MalformedMessageError, PeerUnavailableError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, log_event

CONNECT_TIMEOUT_S = 1.0
UNRESPONSIVE_AFTER_S = 0.9
UNRESPONSIVE_ROUND_TRIPS = 3  # multiples of the fastest recent reply of any peer


class PeerLink:
    """Send calls to one peer and match its replies to them."""

    def __init__(
        self,
        *,
        url: str,
        outbound_address: str,
        codec: Codec[Frame[Any]],
        round_trips: RoundTrips,
    ) -> None:
        self.url = url
        self._codec = codec
        self._round_trips = round_trips
        self._outbound_address = outbound_address
        self._connection: ClientConnection | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._next_number = 0
        self._connect_lock = asyncio.Lock()
        self._last_received = 0.0

    async def call(
        self, message: Any, *, timeout_s: float, is_long_poll: bool = False
    ) -> Any:
        """Return the peer's reply, which a long poll gets only when there is news.

        Raise PeerUnavailableError if the peer does not reply in time or reports an
        error, or if the connection fails.
        """
        number = self._next_number
        self._next_number += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                frame = Frame(number=number, reply=False, body=message)
                await send_data(connection, self._codec.encode(frame))
                reply = await future
        except TimeoutError as error:
            if not is_long_poll:
                self._round_trips.record_timeout(timeout_s, started + timeout_s)
            self._close_unresponsive_connection(started)
            raise PeerUnavailableError(repr(error)) from error
        except (OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error
        finally:
            self._pending_calls.pop(number, None)
        ended = asyncio.get_running_loop().time()
        if not is_long_poll:
            self._round_trips.record_reply(ended - started, ended)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(reply.detail)
        return reply

    async def send(self, message: Any, *, timeout_s: float) -> None:
        """Send a one-way message; raise PeerUnavailableError if it can't be sent."""
        frame = Frame(number=0, reply=True, body=message)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                await send_data(connection, self._codec.encode(frame))
        except (TimeoutError, OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._connection is not None:
            await self._connection.close()

    def _close_unresponsive_connection(self, called_at: float) -> None:
        # A host that lost power does not close its connections. The next host at the
        # same address would stay out of reach until the kernel times out the old
        # connection, many minutes later.
        connection = self._connection
        # If this host's network link is full, the replies of all peers are slow.
        # Closing the connection would fail the other calls on it, and reconnecting
        # would use the same full link.
        now = asyncio.get_running_loop().time()
        usual_s = self._round_trips.estimate_reply_s(now)
        if connection is None or now - called_at < max(
            UNRESPONSIVE_AFTER_S, UNRESPONSIVE_ROUND_TRIPS * usual_s
        ):
            return
        if self._last_received < called_at:
            connection.transport.abort()
            self._drop_connection(connection)

    async def _connect(self) -> ClientConnection:
        async with self._connect_lock:
            if self._connection is None:
                self._connection = await connect(
                    self.url,
                    open_timeout=CONNECT_TIMEOUT_S,
                    close_timeout=CONNECT_TIMEOUT_S,
                    ping_interval=None,
                    compression=None,
                    max_size=MAX_PEER_MESSAGE_BYTES,
                    proxy=None,
                    local_addr=(self._outbound_address, 0),
                )
                self._reader_task = asyncio.create_task(
                    self._read_replies(self._connection)
                )
            return self._connection

    async def _read_replies(self, connection: ClientConnection) -> None:
        try:
            async for data in connection:
                self._last_received = asyncio.get_running_loop().time()
                self._handle_reply(data)
        except (OSError, WebSocketException):
            pass
        finally:
            self._drop_connection(connection)

    def _handle_reply(self, data: bytes | str) -> None:
        try:
            frame = self._codec.decode(data if isinstance(data, bytes) else b"")
        except MalformedMessageError as error:
            log_event(Event.PEER_MESSAGE_MALFORMED, peer=self.url, error=str(error))
            return
        future = self._pending_calls.get(frame.number)
        if frame.reply and future is not None and not future.done():
            future.set_result(frame.body)

    def _drop_connection(self, connection: ClientConnection) -> None:
        if self._connection is not connection:
            return
        self._connection = None
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(ConnectionResetError("connection to peer lost"))


async def send_data(connection: Connection, data: bytes) -> None:
    """Send one message, or raise OSError or WebSocketException."""
    try:
        await connection.send(data)
    except RuntimeError as error:
        # The event loop may raise RuntimeError for a write to a closed transport. An
        # unexpected error here would end the host.
        raise ConnectionResetError("connection to peer lost") from error
