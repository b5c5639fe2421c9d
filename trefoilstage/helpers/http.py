"""Answer what no handler answered, typed and without a traceback."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Middleware

from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Reason

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
MakeError = Callable[[Reason, int], web.StreamResponse]

HTTP_INTERNAL = 500
REASON_BY_STATUS = {
    404: Reason.UNKNOWN_PATH,
    405: Reason.METHOD_NOT_ALLOWED,
    413: Reason.BODY_TOO_LARGE,
}


def make_error_middleware(make_error: MakeError) -> Middleware:
    """Return a middleware that turns errors into an interface's own answers."""

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
            return make_error(reason, error.status)
        except Exception as error:
            # A fault of ours. Its message and the path may quote what was sent,
            # so the log gets the error's type and place and the path's pattern.
            log_event(
                Event.HANDLER_FAILED,
                method=request.method,
                path=get_pattern(request),
                error=describe_error(error),
            )
            return make_error(Reason.INTERNAL, HTTP_INTERNAL)

    return answer_errors


def get_pattern(request: web.Request) -> str:
    """Return the pattern of a request's path, without its values."""
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else ""
