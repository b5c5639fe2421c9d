"""Count open requests, and close connections while the host is draining."""

from aiohttp import web
from aiohttp.typedefs import Handler

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.callers.refusals import make_refusal_response
from trefoilstage.exceptions import StreamNotFollowedError
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.phase import Phase

NOT_READY_RETRY_AFTER_S = 1.0
HEALTH_PATH = "/health"


class RequestGate:
    """Count and check requests before the callers' server handles them."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self.n_open_requests = 0

    @web.middleware
    async def handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run a handler; close the connection afterwards if the host is draining."""
        if request.path == HEALTH_PATH:
            return await handler(request)
        self.n_open_requests += 1
        try:
            response = await self._run_handler(request, handler)
        finally:
            self.n_open_requests -= 1
        # A caller that kept its connection would send its next request to a host
        # that is about to stop, and lose the connection instead of being refused. The
        # caller of a stream that has begun can't be told: its next request is refused.
        if self._blackboard.phase is Phase.DRAINING and not response.prepared:
            response.force_close()
        return response

    async def _run_handler(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        # The configuration takes effect shortly before the host follows its
        # ledgers, and no account can be looked up without them.
        if not self._blackboard.follows_all_ledgers():
            return refuse_not_ready("the host is not following the ledgers yet")
        try:
            return await handler(request)
        except StreamNotFollowedError as error:
            return refuse_not_ready(str(error))


def refuse_not_ready(detail: str) -> web.Response:
    """Return the refusal for a request that arrived before the host was ready."""
    refusal = Refusal(
        reason=Reason.NOT_READY, detail=detail, retry_after_s=NOT_READY_RETRY_AFTER_S
    )
    return make_refusal_response(refusal, "")
