"""Give the server for peers little of what has arrived at a time."""

import asyncio

from trefoilstage.components.connections.frame_lengths import FrameLengths
from trefoilstage.components.connections.memory import MemoryPart
from trefoilstage.components.connections.metered import MeteredConnection
from trefoilstage.components.connections.table import ConnectionTable

# The shortest messages take a hundred times their bytes once they are parsed.
PART_BYTES = 4 * 1024
LONG_PART_BYTES = 64 * 1024  # within a long message


# Of a message, as it arrives and is decoded.
MESSAGE_COPIES = 2
# Shorter messages are not counted.
MIN_COUNTED_BYTES = 16 * 1024


class PeerConnection(MeteredConnection):
    """Wait for a peer's handshake, then keep the connection when others need room."""

    def __init__(
        self,
        *,
        server_protocol: asyncio.Protocol,
        table: ConnectionTable,
        read_buffer: memoryview,
    ) -> None:
        super().__init__(
            server_protocol=server_protocol,
            table=table,
            read_buffer=read_buffer,
            may_use_reserve=True,
        )
        self._is_known = False
        self._is_unread = False
        self._frames = FrameLengths()
        self._message = MemoryPart(account=self.accounts[0])

    def pause_writing(self) -> None:
        """Take no more of a peer that does not read the replies."""
        self._is_unread = True
        super().pause_writing()

    def resume_writing(self) -> None:
        """Take more again."""
        self._is_unread = False
        super().resume_writing()
        self._schedule_turn()

    def end_handshake(self) -> None:
        """Record that the client is a peer."""
        self._is_known = True
        self._update_wait()

    def _take_part(self) -> bytes:
        n_bytes = LONG_PART_BYTES if self._message.n_bytes else PART_BYTES
        data = bytes(memoryview(self._input)[:n_bytes])
        del self._input[:n_bytes]
        self._frames.add(data)
        n_counted = self._frames.frame_bytes
        if n_counted >= MIN_COUNTED_BYTES or self._message.n_bytes:
            is_counted = n_counted >= MIN_COUNTED_BYTES
            self._message.resize(MESSAGE_COPIES * n_counted if is_counted else 0)
        return data

    def _is_blocked(self) -> bool:
        return self._is_unread or super()._is_blocked()

    def _is_client_due(self) -> bool:
        return not self._is_known
