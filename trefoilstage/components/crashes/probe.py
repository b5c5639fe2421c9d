"""Tell whether a target still listens."""

import asyncio
from enum import StrEnum
from typing import Protocol

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
        """Open a connection and close it again."""
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
