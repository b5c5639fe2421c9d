"""Define how requests that could not be served are refused."""

from dataclasses import replace

from trefoilstage.components.forwarding.answers import (
    InvalidAnswer,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

RETRY_AFTER_S = 0.5
# Callers read these statuses as a promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_TARGET = Refusal(reason=Reason.NO_TARGET, retry_after_s=RETRY_AFTER_S)
# Another host may hold it, but the request may not run again.
ANSWER_NOT_HELD = Refusal(
    reason=Reason.OVERLOADED,
    effect=Effect.UNKNOWN,
    detail="this host has no memory for the answer",
)
PATH_LOST = replace(NO_TARGET, detail="neither this host nor a peer reaches targets")
STREAM_UNKNOWN = Refusal(
    reason=Reason.STREAM_UNKNOWN,
    retry_after_s=RETRY_AFTER_S,
    detail="no host that was asked knows which version began the stream",
)
STREAM_MOVED = replace(
    NO_TARGET, detail="the route no longer leads to the service that began the stream"
)


def describe_failure(answer: SendOutcome, previous: Refusal) -> Refusal:
    """Return the refusal after a failed send, if it is not repeated."""
    if isinstance(answer, OpenAnswer):
        return make_failure("the answer broke off")
    if isinstance(answer, InvalidAnswer):
        return make_failure(answer.reason)
    return PATH_LOST if answer.path_lost and previous is NO_TARGET else previous


def make_failure(detail: str) -> Refusal:
    """Return the refusal for a request that a target may have run."""
    return Refusal(reason=Reason.TARGET_FAILED, effect=Effect.UNKNOWN, detail=detail)
