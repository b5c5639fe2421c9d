"""Let a server's protocol use a connection whose reading is controlled elsewhere."""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol


class ReadControl(Protocol):
    """Control what a server reads of a connection."""

    is_held_by_server: bool

    def hold(self, *, is_held: bool) -> None:
        """Stop or continue to give the server data."""

    def set_write_limits(self, high: int | None, low: int | None) -> None:
        """Set how much may be unsent before writes wait."""


class MeteredTransport(asyncio.Transport):
    """Pass on all calls to a connection's transport but those that control reading."""

    def __init__(
        self, *, transport: asyncio.Transport, connection: ReadControl
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
        """Set how much may be unsent before writes wait."""
        self.connection.set_write_limits(high, low)

    def is_reading(self) -> bool:
        """Return whether the server takes more data."""
        return not self.connection.is_held_by_server

    def pause_reading(self) -> None:
        """Give the server no more data."""
        self.connection.hold(is_held=True)

    def resume_reading(self) -> None:
        """Give the server data again."""
        self.connection.hold(is_held=False)
