"""Report how each request ended, in log and metrics."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from trefoilstage.components.callers.models import Caller
from trefoilstage.components.callers.refusals import make_refusal
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.metrics import Metrics
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
    """Count, time and log requests."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics

    def refuse(self, refusal: Refusal, visit: Visit) -> web.Response:
        """Report a refusal and return its HTTP answer."""
        self.note_refused(refusal, visit)
        return make_refusal(refusal, visit.request)

    def note_refused(self, refusal: Refusal, visit: Visit) -> None:
        """Report a refusal."""
        self._metrics.count(f"refused.{refusal.reason.value}")
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
        duration_s = time.monotonic() - visit.started
        self._metrics.count("done")
        self._metrics.time("duration", duration_s)
        log_event(
            Event.REQUEST_DONE,
            request=visit.request,
            workspace=visit.workspace,
            duration_s=duration_s,
            **fields,
        )
