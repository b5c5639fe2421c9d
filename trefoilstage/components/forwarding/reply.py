"""Answer one caller over HTTP."""

from collections.abc import Sequence
from typing import Protocol

from aiohttp import web


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
        """Send the end of a stream."""

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Set the complete answer, in place of a stream."""


class WebReply:
    """Send the answer to one request of the HTTP server."""

    def __init__(self, *, web_request: web.BaseRequest) -> None:
        self._web_request = web_request
        self._stream: web.StreamResponse | None = None
        self.response: web.StreamResponse | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._stream is not None

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a stream; `close` closes the connection after the answer."""
        stream = web.StreamResponse(status=status)
        set_headers(stream, headers)
        if close:
            stream.force_close()
        await stream.prepare(self._web_request)
        self._stream = self.response = stream

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        if self._stream is not None:
            await self._stream.write(data)

    async def end(self) -> None:
        """Send the end of a stream."""
        if self._stream is not None:
            await self._stream.write_eof()

    def set_complete(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Set the complete answer, in place of a stream."""
        response = web.Response(status=status, body=body)
        set_headers(response, headers)
        if close:
            response.force_close()
        self.response = response

    def abort(self) -> None:
        """Close the connection, so that the caller detects the incomplete answer."""
        if self._web_request.transport is not None:
            self._web_request.transport.close()


def set_headers(
    response: web.StreamResponse, headers: Sequence[tuple[str, str]]
) -> None:
    """Set a target's headers, including headers that occur several times."""
    for name, _ in headers:
        response.headers.popall(name, None)
    for name, value in headers:
        response.headers.add(name, value)
