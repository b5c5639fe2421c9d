"""Close a port without a loss of the requests in flight."""

import asyncio

from aiohttp import web

# Requests in flight on open connections when the port closes arrive within a round
# trip and are refused. If the connections were closed immediately, callers would not
# know whether their requests ran.
IN_FLIGHT_GRACE_S = 0.05


async def stop_listening(runner: web.BaseRunner) -> None:
    """Accept no more connections, and wait for the requests in flight on the others."""
    # The event loop accepts pending connections at the start of each iteration.
    # Connections that arrive between that and the close are reset.
    await asyncio.sleep(0)
    for site in list(runner.sites):
        await site.stop()
    await asyncio.sleep(IN_FLIGHT_GRACE_S)
