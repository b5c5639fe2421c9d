"""Follow what the HTTP client does for a request, and stop a second send."""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.util.stalls import stood_still


class RepeatedSendError(TrefoilstageError):
    """Report that the HTTP client was about to send a call a second time."""


@dataclass(kw_only=True, slots=True)
class Attempt:
    """Hold how far a call has come; written by the trace."""

    once: bool
    n_sent: int = 0
    # When the opening of a connection began, by the loop's clock.
    connecting_since: float | None = None

    def was_stalled(self, timeout_s: float) -> bool:
        """Tell whether this process stood still while its connection timed out."""
        if self.connecting_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return stood_still(self.connecting_since + timeout_s, now)


def make_send_trace() -> aiohttp.TraceConfig:
    """Return a trace that counts sends and stops the second of a single one."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(note_connecting)
    trace.on_request_headers_sent.append(count_send)
    return trace


async def note_connecting(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Note when a connection begins to open."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, Attempt):
        attempt.connecting_since = asyncio.get_running_loop().time()


async def count_send(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Count a send, before its first byte leaves."""
    attempt = context.trace_request_ctx
    if not isinstance(attempt, Attempt):
        return
    # The HTTP client sends PUT, DELETE and GET again by itself when their
    # connection breaks, also when the service has already acted. A booking
    # would then run twice. Stopping here, before the second head is written,
    # is enough because every send passes this call.
    if attempt.once and attempt.n_sent:
        raise RepeatedSendError("the connection broke after the call was sent")
    attempt.n_sent += 1


def open_session(
    connector: aiohttp.TCPConnector,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Return an HTTP client that counts sends and keeps no cookies."""
    return aiohttp.ClientSession(
        connector=connector,
        response_class=response_class,
        timeout=aiohttp.ClientTimeout(total=None),
        trace_configs=[make_send_trace()],
        # A cookie set for one workspace must not go out with another's call.
        cookie_jar=aiohttp.DummyCookieJar(),
    )
