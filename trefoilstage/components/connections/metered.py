"""Meter what an HTTP server reads: one request at a time, within the clients' limits.

The HTTP library parses all that it is given, and keeps requests that arrive while an
earlier one is in progress. It is therefore given the bytes of a request only once the
earlier one has been answered; the rest stays here, counted, or in the kernel.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

from trefoilstage.components.connections.framing import FramingError, RequestFramer
from trefoilstage.components.connections.memory import (
    MemoryAccount,
    MemoryLimitError,
    MemoryPart,
)
from trefoilstage.components.connections.table import ConnectionTable
from trefoilstage.helpers.events import Event, log_event

READ_BYTES = 64 * 1024
# Bytes behind a request in progress. Reading goes on below it, to notice that a client
# has left.
MAX_AHEAD_BYTES = 16 * 1024
# A parsed head takes this many times its bytes, and this much for each header.
HEAD_COPIES = 3
HEADER_BYTES = 400
# A refused client may still send. If its connection were closed meanwhile, it could
# lose the refusal.
LINGER_S = 1.0
HTTP_UNAVAILABLE = 503
REFUSALS = {
    400: b"HTTP/1.1 400 Bad Request\r\n",
    431: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
    HTTP_UNAVAILABLE: b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
}
REFUSAL_HEADERS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


class MeteredTransport(asyncio.Transport):
    """Pass on all calls to a connection's transport but those that control reading."""

    def __init__(
        self, *, transport: asyncio.Transport, connection: "MeteredConnection"
    ) -> None:
        super().__init__()
        self._transport = transport
        self.connection = connection

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the socket."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data."""
        self._transport.write(data)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Send several pieces of data."""
        self._transport.writelines(list_of_data)

    def write_eof(self) -> None:
        """Close the sending side."""
        self._transport.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether the sending side can be closed by itself."""
        return self._transport.can_write_eof()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: every write waits until the kernel has taken the data."""

    def is_reading(self) -> bool:
        """Return whether the server takes more data."""
        return not self.connection.is_held_by_server

    def pause_reading(self) -> None:
        """Give the server no more data."""
        self.connection.hold(is_held=True)

    def resume_reading(self) -> None:
        """Give the server data again."""
        self.connection.hold(is_held=False)


class MeteredConnection(asyncio.BufferedProtocol):
    """Give a server's protocol the bytes of one request at a time."""

    def __init__(
        self,
        *,
        server_protocol: asyncio.Protocol,
        table: ConnectionTable,
        read_buffer: memoryview,
    ) -> None:
        self._server_protocol = server_protocol
        self._table = table
        self._read_buffer = read_buffer
        self._framer = RequestFramer()
        self._input = bytearray()
        self._transport: asyncio.Transport | None = None
        self._is_admitted = False
        self._is_passing_on = False
        self._is_reading = True
        self._is_request_open = False
        self._is_unread = False
        self._is_refused = False
        self.is_held_by_server = False
        self.account = MemoryAccount(budget=table.budget)
        self._ahead = MemoryPart(account=self.account)
        self._head = MemoryPart(account=self.account)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the connection, or close it if there is no room for it."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._table.admit(self):
            log_event(Event.CONNECTION_CLOSED, reason="too_many_connections")
            self._transport.abort()
            return
        self._is_admitted = True
        self._transport.set_write_buffer_limits(high=0)
        self._table.begin_wait(self)
        self._server_protocol.connection_made(
            MeteredTransport(transport=self._transport, connection=self)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what was held for the client."""
        self._table.remove(self)
        self.account.close()
        self._input.clear()
        if self._is_admitted:
            self._server_protocol.connection_lost(exc)

    def eof_received(self) -> bool | None:
        """Tell the server that the client has sent all."""
        return self._server_protocol.eof_received()

    def pause_writing(self) -> None:
        """Note that the client leaves an answer unread."""
        self._is_unread = True
        self._update_wait()
        self._server_protocol.pause_writing()

    def resume_writing(self) -> None:
        """Note that the client has read what was sent."""
        self._is_unread = False
        self._update_wait()
        self._server_protocol.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes."""
        if not self._is_closing() and not self._is_refused:
            self._input += self._read_buffer[:nbytes]
            self._pass_on()

    def hold(self, *, is_held: bool) -> None:
        """Stop or continue to give the server data, as it asks."""
        self.is_held_by_server = is_held
        self._pass_on()

    def end_request(self) -> None:
        """Let the next request follow; the answer to the current one is sent."""
        self._is_request_open = False
        self._head.release()
        self._pass_on()
        self._update_wait()

    def close_for_room(self) -> None:
        """Close the connection, to make room for others."""
        log_event(
            Event.CONNECTION_CLOSED,
            reason="memory" if self._input or self._is_unread else "longest_waiting",
        )
        self._input.clear()
        if self._transport is not None:
            self._transport.abort()

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _pass_on(self) -> None:
        """Give the server what it may have, and read more if that leaves room."""
        if self._is_passing_on or self._is_refused:
            return
        self._is_passing_on = True
        try:
            while self._input and not self.is_held_by_server and self._pass_on_part():
                pass
        except FramingError as error:
            self._refuse(error.status, str(error))
        except MemoryLimitError as error:
            self._refuse(HTTP_UNAVAILABLE, str(error))
        finally:
            self._is_passing_on = False
        if self._is_closing() or self._is_refused:
            self._input.clear()
            return
        try:
            self._ahead.resize(len(self._input))
        except MemoryLimitError as error:
            self._refuse(HTTP_UNAVAILABLE, str(error))
            return
        self._control_reading()
        self._update_wait()

    def _pass_on_part(self) -> bool:
        is_head = self._framer.is_between_requests
        if is_head and self._is_request_open:
            return False
        self._framer.skip_blank_lines(self._input)
        n_bytes = self._framer.take(self._input)
        if not n_bytes or self._is_closing():
            return False
        data = bytes(memoryview(self._input)[:n_bytes])
        del self._input[:n_bytes]
        if is_head:
            n_held = HEAD_COPIES * n_bytes + HEADER_BYTES * self._framer.n_headers
            self._head.resize(n_held)
            self._is_request_open = True
        self._server_protocol.data_received(data)
        return True

    def _control_reading(self) -> None:
        is_blocked = self.is_held_by_server or self._is_request_open
        should_read = not is_blocked or len(self._input) < MAX_AHEAD_BYTES
        if should_read == self._is_reading or self._transport is None:
            return
        self._is_reading = should_read
        if should_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _update_wait(self) -> None:
        is_complete = self._is_request_open and self._framer.is_between_requests
        if self._is_unread or not is_complete:
            self._table.begin_wait(self)
        else:
            self._table.end_wait(self)

    def _refuse(self, status: int, detail: str) -> None:
        """Close the connection; its client is told why unless an answer is due."""
        self._input.clear()
        self._is_refused = True
        if self._transport is None or self._transport.is_closing():
            return
        log_event(Event.CONNECTION_CLOSED, reason="refused", detail=detail)
        if self._is_request_open:
            self._transport.abort()
            return
        self._transport.write(REFUSALS[status] + REFUSAL_HEADERS)
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)
