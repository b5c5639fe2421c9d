"""Call one peer over a WebSocket, reconnecting as needed."""

import asyncio
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from trefoilstage.components.peers.frames import ErrorReply, Frame
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.exceptions import MalformedMessageError, PeerUnavailableError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, log_event

CONNECT_TIMEOUT_S = 1.0
SILENCE_S = 0.9
SILENT_TRIPS = 3  # times what other peers' answers take


class PeerLink:
    """Send calls to one peer and match its replies."""

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
        self._reader: asyncio.Task[None] | None = None
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._next_number = 0
        self._connecting = asyncio.Lock()
        self._last_received = 0.0

    async def call(self, message: Any, *, timeout_s: float) -> Any:
        """Return the peer's reply, or raise PeerUnavailableError."""
        number = self._next_number
        self._next_number += 1
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        started = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                frame = Frame(number=number, reply=False, body=message)
                await send_data(connection, self._codec.encode(frame))
                reply = await future
        except TimeoutError as error:
            self._round_trips.note_timeout(timeout_s, started + timeout_s)
            self._abandon_silent_connection(started)
            raise PeerUnavailableError(repr(error)) from error
        except (OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error
        finally:
            self._waiting.pop(number, None)
        ended = asyncio.get_running_loop().time()
        self._round_trips.note_answer(ended - started, ended)
        if isinstance(reply, ErrorReply):
            raise PeerUnavailableError(reply.detail)
        return reply

    async def tell(self, message: Any, *, timeout_s: float) -> None:
        """Send a message that gets no reply, or raise PeerUnavailableError."""
        frame = Frame(number=0, reply=True, body=message)
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                await send_data(connection, self._codec.encode(frame))
        except (TimeoutError, OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        if self._reader is not None:
            self._reader.cancel()
        if self._connection is not None:
            await self._connection.close()

    def _abandon_silent_connection(self, since: float) -> None:
        # A host that lost its power closes nothing. Its successor at the same
        # address would stay unheard until the kernel gives the old connection
        # up, many minutes later.
        connection = self._connection
        # On a full link answers take as long from every peer; closed, the connection
        # would take its waiting calls with it and have to be opened over that link.
        now = asyncio.get_running_loop().time()
        usual_s = self._round_trips.estimate_answer(now)
        if connection is None or now - since < max(SILENCE_S, SILENT_TRIPS * usual_s):
            return
        if self._last_received < since:
            connection.transport.abort()
            self._drop_connection(connection)

    async def _connect(self) -> ClientConnection:
        async with self._connecting:
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
                self._reader = asyncio.create_task(self._read(self._connection))
            return self._connection

    async def _read(self, connection: ClientConnection) -> None:
        try:
            async for data in connection:
                self._last_received = asyncio.get_running_loop().time()
                self._take_reply(data)
        except (OSError, WebSocketException):
            pass
        finally:
            self._drop_connection(connection)

    def _take_reply(self, data: bytes | str) -> None:
        try:
            frame = self._codec.decode(data if isinstance(data, bytes) else b"")
        except MalformedMessageError as error:
            log_event(Event.PEER_MESSAGE_MALFORMED, peer=self.url, error=str(error))
            return
        future = self._waiting.get(frame.number)
        if frame.reply and future is not None and not future.done():
            future.set_result(frame.body)

    def _drop_connection(self, connection: ClientConnection) -> None:
        if self._connection is not connection:
            return
        self._connection = None
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError("peer link lost"))


async def send_data(connection: ClientConnection, data: bytes) -> None:
    """Send one message, or raise OSError or WebSocketException."""
    try:
        await connection.send(data)
    except RuntimeError as error:
        # The event loop may raise it for a write to a transport that is closed. Taken
        # for a fault of the program it would end the host.
        raise ConnectionResetError("peer link lost") from error
