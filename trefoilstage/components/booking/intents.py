"""Decide what the recorded intent of a call means for a retry."""

from enum import StrEnum

from trefoilstage.components.booking.client import RETRY_AFTER_SERVICE_S
from trefoilstage.components.booking.models import ServiceAnswer
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.ledger.records import Intent, Outcome
from trefoilstage.ledger.state import IntentState

MAX_OUTCOME_BYTES = 16_384
STATUS_UNKNOWN = 0
FIRST_REFUSAL_STATUS = 400
FIRST_FAILURE_STATUS = 500


class Standing(StrEnum):
    """Name how a key stands on the log."""

    FREE = "free"
    REUSED = "reused"
    RUNNING = "running"
    ORPHANED = "orphaned"
    ENDED = "ended"


def judge_intent(
    present: IntentState | None, intent: Intent, *, is_owner_live: bool
) -> Standing:
    """Return how a key stands for a call that wants it."""
    if present is None:
        return Standing.FREE
    if present.body_digest != intent.body_digest:
        return Standing.REUSED
    if present.status is not None:
        return Standing.ENDED
    return Standing.RUNNING if is_owner_live else Standing.ORPHANED


def answer_standing(
    standing: Standing, present: IntentState | None
) -> ServiceAnswer | Refusal:
    """Return what the caller of a key in use gets; it is never run again."""
    if standing is Standing.REUSED:
        return Refusal(
            reason=Reason.KEY_REUSED, detail="the key came with another call or body"
        )
    if standing is Standing.ENDED and present is not None:
        return replay_outcome(present)
    if standing is Standing.RUNNING:
        return Refusal(
            reason=Reason.IN_PROGRESS,
            effect=Effect.UNKNOWN,
            detail="a run with this key is on",
            retry_after_s=RETRY_AFTER_SERVICE_S,
        )
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        effect=Effect.UNKNOWN,
        detail="the host that began the run is lost; the call may have run",
        retry_after_s=RETRY_AFTER_SERVICE_S,
    )


def replay_outcome(present: IntentState) -> ServiceAnswer | Refusal:
    """Return the recorded outcome of a run."""
    if not present.known or present.status is None:
        return Refusal(
            reason=Reason.OUTCOME_UNKNOWN,
            effect=Effect.UNKNOWN,
            detail="the service gave no whole answer; the call may have run",
        )
    if not present.whole:
        return Refusal(
            reason=Reason.ANSWER_NOT_KEPT,
            effect=Effect.UNKNOWN,
            detail=f"the call ran and was answered with status {present.status}; "
            "its answer was too large to keep",
        )
    return ServiceAnswer(
        status=present.status, body=present.body, content_type=present.content_type
    )


def make_outcome(key: str, answer: ServiceAnswer | Refusal) -> Outcome:
    """Return the record of how a dispatched run ended."""
    if isinstance(answer, Refusal):
        return Outcome(key=key, status=STATUS_UNKNOWN, known=False)
    whole = len(answer.body) <= MAX_OUTCOME_BYTES
    return Outcome(
        key=key,
        status=answer.status,
        # A cut body replayed as an answer would be silently short.
        body=answer.body if whole else b"",
        content_type=answer.content_type[:100],
        whole=whole,
    )


def count_cost(answer: ServiceAnswer | Refusal, cost_tokens: int) -> int:
    """Return what a call costs: nothing when it surely took no effect."""
    if isinstance(answer, Refusal):
        return 0 if answer.effect is Effect.NOT_RUN else cost_tokens
    refused = FIRST_REFUSAL_STATUS <= answer.status < FIRST_FAILURE_STATUS
    return 0 if refused else cost_tokens
