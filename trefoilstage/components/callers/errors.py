"""Turn every error on the callers' port into a typed answer."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from trefoilstage.components.callers.refusals import make_refusal
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.http import REASON_BY_STATUS, get_pattern
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

STREAMING = "streaming"


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer typed JSON for errors of the HTTP library and of the product."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        response = make_refusal(read_http_error(error), "")
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        log_event(
            Event.REQUEST_FAILED,
            path=get_pattern(request),
            error=describe_error(error),
        )
        if request.get(STREAMING) and request.transport is not None:
            # The head is out, so no status can tell of the failure. Without a
            # hard end the library would close the stream as if it were whole.
            request.transport.abort()
            raise
        return make_refusal(Refusal(reason=Reason.INTERNAL, effect=Effect.UNKNOWN), "")


def read_http_error(error: web.HTTPException) -> Refusal:
    """Return the refusal that an error of the HTTP library stands for."""
    reason = REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
    return Refusal(reason=reason, detail=error.reason)
