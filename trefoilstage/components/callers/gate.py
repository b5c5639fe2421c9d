"""Count open requests and tell callers of a leaving host to go elsewhere."""

from aiohttp import web
from aiohttp.typedefs import Handler

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.callers.refusals import make_refusal
from trefoilstage.exceptions import StreamNotFollowedError
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.phase import Phase

NOT_READY_RETRY_S = 1.0
HEALTH_PATH = "/health"


class RequestGate:
    """Stand before every handler of the callers' server."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self.n_open = 0

    @web.middleware
    async def handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run a handler and close the connection while the host is leaving."""
        if request.path == HEALTH_PATH:
            return await handler(request)
        self.n_open += 1
        try:
            response = await self._answer(request, handler)
        finally:
            self.n_open -= 1
        # A caller that kept its connection would send its next request to a
        # host that is about to end, and see it cut instead of refused.
        if self._blackboard.phase is Phase.DRAINING:
            response.force_close()
        return response

    async def _answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        # The configuration is in force a moment before its ledgers are followed,
        # and without them no account can be looked up.
        if not self._blackboard.has_ledgers():
            return refuse_not_ready("the ledgers are not followed yet")
        try:
            return await handler(request)
        except StreamNotFollowedError as error:
            return refuse_not_ready(str(error))


def refuse_not_ready(detail: str) -> web.Response:
    """Return the refusal of a request that came too early."""
    refusal = Refusal(
        reason=Reason.NOT_READY, detail=detail, retry_after_s=NOT_READY_RETRY_S
    )
    return make_refusal(refusal, "")
