"""Know the connections of all clients, and choose which to close; pure."""

from typing import Protocol

from trefoilstage.components.connections.limits import ClientLimits
from trefoilstage.components.connections.memory import MemoryAccount, MemoryBudget

# Connections of balancers, operators and peers, while callers use all others.
N_RESERVED = 64


class Closable(Protocol):
    """Close a connection at once, to make room for others."""

    accounts: list[MemoryAccount]

    def close_for_room(self) -> None:
        """Close the connection; its bytes are released."""


class ConnectionTable:
    """Choose which connections are closed when there are too many, or too many bytes.

    A connection waits for its client while nothing of a request has arrived, while a
    part is missing, and while an answer is not read. No request of such a connection
    is in the hands of a target, unless its client leaves the answer unread. The one
    that has waited longest is closed first.
    """

    def __init__(self, *, limits: ClientLimits) -> None:
        self._limits = limits
        self.budget = MemoryBudget(
            max_bytes=limits.max_bytes, make_room=self._make_room
        )
        self._open: set[Closable] = set()
        self._waiting: dict[Closable, None] = {}  # in the order of their beginning

    @property
    def n_open(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def admit(self, connection: Closable, *, may_use_reserve: bool = False) -> bool:
        """Add a connection; return False if there is no room for it."""
        limit = self._limits.max_connections
        if may_use_reserve:
            limit += N_RESERVED
        while len(self._open) >= limit and self._waiting:
            self._close(next(iter(self._waiting)))
        if len(self._open) >= limit:
            return False
        self._open.add(connection)
        return True

    def remove(self, connection: Closable) -> None:
        """Remove a connection that was closed."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def begin_wait(self, connection: Closable) -> None:
        """Record that a connection waits for its client from now on."""
        if connection in self._open:
            self._waiting.setdefault(connection, None)

    def end_wait(self, connection: Closable) -> None:
        """Record that a connection does not wait for its client."""
        self._waiting.pop(connection, None)

    def _make_room(self, account: MemoryAccount, n_bytes: int) -> None:
        """Close connections for which something is held, until an account may grow."""
        for connection in list(self._waiting):
            if account.may_grow(n_bytes):
                return
            is_held = any(item.n_bytes for item in connection.accounts)
            if is_held and account not in connection.accounts:
                self._close(connection)

    def _close(self, connection: Closable) -> None:
        self.remove(connection)
        for account in connection.accounts:
            account.close()
        connection.close_for_room()
