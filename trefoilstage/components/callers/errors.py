"""Convert errors on the callers' port into refusals."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from trefoilstage.components.callers.refusals import make_refusal_response
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.http import REASON_BY_STATUS, get_route_pattern
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

STREAMING_KEY = "streaming"


@web.middleware
async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Respond to errors of the HTTP library and of handlers with refusals in JSON."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        response = make_refusal_response(convert_http_error(error), "")
        if "Allow" in error.headers:
            response.headers["Allow"] = error.headers["Allow"]
        return response
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        log_event(
            Event.REQUEST_FAILED,
            path=get_route_pattern(request),
            error=describe_error(error),
        )
        if request.get(STREAMING_KEY) and request.transport is not None:
            # The response headers were sent before the failure. Without an abort
            # the library would close the stream as if it were complete.
            request.transport.abort()
            raise
        return make_refusal_response(
            Refusal(reason=Reason.INTERNAL, effect=Effect.UNKNOWN), ""
        )


def convert_http_error(error: web.HTTPException) -> Refusal:
    """Return the refusal for an error of the HTTP library."""
    reason = REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
    return Refusal(reason=reason, detail=error.reason)
