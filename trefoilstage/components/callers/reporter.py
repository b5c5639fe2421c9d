"""Log how each request ended."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import make_refusal_response
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Refusal


@dataclass(kw_only=True, slots=True)
class RequestContext:
    """Describe a request by its start time, and its caller once identified."""

    started_at: float = field(default_factory=time.monotonic)
    caller: Caller | None = None

    @property
    def request(self) -> str:
        """Return the request's ID, "" before the caller is identified."""
        return self.caller.request if self.caller else ""

    @property
    def workspace(self) -> str:
        """Return the workspace's name, "" before the caller is identified."""
        return self.caller.workspace if self.caller else ""


class RequestReporter:
    """Log how requests end; the metrics count these log events."""

    def refuse(self, refusal: Refusal, context: RequestContext) -> web.Response:
        """Log a refusal and return its HTTP response."""
        self.report_refused(refusal, context)
        return make_refusal_response(refusal, context.request)

    def report_refused(self, refusal: Refusal, context: RequestContext) -> None:
        """Log a refusal."""
        log_event(
            Event.REQUEST_REFUSED,
            request=context.request,
            workspace=context.workspace,
            reason=refusal.reason.value,
            effect=refusal.effect.value,
            duration_s=time.monotonic() - context.started_at,
        )

    def report_completed(self, context: RequestContext, **fields: object) -> None:
        """Log a complete answer."""
        log_event(
            Event.REQUEST_DONE,
            request=context.request,
            workspace=context.workspace,
            duration_s=time.monotonic() - context.started_at,
            **fields,
        )
