"""Trace how often the HTTP client sends a request, and prevent a repeated send."""

import asyncio
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.util.stalls import was_process_stalled


class RepeatedSendError(TrefoilstageError):
    """Report that the HTTP client tried to send a call a second time."""


@dataclass(kw_only=True, slots=True)
class SendAttempt:
    """Track the progress of one call; updated by the send trace."""

    at_most_once: bool  # fail rather than send twice
    n_sent: int = 0
    # When the client began to open a connection, on the event loop's clock.
    connecting_since: float | None = None
    connected: bool = False  # a connection was opened for this call

    def was_stalled(self, timeout_s: float) -> bool:
        """Return whether the process stalled while the call's connection timed out."""
        if self.connecting_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return was_process_stalled(self.connecting_since + timeout_s, now)


def make_send_trace() -> aiohttp.TraceConfig:
    """Return a trace that counts sends and prevents repeats if `at_most_once`."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(record_connection_start)
    trace.on_connection_create_end.append(record_connection)
    trace.on_request_headers_sent.append(count_send)
    return trace


async def record_connection_start(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Record when the client begins to open a connection."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, SendAttempt):
        attempt.connecting_since = asyncio.get_running_loop().time()


async def record_connection(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    """Record that the client opened a connection."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, SendAttempt):
        attempt.connected = True


async def count_send(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Count a send before its headers are written; raise if it must not repeat."""
    attempt = context.trace_request_ctx
    if not isinstance(attempt, SendAttempt):
        return
    # aiohttp retries PUT, DELETE and GET when their connection breaks, even if the
    # service has already processed the call. A booking would then run twice. Every send
    # passes through this callback, so raising here, before the headers are written a
    # second time, prevents that.
    if attempt.at_most_once and attempt.n_sent:
        raise RepeatedSendError("the connection broke after the call was sent")
    attempt.n_sent += 1


def open_session(
    connector: aiohttp.TCPConnector,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Return an HTTP client session that traces sends and stores no cookies."""
    return aiohttp.ClientSession(
        connector=connector,
        response_class=response_class,
        timeout=aiohttp.ClientTimeout(total=None),
        trace_configs=[make_send_trace()],
        # A cookie set for one workspace must not be sent with another one's call.
        cookie_jar=aiohttp.DummyCookieJar(),
    )
