"""Read the body of a request, or say why it is refused."""

import asyncio

from trefoilstage.components.connections.body import read_body
from trefoilstage.components.connections.memory import MemoryLimitError
from trefoilstage.components.forwarding.exchange import Exchange
from trefoilstage.helpers.verdict import Reason, Refusal

# Another host accepts the request immediately.
RETRY_ELSEWHERE_AFTER_S = 0.05
# Bodies leave a host's memory within the time limits of their requests.
MEMORY_RETRY_AFTER_S = 1.0
BODY_LATE = Refusal(
    reason=Reason.DEADLINE,
    retry_after_s=RETRY_ELSEWHERE_AFTER_S,
    detail="the body did not arrive in time",
)
MEMORY_FULL = Refusal(
    reason=Reason.OVERLOADED,
    retry_after_s=MEMORY_RETRY_AFTER_S,
    detail="this host has no memory for the body",
)


async def read_body_by(
    deadline: float, exchange: Exchange, max_bytes: int
) -> bytes | Refusal:
    """Return a request's body, or a refusal if it is late or too long."""
    request, memory = exchange.web_request, exchange.body_memory
    try:
        async with asyncio.timeout_at(deadline):
            body = await read_body(request, memory, max_bytes)
    except TimeoutError:
        return BODY_LATE
    except MemoryLimitError:
        return MEMORY_FULL
    return body if len(body) <= max_bytes else Refusal(reason=Reason.BODY_TOO_LARGE)
