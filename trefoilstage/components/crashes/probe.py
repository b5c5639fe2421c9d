"""Probe whether a target still accepts connections."""

import asyncio
from enum import StrEnum
from typing import Protocol

from trefoilstage.util.stalls import StallWatch

# A target in the same region accepts within 2 ms.
CONNECT_TIMEOUT_S = 0.4


class ProbeResult(StrEnum):
    """List the results of connecting to a target."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"
    MUTE = "mute"  # accepts connections, but doesn't answer as the target that is meant


class TargetProbe(Protocol):
    """Check whether a target still accepts connections."""

    async def connect(self, address: str) -> ProbeResult:
        """Open a connection, close it and return the result."""


class ConnectProbe:
    """Check a target by opening a TCP connection."""

    def __init__(self, *, outbound_address: str) -> None:
        self._outbound_address = outbound_address

    async def connect(self, address: str) -> ProbeResult:
        """Open a connection and close it; try again if this process was stalled."""
        while True:
            with StallWatch(timeout_s=CONNECT_TIMEOUT_S) as watch:
                result = await self._connect(address)
            if result is not ProbeResult.SILENT or not watch.has_seen_stall():
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
