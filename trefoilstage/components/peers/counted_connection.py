"""Count the connections of peers among those of clients, until they are known."""

import asyncio
from typing import Any

from websockets.asyncio.server import ServerConnection

from trefoilstage.components.connections.memory import MemoryAccount
from trefoilstage.components.connections.table import ConnectionTable
from trefoilstage.helpers.events import Event, log_event


class CountedConnection(ServerConnection):
    """Accept a peer's connection if there is room for it."""

    def __init__(self, *args: Any, table: ConnectionTable, **options: Any) -> None:
        super().__init__(*args, **options)
        self._table = table
        self._is_admitted = False
        self.account = MemoryAccount(budget=table.budget)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake, or close the connection if there is no room for it."""
        assert isinstance(transport, asyncio.Transport)
        if not self._table.admit(self):
            log_event(Event.CONNECTION_CLOSED, reason="too_many_connections")
            transport.abort()
            return
        self._is_admitted = True
        self._table.begin_wait(self)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Make room for another connection."""
        self._table.remove(self)
        if self._is_admitted:
            super().connection_lost(exc)

    def end_handshake(self) -> None:
        """Keep the connection when others need room."""
        self._table.end_wait(self)

    def close_for_room(self) -> None:
        """Close the connection, to make room for others."""
        log_event(Event.CONNECTION_CLOSED, reason="longest_waiting")
        self.transport.abort()
