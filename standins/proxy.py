"""Stand between two parties and inject faults into their TCP connections."""

import asyncio
import contextlib
from collections import defaultdict
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
POLL_S = 0.01
LOOPBACK = "127.0.0.1"


@dataclass(kw_only=True, slots=True)
class Rule:
    """Say what happens to the connections of one source address.

    Held bytes are kept and flow on when the rule is lifted, as TCP would send
    them again after a cut.
    """

    hold_requests: bool = False
    hold_answers: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    n_held: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class FaultProxy:
    """Forward connections to one upstream under rules by source address."""

    upstream_address: str = LOOPBACK
    upstream_port: int = 0
    port: int = 0
    n_bytes: int = 0
    rules: dict[str, Rule] = field(default_factory=lambda: defaultdict(Rule))
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def url(self) -> str:
        """Return the proxy's HTTP address."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def is_listening(self) -> bool:
        """Tell whether the proxy takes connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        """Listen on a port from the kernel, or again on the one it had."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *sources: str) -> None:
        """Hold everything from and to the given sources."""
        for source in sources:
            self.rules[source].hold_requests = True
            self.rules[source].hold_answers = True

    def heal(self, *sources: str) -> None:
        """Lift every rule of the given sources, of all without any."""
        for source in sources or list(self.rules):
            self.rules[source] = Rule()

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
            # Only stop() cancels; the stream server would log that as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._pump(reader, up_writer, source, answers=False),
                    self._pump(up_reader, writer, source, answers=True),
                )
        finally:
            writer.transport.abort()
            up_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                self.n_bytes += len(data)
                await self._wait_while_held(source, answers=answers)
                rule = self.rules[source]
                if answers and rule.lose_answers > 0:
                    rule.lose_answers -= 1
                    break
                if rule.delay_s:
                    await asyncio.sleep(rule.delay_s)
                writer.write(data)
                await writer.drain()
        if answers:
            writer.close()
        elif writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()

    async def _wait_while_held(self, source: str, *, answers: bool) -> None:
        noted: Rule | None = None
        while True:
            rule = self.rules[source]
            if not (rule.hold_answers if answers else rule.hold_requests):
                return
            if rule is not noted:
                noted = rule
                rule.n_held += 1
            await asyncio.sleep(POLL_S)
