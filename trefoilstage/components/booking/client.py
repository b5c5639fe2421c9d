"""Send calls to plain services over HTTP."""

import aiohttp

from trefoilstage.components.booking.models import ServiceCall, ServiceResponse
from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import SHUTTING_DOWN_REFUSAL
from trefoilstage.components.forwarding.open_requests import OpenRequests
from trefoilstage.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_WORKSPACE,
)
from trefoilstage.helpers.body import read_body
from trefoilstage.helpers.send_trace import RepeatedSendError, SendAttempt
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1_000_000
RETRY_AFTER_SERVICE_S = 1.0


class ServiceClient:
    """Send a call and report whether any of it can have reached the service."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        at_most_once_session: aiohttp.ClientSession,
    ) -> None:
        self._session = session
        self._at_most_once_session = at_most_once_session
        self._calls = OpenRequests()
        self._is_ending = False

    async def end_calls(self) -> None:
        """End the calls in progress as if they had timed out, and send no more."""
        self._is_ending = True
        await self._calls.end_all()

    async def send(
        self,
        caller: Caller,
        call: ServiceCall,
        url: str,
        *,
        at_most_once: bool,
        timeout_s: float,
    ) -> ServiceResponse | Refusal:
        """Return the response, or a refusal that says whether the call may have run."""
        if self._is_ending:
            return SHUTTING_DOWN_REFUSAL
        session = self._at_most_once_session if at_most_once else self._session
        attempt = SendAttempt(
            at_most_once=at_most_once, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        headers = {
            HEADER_REQUEST_ID: caller.request,
            HEADER_WORKSPACE: caller.workspace,
            HEADER_IDEMPOTENCY_KEY: caller.key,
            "Content-Type": "application/json",
        }
        try:
            async with (
                self._calls.allow_end(),
                session.request(
                    call.method,
                    url,
                    data=call.body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(
                        total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                    ),
                    # Following a redirect would send the call a second time.
                    allow_redirects=False,
                    trace_request_ctx=attempt,
                ) as response,
            ):
                body = await read_body(response, MAX_RESPONSE_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError, RepeatedSendError):
            return refuse_incomplete_call(attempt)
        return ServiceResponse(
            status=response.status, body=body, content_type=response.content_type
        )


def refuse_incomplete_call(attempt: SendAttempt) -> Refusal:
    """Return the refusal for a call without a complete response."""
    if attempt.n_sent == 0:
        return Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_SERVICE_S)
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        effect=Effect.UNKNOWN,
        detail="the service sent no complete response; the call may have run",
        retry_after_s=RETRY_AFTER_SERVICE_S,
    )
