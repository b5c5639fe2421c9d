"""Send a stream to a caller, and keep what the caller is slow to read."""

import asyncio

from aiohttp import web

from trefoilstage.components.connections.memory import MemoryPart

UNSENT_POLL_S = 0.005


class CallerStream(web.StreamResponse):
    """Send a stream; once told to read ahead, no part waits for the caller.

    A host that ends reads streams ahead: one that its target has finished needs no more
    of the host than to send the rest.
    """

    def __init__(
        self, *, status: int, web_request: web.BaseRequest, kept: MemoryPart
    ) -> None:
        super().__init__(status=status)
        self._web_request = web_request
        self._kept = kept
        self._rest: list[bytes] = []
        self._reads_ahead = False
        self._waiting: asyncio.Timeout | None = None

    def read_ahead(self) -> None:
        """Keep what the caller does not read at once, and end the current wait."""
        self._reads_ahead = True
        if self._waiting is not None and not self._waiting.expired():
            self._waiting.reschedule(asyncio.get_running_loop().time())

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send a part of the stream, or keep it for later."""
        if (
            self._reads_ahead
            and self._is_caller_slow
            and self._kept.may_grow(len(data))
        ):
            self._kept.resize(self._kept.n_bytes + len(data))
            self._rest.append(bytes(data))
            return
        await self.send_rest()
        try:
            async with asyncio.timeout(None) as self._waiting:
                await super().write(data)
        except TimeoutError:
            # The transport has the data; only the wait for the caller was ended.
            if not self._reads_ahead:
                raise
        finally:
            self._waiting = None

    async def send_rest(self) -> None:
        """Send what was kept, as fast as the caller reads."""
        while self._rest:
            # The HTTP library can't wait again for data whose wait was ended.
            while self._n_unsent_bytes:
                await asyncio.sleep(UNSENT_POLL_S)
            data = self._rest.pop(0)
            self._kept.resize(self._kept.n_bytes - len(data))
            await super().write(data)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the rest and the end of the stream."""
        await self.send_rest()
        while self._reads_ahead and self._n_unsent_bytes:
            await asyncio.sleep(UNSENT_POLL_S)
        await super().write_eof(data)

    @property
    def _is_caller_slow(self) -> bool:
        return bool(self._rest or self._n_unsent_bytes)

    @property
    def _n_unsent_bytes(self) -> int:
        transport = self._web_request.transport
        if transport is None or transport.is_closing():
            return 0
        return transport.get_write_buffer_size()
