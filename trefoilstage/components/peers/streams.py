"""Open streams of messages from peers, each on a connection of its own.

The network limits the data in transit on each connection, so a caller that reads slowly
slows down its own stream only. A closed connection tells the peer to cancel the call.
"""

import asyncio
from collections import defaultdict
from typing import Any, Protocol

from mode import Service
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException
from websockets.protocol import State

from trefoilstage.components.peers.frames import ErrorReply, Frame
from trefoilstage.components.peers.link import send_data
from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.exceptions import (
    MalformedMessageError,
    MessageNotSentError,
    PeerUnavailableError,
)
from trefoilstage.helpers.codec import Codec

CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 1.0
# Idle connections that are kept to each peer for the next streams.
MAX_IDLE_CONNECTIONS = 8
# An older idle connection may have gone silent unnoticed.
MAX_IDLE_S = 5.0


class PeerStream(Protocol):
    """Exchange the messages of one call with a peer."""

    async def send(self, message: Any) -> None:
        """Send a message; raise PeerUnavailableError if it may not have arrived.

        Raise MessageNotSentError if it was not sent.
        """

    async def receive(self, timeout_s: float) -> Any:
        """Return the next message; raise PeerUnavailableError if there is none."""

    def release(self) -> None:
        """Keep the connection for another stream, after the last message."""

    def close(self) -> None:
        """Close the connection unless it was released."""


class PeerStreams(Service):
    """Open streams to peers, and keep some idle connections."""

    def __init__(self, *, outbound_address: str, codec: Codec[Frame[Any]]) -> None:
        super().__init__()
        self._outbound_address = outbound_address
        self._codec = codec
        self._idle: dict[str, list[tuple[ClientConnection, float]]] = defaultdict(list)

    async def open(self, url: str) -> PeerStream:
        """Return a stream to a peer's address, or raise PeerUnavailableError."""
        connection = self._take_idle(url)
        if connection is None:
            connection = await self._connect(url)
        return WebSocketStream(
            url=url, connection=connection, codec=self._codec, streams=self
        )

    def _take_idle(self, url: str) -> ClientConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle[url]
        while idle:
            connection, since = idle.pop()
            if now - since <= MAX_IDLE_S and connection.state is State.OPEN:
                return connection
            connection.transport.abort()
        return None

    async def _connect(self, url: str) -> ClientConnection:
        try:
            return await connect(
                url,
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                max_size=MAX_PEER_MESSAGE_BYTES,
                proxy=None,
                local_addr=(self._outbound_address, 0),
            )
        except (TimeoutError, OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error

    def keep(self, url: str, connection: ClientConnection) -> None:
        """Keep a connection for another stream."""
        idle = self._idle[url]
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.transport.abort()
            return
        loop = asyncio.get_running_loop()
        idle.append((connection, loop.time()))
        loop.call_later(MAX_IDLE_S, self._close_expired, url)

    def _close_expired(self, url: str) -> None:
        """Close the connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for connection, since in list(self._idle[url]):
            if now - since >= MAX_IDLE_S:
                self._idle[url].remove((connection, since))
                connection.transport.abort()

    async def on_stop(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection, _ in idle:
                connection.transport.abort()
        self._idle.clear()


class WebSocketStream:
    """Exchange the messages of one call on a WebSocket connection."""

    def __init__(
        self,
        *,
        url: str,
        connection: ClientConnection,
        codec: Codec[Frame[Any]],
        streams: PeerStreams,
    ) -> None:
        self._url = url
        self._connection = connection
        self._codec = codec
        self._streams = streams
        self._is_released = False

    async def send(self, message: Any) -> None:
        """Send a message; raise PeerUnavailableError if it may not have arrived.

        Raise MessageNotSentError if it was not sent.
        """
        frame = Frame(number=0, reply=False, body=message)
        try:
            data = self._codec.encode(frame)
        except ValueError as error:
            # A caller's header may hold bytes that are no text.
            raise MessageNotSentError("the message can't be encoded") from error
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await send_data(self._connection, data)
        except (TimeoutError, OSError, WebSocketException) as error:
            raise PeerUnavailableError(repr(error)) from error

    async def receive(self, timeout_s: float) -> Any:
        """Return the next message; raise PeerUnavailableError if there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._connection.recv(decode=False)
            body = self._codec.decode(data).body
        except (
            TimeoutError,
            OSError,
            WebSocketException,
            MalformedMessageError,
        ) as error:
            raise PeerUnavailableError(repr(error)) from error
        if isinstance(body, ErrorReply):
            raise PeerUnavailableError(body.detail)
        return body

    def release(self) -> None:
        """Keep the connection for another stream, after the last message."""
        if not self._is_released:
            self._is_released = True
            self._streams.keep(self._url, self._connection)

    def close(self) -> None:
        """Close the connection unless it was released."""
        if not self._is_released:
            self._is_released = True
            self._connection.transport.abort()
