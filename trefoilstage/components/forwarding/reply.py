"""Answer one caller over HTTP."""

from collections.abc import Sequence
from typing import Protocol

from aiohttp import web


class CallerReply(Protocol):
    """Answer one caller, at once or event by event."""

    @property
    def is_open(self) -> bool:
        """Tell whether the head of the answer is out."""

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a stream; `close` ends the connection after it."""

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def end(self) -> None:
        """Send the end of a stream."""

    def set_whole(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Answer in one piece."""


class WebReply:
    """Answer one request of the HTTP server."""

    def __init__(self, *, web_request: web.BaseRequest) -> None:
        self._web_request = web_request
        self._stream: web.StreamResponse | None = None
        self.response: web.StreamResponse | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the head of the answer is out."""
        return self._stream is not None

    async def open(
        self, status: int, headers: Sequence[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a stream; `close` ends the connection after it."""
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

    def set_whole(
        self,
        status: int,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Answer in one piece."""
        response = web.Response(status=status, body=body)
        set_headers(response, headers)
        if close:
            response.force_close()
        self.response = response

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer broke off."""
        if self._web_request.transport is not None:
            self._web_request.transport.close()


def set_headers(
    response: web.StreamResponse, headers: Sequence[tuple[str, str]]
) -> None:
    """Set a target's headers, repeated ones among them."""
    for name, _ in headers:
        response.headers.popall(name, None)
    for name, value in headers:
        response.headers.add(name, value)
