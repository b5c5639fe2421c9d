"""Trace how often the HTTP client sends a request, and prevent a repeated send."""

from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.util.stalls import StallWatch


class RepeatedSendError(TrefoilstageError):
    """Report that the HTTP client tried to send a call a second time."""


@dataclass(kw_only=True, slots=True)
class SendAttempt:
    """Track the progress of one call; updated by the send trace."""

    at_most_once: bool  # fail rather than send twice
    connect_timeout_s: float
    n_sent: int = 0
    connected: bool = False  # a connection was opened for this call
    watch: StallWatch | None = None  # since the client began to open a connection

    def was_stalled(self) -> bool:
        """Return whether the process stalled while the call's connection timed out."""
        return self.watch is not None and self.watch.has_seen_stall()


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
    """Watch for stalls from when the client begins to open a connection."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, SendAttempt):
        attempt.watch = StallWatch(timeout_s=attempt.connect_timeout_s)


async def record_connection(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    """Record that the client opened a connection."""
    attempt = context.trace_request_ctx
    if isinstance(attempt, SendAttempt):
        attempt.connected = True
        if attempt.watch is not None:
            attempt.watch.stop()


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


# Of an answer, by the HTTP library; it reads on below twice as much.
READ_AHEAD_BYTES = 16 * 1024


def open_session(
    connector: aiohttp.TCPConnector,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Return an HTTP client session that traces sends and stores no cookies."""
    return aiohttp.ClientSession(
        connector=connector,
        response_class=response_class,
        read_bufsize=READ_AHEAD_BYTES,
        timeout=aiohttp.ClientTimeout(total=None),
        trace_configs=[make_send_trace()],
        # A cookie set for one workspace must not be sent with another one's call.
        cookie_jar=aiohttp.DummyCookieJar(),
    )
