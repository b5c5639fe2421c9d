"""Give an HTTP server one request at a time, the next after the answer."""

import asyncio

from trefoilstage.components.connections.framing import RequestFramer
from trefoilstage.components.connections.memory import MemoryLimitError, MemoryPart
from trefoilstage.components.connections.metered import (
    HTTP_UNAVAILABLE,
    MeteredConnection,
)
from trefoilstage.components.connections.table import ConnectionTable
from trefoilstage.helpers.events import Event, log_event

# A request in progress takes as much, with its connection to a target. Its parsed head
# takes this many times its bytes, and this much for each header.
REQUEST_BYTES = 32_000
HEAD_COPIES = 3
HEADER_BYTES = 400
# A refused client may still send. If its connection were closed meanwhile, it could
# lose the refusal.
LINGER_S = 1.0
REFUSALS = {
    400: b"HTTP/1.1 400 Bad Request\r\n",
    431: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
    HTTP_UNAVAILABLE: b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
}
REFUSAL_HEADERS = b"Content-Length: 0\r\nConnection: close\r\n\r\n"


class HttpConnection(MeteredConnection):
    """Give an HTTP server the bytes of one request at a time."""

    def __init__(
        self,
        *,
        server_protocol: asyncio.Protocol,
        table: ConnectionTable,
        read_buffer: memoryview,
        may_use_reserve: bool = False,
    ) -> None:
        super().__init__(
            server_protocol=server_protocol,
            table=table,
            read_buffer=read_buffer,
            may_use_reserve=may_use_reserve,
        )
        self._framer = RequestFramer()
        self._is_request_open = False
        self._is_unread = False
        self._request = MemoryPart(account=self.accounts[0])
        self._unsent = MemoryPart(account=self.accounts[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the connection; every write waits until the kernel has the data."""
        super().connection_made(transport)
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=0)

    def set_write_limits(self, high: int | None, low: int | None) -> None:
        """Do nothing: what is unsent would not be counted."""

    def pause_writing(self) -> None:
        """Count what the client leaves unread."""
        super().pause_writing()
        self._is_unread = True
        self._update_wait()
        if self._transport is None:
            return
        try:
            self._unsent.resize(self._transport.get_write_buffer_size())
        except MemoryLimitError as error:
            log_event(Event.CONNECTION_CLOSED, reason="memory", detail=str(error))
            self._transport.abort()

    def resume_writing(self) -> None:
        """Release what the client has read."""
        self._is_unread = False
        self._unsent.release()
        self._update_wait()
        super().resume_writing()

    def end_request(self) -> None:
        """Let the next request follow; the answer to the current one is sent."""
        self._is_request_open = False
        self._request.release()
        for account in self.accounts[1:]:
            account.close()
        del self.accounts[1:]
        if self._input:
            self._schedule_turn()
        else:
            self._control_reading()
            self._update_wait()

    def _take_part(self) -> bytes:
        is_head = self._framer.is_between_requests
        if is_head and self._is_request_open:
            return b""
        self._framer.skip_blank_lines(self._input)
        n_bytes = self._framer.take(self._input)
        if is_head and n_bytes:
            framer = self._framer
            n_held = HEAD_COPIES * framer.n_head_bytes + HEADER_BYTES * framer.n_headers
            self._request.resize(REQUEST_BYTES + n_held)
            self._is_request_open = True
        data = bytes(memoryview(self._input)[:n_bytes])
        del self._input[:n_bytes]
        return data

    def _is_client_due(self) -> bool:
        is_complete = self._is_request_open and self._framer.is_between_requests
        return self._is_unread or not is_complete

    def _is_blocked(self) -> bool:
        is_complete = self._is_request_open and self._framer.is_between_requests
        return is_complete or super()._is_blocked()

    def _refuse(self, status: int, detail: str) -> None:
        """Close the connection; its client is told why unless an answer is due."""
        if self._is_request_open or self._is_closing() or self._transport is None:
            super()._refuse(status, detail)
            return
        self._discard_input()
        log_event(Event.CONNECTION_CLOSED, reason="refused", detail=detail)
        self._transport.write(REFUSALS[status] + REFUSAL_HEADERS)
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)
