"""Create the HTTP responses for requests that are refused."""

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from trefoilstage.components.forwarding.models import CallerRequest
from trefoilstage.components.forwarding.translator import RequestTranslator
from trefoilstage.const import HEADER_RETRY_AFTER
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

# Used only if it is certain that the request did not run on a target.
STATUSES: Mapping[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.UNKNOWN_PATH: 404,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BUDGET_DRAWN: 429,
    Reason.BUDGET_UNCONFIRMED: 429,
    Reason.CRASHES_TARGETS: 503,
    Reason.OVERLOADED: 503,
    Reason.NO_TARGET: 503,
    Reason.STREAM_UNKNOWN: 503,
    Reason.NOT_READY: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.DEADLINE: 503,
}
STATUS_UNKNOWN_EFFECT = 502
STATUS_TIMEOUT_UNKNOWN_EFFECT = 504


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalMaker:
    """Create responses that state why a request is refused."""

    translator: RequestTranslator

    def make(
        self, refusal: Refusal, request: CallerRequest | None, *, close: bool = False
    ) -> web.Response:
        """Return the response for a refusal."""
        response = web.json_response(
            {
                "reason": refusal.reason.value,
                "effect": refusal.effect.value,
                "detail": refusal.detail,
            },
            status=get_status(refusal),
        )
        for name, value in self.translator.write_refusal(request):
            response.headers[name] = value
        if refusal.retry_after_s is not None and refusal.effect is Effect.NOT_RUN:
            response.headers[HEADER_RETRY_AFTER] = f"{refusal.retry_after_s:.2f}"
        if close:
            response.force_close()
        return response


def get_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    if refusal.effect is Effect.NOT_RUN:
        return STATUSES.get(refusal.reason, 503)
    if refusal.reason is Reason.DEADLINE:
        return STATUS_TIMEOUT_UNKNOWN_EFFECT
    return STATUS_UNKNOWN_EFFECT
