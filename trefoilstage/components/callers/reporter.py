"""Report how each request ended."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import make_refusal
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Refusal


@dataclass(kw_only=True, slots=True)
class Visit:
    """Hold one request's start, and its caller once that is known."""

    started: float = field(default_factory=time.monotonic)
    caller: Caller | None = None

    @property
    def request(self) -> str:
        """Return the request's id."""
        return self.caller.request if self.caller else ""

    @property
    def workspace(self) -> str:
        """Return the caller's workspace."""
        return self.caller.workspace if self.caller else ""


class RequestReporter:
    """Log how requests end; the metrics count the events."""

    def refuse(self, refusal: Refusal, visit: Visit) -> web.Response:
        """Report a refusal and return its HTTP answer."""
        self.note_refused(refusal, visit)
        return make_refusal(refusal, visit.request)

    def note_refused(self, refusal: Refusal, visit: Visit) -> None:
        """Report a refusal."""
        log_event(
            Event.REQUEST_REFUSED,
            request=visit.request,
            workspace=visit.workspace,
            reason=refusal.reason.value,
            effect=refusal.effect.value,
            duration_s=time.monotonic() - visit.started,
        )

    def note_done(self, visit: Visit, **fields: object) -> None:
        """Report a whole answer."""
        log_event(
            Event.REQUEST_DONE,
            request=visit.request,
            workspace=visit.workspace,
            duration_s=time.monotonic() - visit.started,
            **fields,
        )
