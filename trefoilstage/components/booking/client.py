"""Send calls to plain services over HTTP."""

import aiohttp

from trefoilstage.components.booking.models import ServiceAnswer, ServiceCall
from trefoilstage.components.callers.models import Caller
from trefoilstage.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_WORKSPACE,
)
from trefoilstage.helpers.sends import Attempt, RepeatedSendError
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 1_000_000
RETRY_AFTER_SERVICE_S = 1.0


class ServiceClient:
    """Send a call and tell whether any of it can have reached the service."""

    def __init__(
        self, *, session: aiohttp.ClientSession, once_session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._once_session = once_session

    async def send(
        self,
        caller: Caller,
        call: ServiceCall,
        url: str,
        *,
        once: bool,
        timeout_s: float,
    ) -> ServiceAnswer | Refusal:
        """Return the answer, or a refusal that says whether the call may have run."""
        session = self._once_session if once else self._session
        attempt = Attempt(once=once)
        headers = {
            HEADER_REQUEST_ID: caller.request,
            HEADER_WORKSPACE: caller.workspace,
            HEADER_IDEMPOTENCY_KEY: caller.key,
            "Content-Type": "application/json",
        }
        try:
            async with session.request(
                call.method,
                url,
                data=call.body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                # A followed redirect would send the call a second time.
                allow_redirects=False,
                trace_request_ctx=attempt,
            ) as response:
                body = await read_bounded(response)
        except (aiohttp.ClientError, TimeoutError, OSError, RepeatedSendError):
            return refuse_broken(attempt)
        if body is None:
            return refuse_broken(attempt)
        return ServiceAnswer(
            status=response.status, body=body, content_type=response.content_type
        )


def refuse_broken(attempt: Attempt) -> Refusal:
    """Return the refusal of a call that got no whole answer."""
    if attempt.n_sent == 0:
        return Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_SERVICE_S)
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        effect=Effect.UNKNOWN,
        detail="the service gave no whole answer; the call may have run",
        retry_after_s=RETRY_AFTER_SERVICE_S,
    )


async def read_bounded(response: aiohttp.ClientResponse) -> bytes | None:
    """Return a body, or None when it is larger than a host may hold."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            return None
    return bytes(body)
