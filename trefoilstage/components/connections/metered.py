"""Meter what a server reads of a client, within the clients' limits.

The libraries parse all that they are given, and keep what can't be handled yet. They
are therefore given a part of what has arrived at a time, and no more while they are
busy with it; the rest stays here, counted, or in the kernel.
"""

import asyncio
from typing import cast

from trefoilstage.components.connections.framing import FramingError
from trefoilstage.components.connections.memory import (
    MemoryAccount,
    MemoryLimitError,
    MemoryPart,
)
from trefoilstage.components.connections.table import ConnectionTable
from trefoilstage.components.connections.transport import MeteredTransport
from trefoilstage.helpers.events import Event, log_event

READ_BYTES = 16 * 1024
# That have arrived and can't be passed on. Reading goes on below it, to notice that a
# client has left.
MAX_AHEAD_BYTES = 16 * 1024
# Passed on in a turn of the event loop, before other connections have theirs.
MAX_PARTS = 4
HTTP_UNAVAILABLE = 503


class MeteredConnection(asyncio.BufferedProtocol):
    """Give a server's protocol a part of what has arrived at a time.

    Subclasses say which part is next, and whether the client is waited for.
    """

    def __init__(
        self,
        *,
        server_protocol: asyncio.Protocol,
        table: ConnectionTable,
        read_buffer: memoryview,
        may_use_reserve: bool = False,
    ) -> None:
        self._may_use_reserve = may_use_reserve
        self._server_protocol = server_protocol
        self._table = table
        self._read_buffer = read_buffer
        self._input = bytearray()
        self._transport: asyncio.Transport | None = None
        self._is_admitted = False
        self._is_passing_on = False
        self._is_reading = True
        self._is_refused = False
        self._next_turn: asyncio.Handle | None = None
        self.is_held_by_server = False
        # The first is for what the connection itself holds. A body, and an answer, has
        # one of its own: what has begun must not fail beside it.
        self.accounts = [MemoryAccount(budget=table.budget)]
        self._ahead = MemoryPart(account=self.accounts[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass on the connection, or close it if there is no room for it."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._table.admit(self, may_use_reserve=self._may_use_reserve):
            log_event(Event.CONNECTION_CLOSED, reason="too_many_connections")
            self._transport.abort()
            return
        self._is_admitted = True
        self._table.begin_wait(self)
        self._server_protocol.connection_made(
            MeteredTransport(transport=self._transport, connection=self)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what was held for the client."""
        self._table.remove(self)
        for account in self.accounts:
            account.close()
        self._input.clear()
        if self._next_turn is not None:
            self._next_turn.cancel()
        if self._is_admitted:
            self._server_protocol.connection_lost(exc)

    def eof_received(self) -> bool | None:
        """Tell the server that the client has sent all."""
        return self._server_protocol.eof_received()

    def pause_writing(self) -> None:
        """Tell the server that the client does not read."""
        self._server_protocol.pause_writing()

    def resume_writing(self) -> None:
        """Tell the server that the client has read what was sent."""
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
        if not is_held:
            self._schedule_turn()

    def open_account(self) -> MemoryAccount:
        """Return an account for a body or an answer of the request in progress."""
        account = MemoryAccount(budget=self._table.budget)
        if self._is_closing():
            account.close()
        self.accounts.append(account)
        return account

    def set_write_limits(self, high: int | None, low: int | None) -> None:
        """Set how much may be unsent before writes wait."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high, low)

    def close_for_room(self) -> None:
        """Close the connection, to make room for others."""
        log_event(
            Event.CONNECTION_CLOSED,
            reason="memory" if self._input else "longest_waiting",
        )
        self._input.clear()
        if self._transport is not None:
            self._transport.abort()

    def _take_part(self) -> bytes:
        """Remove and return what the server may have next, b"" if it may have nothing.

        Raises FramingError if the client is to be refused, MemoryLimitError if there is
        no memory for it.
        """
        raise NotImplementedError

    def _is_client_due(self) -> bool:
        """Return whether the client is waited for."""
        raise NotImplementedError

    def _refuse(self, status: int, detail: str) -> None:
        """Close the connection of a client that is refused."""
        self._discard_input()
        if not self._is_closing() and self._transport is not None:
            log_event(Event.CONNECTION_CLOSED, reason="refused", detail=detail)
            self._transport.abort()

    def _discard_input(self) -> None:
        """Drop what has arrived, and all that follows."""
        self._is_refused = True
        self._input.clear()
        self._ahead.release()

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _pass_on(self) -> None:
        """Give the server some parts, and more in the next turns of the event loop."""
        if self._is_passing_on or self._is_refused or self._next_turn is not None:
            return
        self._is_passing_on = True
        try:
            self._pass_on_parts()
            if len(self._input) != self._ahead.n_bytes:
                self._ahead.resize(len(self._input))
        except FramingError as error:
            self._refuse(error.status, str(error))
        except MemoryLimitError as error:
            self._refuse(HTTP_UNAVAILABLE, str(error))
        finally:
            self._is_passing_on = False
        if self._is_closing() or self._is_refused:
            self._discard_input()
            return
        self._control_reading()
        self._update_wait()

    def _pass_on_parts(self) -> None:
        for _ in range(MAX_PARTS):
            if not self._input or self._is_blocked() or self._is_closing():
                return
            data = self._take_part()
            if not data:
                return
            self._server_protocol.data_received(data)
        if self._input:
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        """Pass on more later: the server may call from within its parser."""
        if self._next_turn is None:
            loop = asyncio.get_running_loop()
            self._next_turn = loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._next_turn = None
        self._pass_on()

    def _control_reading(self) -> None:
        should_read = len(self._input) < MAX_AHEAD_BYTES or not self._is_blocked()
        if should_read == self._is_reading or self._transport is None:
            return
        self._is_reading = should_read
        if should_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _is_blocked(self) -> bool:
        """Return whether the server can't take what has arrived yet."""
        return self.is_held_by_server or self._next_turn is not None

    def _update_wait(self) -> None:
        if self._is_client_due():
            self._table.begin_wait(self)
        else:
            self._table.end_wait(self)
