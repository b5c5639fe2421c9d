"""Answer one caller over HTTP."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from trefoilstage.components.connections.memory import MemoryAccount, MemoryPart
from trefoilstage.components.connections.parts import PartList
from trefoilstage.components.forwarding.caller_stream import CallerStream


class CallerReply(Protocol):
    """Send the answer to one caller, as a whole or event by event."""

    @property
    def is_open(self) -> bool:
        """Return whether the head of the answer was sent."""

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a stream; `close` closes the connection after the answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def end(self) -> None:
        """Let the stream end, which is sent once the request has settled."""

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: PartList,
        *,
        close: bool,
    ) -> None:
        """Set the complete answer, in place of a stream."""


class WebReply:
    """Send the answer to one request of the HTTP server."""

    def __init__(self, *, web_request: web.BaseRequest, account: MemoryAccount) -> None:
        self._web_request = web_request
        self._account = account
        self._reads_ahead = False
        self._stream: CallerStream | None = None
        self.response: web.StreamResponse | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._stream is not None

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a stream; `close` closes the connection after the answer."""
        stream = CallerStream(
            status=status,
            web_request=self._web_request,
            kept=MemoryPart(account=self._account),
        )
        set_headers(stream, headers)
        if close:
            stream.force_close()
        await stream.prepare(self._web_request)
        self._stream = self.response = stream
        if self._reads_ahead:
            stream.read_ahead()

    def read_ahead(self) -> None:
        """Keep what a caller does not read at once, and wait for no caller."""
        self._reads_ahead = True
        if self._stream is not None:
            self._stream.read_ahead()

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        if self._stream is not None:
            await self._stream.write(data)

    async def end(self) -> None:
        """Let the stream end, which is sent once the request has settled."""

    async def send_rest(self, discard_at: float) -> None:
        """Send what was kept of a stream that is broken off."""
        if self._stream is not None:
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout_at(discard_at):
                    await self._stream.send_rest()

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: PartList,
        *,
        close: bool,
    ) -> None:
        """Set the complete answer, in place of a stream."""
        response = make_whole_response(status, body)
        set_headers(response, headers)
        if close:
            response.force_close()
        self.response = response

    def abort(self, discard_at: float) -> None:
        """Close the connection, so that the caller detects the incomplete answer.

        What the caller has not read is discarded at `discard_at`, by the loop's time.
        """
        transport = self._web_request.transport
        if transport is not None:
            transport.close()
            # A closed transport remains as long as it has unsent data. Without any, a
            # timer would only keep the transport until the deadline.
            if transport.get_write_buffer_size():
                asyncio.get_running_loop().call_at(discard_at, transport.abort)


class LongResponse(web.StreamResponse):
    """Send a whole answer in parts, of which the connection holds one at a time."""

    def __init__(self, *, status: int, body: PartList) -> None:
        super().__init__(status=status)
        self._parts = deque(body.parts)
        self._n_bytes = body.n_bytes

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Send the head, with the length of the answer."""
        self.content_length = self._n_bytes
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body."""
        while self._parts:
            await self.write(self._parts.popleft())
        await super().write_eof(data)


def make_whole_response(status: int, body: PartList) -> web.StreamResponse:
    """Return the response with a whole answer.

    The HTTP library would copy all of a long one.
    """
    if len(body.parts) <= 1:
        return web.Response(status=status, body=body.join())
    return LongResponse(status=status, body=body)


def limit_unsent_data(web_request: web.BaseRequest) -> None:
    """Let a write wait until the kernel has taken what was written before.

    Otherwise, an unread end of an answer would remain after the request has ended.
    """
    if web_request.transport is not None:
        web_request.transport.set_write_buffer_limits(high=0)


async def send_response(
    web_request: web.BaseRequest, response: web.StreamResponse, discard_at: float
) -> bool:
    """Send a complete answer, or the rest of one.

    Returns False if it was still unread at `discard_at` and was discarded.
    """
    try:
        async with asyncio.timeout_at(discard_at):
            await response.prepare(web_request)
            await response.write_eof()
    except TimeoutError:
        if web_request.transport is not None:
            web_request.transport.abort()
        return False
    except ConnectionError:
        # The caller has left. The HTTP server would log an error of its handler.
        return True
    return True


def set_headers(
    response: web.StreamResponse, headers: Sequence[tuple[str, str]]
) -> None:
    """Set a target's headers, including headers that occur several times."""
    for name, _ in headers:
        response.headers.popall(name, None)
    for name, value in headers:
        response.headers.add(name, value)
