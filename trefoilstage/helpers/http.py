"""Return typed error responses for requests that no handler answered."""

import math
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Middleware

from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Reason

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MakeErrorResponse = Callable[[Reason, int], web.StreamResponse]

HTTP_INTERNAL_ERROR = 500
REASON_BY_STATUS = {
    404: Reason.UNKNOWN_PATH,
    405: Reason.METHOD_NOT_ALLOWED,
    413: Reason.BODY_TOO_LARGE,
}


def make_error_middleware(make_error_response: MakeErrorResponse) -> Middleware:
    """Return a middleware that converts exceptions to error responses."""

    @web.middleware
    async def answer_errors(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            if error.content_type == "application/json":
                raise
            reason = REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
            return make_error_response(reason, error.status)
        except Exception as error:
            # Unexpected error. Its message and the path may quote the request, so
            # only its type and location and the route's pattern are logged.
            log_event(
                Event.HANDLER_FAILED,
                method=request.method,
                path=get_route_pattern(request),
                error=describe_error(error),
            )
            return make_error_response(Reason.INTERNAL, HTTP_INTERNAL_ERROR)

    return answer_errors


def parse_amount(text: str) -> float | None:
    """Return the decimal number in a header, None if it is malformed or below 0."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0.0 else None


def get_route_pattern(request: web.Request) -> str:
    """Return the path pattern of a request's route, "" if none matched."""
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else ""
