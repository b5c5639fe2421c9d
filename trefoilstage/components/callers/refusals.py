"""Convert refusals into HTTP responses with a JSON body."""

import math

from aiohttp import web

from trefoilstage.const import HEADER_REQUEST_ID, HEADER_RETRY_AFTER
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

DEFAULT_STATUS_BY_EFFECT = {Effect.NOT_RUN: 503, Effect.UNKNOWN: 502}
DEFAULT_RETRY_AFTER_S = 1.0
STATUS_BY_REASON = {
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 429,
    Reason.UNAUTHORIZED: 401,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.KEY_REQUIRED: 400,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.IN_PROGRESS: 409,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.UNKNOWN_PATH: 404,
    Reason.INTERNAL: 500,
    Reason.TARGET_FAILED: 502,
}
SHUTTING_DOWN_REFUSAL = Refusal(reason=Reason.SHUTTING_DOWN)
RETRYABLE_REASONS = frozenset(
    {
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.IN_PROGRESS,
        Reason.INTERNAL,
        Reason.NO_TARGET,
        Reason.OVERLOADED,
        Reason.SHUTTING_DOWN,
        Reason.TARGET_FAILED,
    }
)


def make_refusal_body(refusal: Refusal, request: str) -> dict[str, dict[str, object]]:
    """Return the JSON body of a refusal."""
    error: dict[str, object] = {
        "reason": refusal.reason.value,
        "effect": refusal.effect.value,
        "message": refusal.detail or refusal.reason.value.replace("_", " "),
        "request_id": request,
    }
    retry_after_s = get_retry_after_s(refusal)
    if retry_after_s is not None:
        error["retry_after_s"] = retry_after_s
    return {"error": error}


def get_retry_after_s(refusal: Refusal) -> float | None:
    """Return the seconds before a retry, None if the same request can't succeed."""
    if refusal.retry_after_s is None and refusal.reason in RETRYABLE_REASONS:
        return DEFAULT_RETRY_AFTER_S
    return refusal.retry_after_s


def make_refusal_response(refusal: Refusal, request: str) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers = {HEADER_REQUEST_ID: request}
    retry_after_s = get_retry_after_s(refusal)
    if retry_after_s is not None:
        headers[HEADER_RETRY_AFTER] = str(math.ceil(retry_after_s))
    return web.json_response(
        make_refusal_body(refusal, request),
        status=STATUS_BY_REASON.get(
            refusal.reason, DEFAULT_STATUS_BY_EFFECT[refusal.effect]
        ),
        headers=headers,
    )
