"""TCP proxy that injects faults into the connections to an upstream."""

import asyncio
import contextlib
import socket
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from standins.common import reserve_port, reset_connection

CHUNK_BYTES = 65_536
POLL_S = 0.01
LOOPBACK = "127.0.0.1"


class CutMode(StrEnum):
    """Name what happens to the connections of a host that loses its links."""

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"  # new connections; old ones live on


@dataclass(kw_only=True, slots=True)
class FaultRule:
    """Set the faults for connections from one source address.

    Held bytes are forwarded when the rule is removed, as TCP would retransmit
    them after a network partition.
    """

    hold_requests: bool = False
    hold_answers: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    n_held: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class FaultProxy:
    """Forward connections to one upstream, with a fault rule per source address."""

    upstream_address: str = LOOPBACK
    upstream_port: int = 0
    port: int = 0
    n_bytes: int = 0
    rules: dict[str, FaultRule] = field(default_factory=lambda: defaultdict(FaultRule))
    _server: asyncio.Server | None = None
    _start_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _full_backlog: list[socket.socket] = field(default_factory=list)
    _reserved: socket.socket | None = None  # while it doesn't listen
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def url(self) -> str:
        """Return the proxy's HTTP address."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def is_listening(self) -> bool:
        """Return whether the proxy accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        """Listen on a port chosen by the kernel, or on the previous one again."""
        async with self._start_lock:
            if not self.is_listening:
                await self._listen()

    async def _listen(self) -> None:
        for opened in self._full_backlog:
            opened.close()
        self._full_backlog.clear()
        reserved = self._reserved or reserve_port(self.port)
        self._reserved = None
        self._server = await asyncio.start_server(self._serve, sock=reserved)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones live on."""
        if self._server is not None:
            self._server.close()
            is_reserved = self._reserved is not None or self._full_backlog
            if not is_reserved:
                self._reserved = reserve_port(self.port)

    def hang(self) -> None:
        """Let new connections and the data of open ones hang."""
        self.stop_listening()
        listener = self._reserved or reserve_port(self.port)
        self._reserved = None
        listener.listen(0)
        self._full_backlog.append(listener)
        # The kernel queues one connection more than the backlog and drops the rest.
        for _ in range(2):
            opened = socket.socket()
            opened.setblocking(False)
            opened.connect_ex((LOOPBACK, self.port))
            self._full_backlog.append(opened)
        self.cut(LOOPBACK)

    def cut(self, *sources: str) -> None:
        """Hold all data from and to the given sources."""
        for source in sources:
            self.rules[source].hold_requests = True
            self.rules[source].hold_answers = True

    def heal(self, *sources: str) -> None:
        """Remove the rules of the given sources, or all rules if none is given."""
        for source in sources or list(self.rules):
            self.rules[source] = FaultRule()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        source = writer.get_extra_info("peername")[0]
        if self.rules[source].refuse:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.upstream_address, self.upstream_port
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._forward(reader, up_writer, source, is_reply=False),
                self._forward(up_reader, writer, source, is_reply=True),
            )
        except asyncio.CancelledError:
            # Only stop() cancels this task; asyncio's server would log the
            # cancellation as an error. Closed without a reset, an answer without a
            # length would look complete.
            for transport in (writer.transport, up_writer.transport):
                if not transport.is_closing():
                    reset_connection(transport)
        finally:
            writer.transport.abort()
            up_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        *,
        is_reply: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                self.n_bytes += len(data)
                await self._wait_while_held(source, is_reply=is_reply)
                rule = self.rules[source]
                if is_reply and rule.lose_answers > 0:
                    rule.lose_answers -= 1
                    break
                if rule.delay_s:
                    await asyncio.sleep(rule.delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            reset_connection(writer.transport)
            return
        if is_reply:
            writer.close()
        elif writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    async def _wait_while_held(self, source: str, *, is_reply: bool) -> None:
        counted_rule: FaultRule | None = None
        while True:
            rule = self.rules[source]
            if not (rule.hold_answers if is_reply else rule.hold_requests):
                return
            if rule is not counted_rule:
                counted_rule = rule
                rule.n_held += 1
            await asyncio.sleep(POLL_S)
