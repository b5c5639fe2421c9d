"""Tell whether a target still listens."""

import asyncio
from enum import StrEnum
from typing import Protocol

from trefoilstage.util.stalls import stood_still

# A target in the same region accepts within 2 ms.
CONNECT_TIMEOUT_S = 0.4


class ProbeResult(StrEnum):
    """Name what became of a connection to a target."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class TargetProbe(Protocol):
    """Tell whether a target still listens."""

    async def connect(self, address: str) -> ProbeResult:
        """Open a connection and close it again."""


class ConnectProbe:
    """Open a TCP connection to a target."""

    def __init__(self, *, outbound_address: str) -> None:
        self._outbound_address = outbound_address

    async def connect(self, address: str) -> ProbeResult:
        """Open a connection and close it again, anew if this host stood still."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CONNECT_TIMEOUT_S
            result = await self._connect(address)
            if result is ProbeResult.SILENT and stood_still(due, loop.time()):
                continue
            return result

    async def _connect(self, address: str) -> ProbeResult:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    host, int(port), local_addr=(self._outbound_address, 0)
                )
        except TimeoutError:
            return ProbeResult.SILENT
        except OSError:
            return ProbeResult.REFUSED
        writer.transport.abort()
        return ProbeResult.ACCEPTED
