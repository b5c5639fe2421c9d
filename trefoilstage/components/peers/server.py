"""Serve the calls of other hosts."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from mode import Service
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from trefoilstage.components.connections.peer_connection import PeerConnection
from trefoilstage.components.connections.site import ClientConnections
from trefoilstage.components.connections.transport import MeteredTransport
from trefoilstage.components.peers.frames import ErrorReply, Frame
from trefoilstage.components.peers.link import send_data
from trefoilstage.const import MAX_PEER_MESSAGE_BYTES
from trefoilstage.exceptions import MalformedMessageError, NotReadyError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, describe_error, log_event

Handler = Callable[[Any], Awaitable[Any]]
SendReply = Callable[[Any], Awaitable[None]]
# Sends any number of replies until it returns.
StreamHandler = Callable[[Any, SendReply], Awaitable[None]]


# Messages of a connection that can't be decoded. A peer of another version may send
# some; it connects again.
MAX_MALFORMED = 100


class PeerServer(Service):
    """Accept peers' connections and pass each message to the handler of its type."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        codec: Codec[Frame[Any]],
        connections: ClientConnections
        | None = None,  # None in a process without clients
    ) -> None:
        super().__init__()
        self._connections = connections
        self._codec = codec
        self.address = address
        self.port = port
        self._handlers: dict[type[Any], Handler] = {}
        self._stream_handlers: dict[type[Any], StreamHandler] = {}
        self._server: Server | None = None
        self._calls: set[asyncio.Task[None]] = set()

    def register(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler for messages of a type, replacing any previous one."""
        self._handlers[message_type] = handler

    def register_stream(self, message_type: type[Any], handler: StreamHandler) -> None:
        """Register the handler for messages of a type that get several replies.

        It is cancelled when the caller closes the connection.
        """
        self._stream_handlers[message_type] = handler

    async def on_start(self) -> None:
        """Start listening for connections."""
        self._server = await serve(
            self._serve_connection,
            self.address,
            self.port,
            ping_interval=None,
            compression=None,
            max_size=MAX_PEER_MESSAGE_BYTES,
            close_timeout=1,
            create_connection=cast(Any, self._make_connection),
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]

    async def on_stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _make_connection(self, *args: Any, **options: Any) -> asyncio.BaseProtocol:
        connection = ServerConnection(*args, **options)
        if self._connections is None:
            return connection
        return self._connections.meter_peer(connection)

    async def _serve_connection(self, connection: ServerConnection) -> None:
        streams: set[asyncio.Task[None]] = set()
        transport = connection.transport
        if isinstance(transport, MeteredTransport):
            cast(PeerConnection, transport.connection).end_handshake()
        n_malformed = 0
        try:
            async for data in connection:
                n_malformed += not self._start_call(connection, data, streams)
                if n_malformed > MAX_MALFORMED:
                    return
        except (OSError, WebSocketException):
            return
        finally:
            for task in streams:
                task.cancel()

    def _start_call(
        self,
        connection: ServerConnection,
        data: bytes | str,
        streams: set[asyncio.Task[None]],
    ) -> bool:
        """Start to handle a message; return False if it is malformed."""
        try:
            frame = self._codec.decode(data if isinstance(data, bytes) else b"")
        except MalformedMessageError as error:
            log_event(
                Event.PEER_MESSAGE_MALFORMED,
                peer=str(connection.remote_address),
                error=str(error),
            )
            return False
        is_stream = type(frame.body) in self._stream_handlers
        process = self._process_stream if is_stream else self._process_frame
        task = asyncio.create_task(process(connection, frame))
        for tasks in (self._calls, streams) if is_stream else (self._calls,):
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        return True

    async def handle(self, message: Any) -> Any:
        """Return the reply to a message, or raise what its handler raises."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return ErrorReply(detail="no such call")
        return await handler(message)

    async def handle_stream(self, message: Any, send: SendReply) -> None:
        """Send the replies to a message that gets several."""
        await self._stream_handlers[type(message)](message, send)

    async def _process_stream(
        self, connection: ServerConnection, frame: Frame[Any]
    ) -> None:
        async def send(body: Any) -> None:
            reply = Frame(number=frame.number, reply=True, body=body)
            await send_data(connection, self._codec.encode(reply))

        try:
            await self.handle_stream(frame.body, send)
        except (OSError, WebSocketException):
            return
        except Exception as error:
            log_event(
                Event.PEER_CALL_FAILED,
                kind=frame.body.kind,
                error=describe_error(error),
            )
            connection.transport.abort()

    async def _handle_without_reply(self, message: Any) -> None:
        try:
            await self.handle(message)
        except Exception as error:
            log_event(
                Event.PEER_CALL_FAILED,
                kind=message.kind,
                error=describe_error(error),
            )

    async def _process_frame(
        self, connection: ServerConnection, frame: Frame[Any]
    ) -> None:
        if frame.reply:
            # The sender marks a one-way message as a reply, so that it gets no reply.
            await self._handle_without_reply(frame.body)
            return
        try:
            body: Any = await self.handle(frame.body)
        except NotReadyError as error:
            body = ErrorReply(detail=str(error)[:200])
        # Without an error reply, the caller would wait until its timeout.
        except Exception as error:
            log_event(
                Event.PEER_CALL_FAILED,
                kind=frame.body.kind,
                error=describe_error(error),
            )
            body = ErrorReply(detail="the call failed")
        reply = Frame(number=frame.number, reply=True, body=body)
        try:
            await connection.send(self._codec.encode(reply))
        except (OSError, WebSocketException):
            return
