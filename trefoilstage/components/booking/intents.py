"""Decide how to answer a call when the log has an intent for its key.

An intent is the record that reserves an idempotency key before the call is sent; an
outcome is the record of how the call ended. Both are in the state folded from the log.
"""

from enum import StrEnum

from trefoilstage.components.booking.client import RETRY_AFTER_SERVICE_S
from trefoilstage.components.booking.models import ServiceResponse
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.ledger.records import Intent, Outcome
from trefoilstage.ledger.state import IntentState

MAX_OUTCOME_BYTES = 16_384
STATUS_UNKNOWN = 0
FIRST_CLIENT_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500


class IntentStatus(StrEnum):
    """List the states of an idempotency key on the log.

    A key is orphaned if the host that was running its call is lost.
    """

    FREE = "free"
    REUSED = "reused"
    RUNNING = "running"
    ORPHANED = "orphaned"
    ENDED = "ended"


def get_intent_status(
    recorded: IntentState | None, intent: Intent, *, is_owner_live: bool
) -> IntentStatus:
    """Return the state of a key for a call that is about to use it."""
    if recorded is None:
        return IntentStatus.FREE
    if recorded.body_digest != intent.body_digest:
        return IntentStatus.REUSED
    if recorded.status is not None:
        return IntentStatus.ENDED
    return IntentStatus.RUNNING if is_owner_live else IntentStatus.ORPHANED


def answer_repeated_call(
    status: IntentStatus, recorded: IntentState | None
) -> ServiceResponse | Refusal:
    """Return the answer for a key that is in use; the call is not run again."""
    if status is IntentStatus.REUSED:
        return Refusal(
            reason=Reason.KEY_REUSED,
            detail="the key was used before with a different call or body",
        )
    if status is IntentStatus.ENDED and recorded is not None:
        return replay_outcome(recorded)
    if status is IntentStatus.RUNNING:
        return Refusal(
            reason=Reason.IN_PROGRESS,
            effect=Effect.UNKNOWN,
            detail="a call with this key is still running",
            retry_after_s=RETRY_AFTER_SERVICE_S,
        )
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        effect=Effect.UNKNOWN,
        detail="the host that started the call is lost; the call may have run",
        retry_after_s=RETRY_AFTER_SERVICE_S,
    )


def replay_outcome(recorded: IntentState) -> ServiceResponse | Refusal:
    """Return the stored response of an earlier call, or a refusal without one."""
    if not recorded.known or recorded.status is None:
        return Refusal(
            reason=Reason.OUTCOME_UNKNOWN,
            effect=Effect.UNKNOWN,
            detail="the service sent no complete response; the call may have run",
        )
    if not recorded.whole:
        return Refusal(
            reason=Reason.ANSWER_NOT_KEPT,
            effect=Effect.UNKNOWN,
            detail="the call ran and the service responded with status "
            f"{recorded.status}; the response was too large to store",
        )
    return ServiceResponse(
        status=recorded.status, body=recorded.body, content_type=recorded.content_type
    )


def make_outcome(key: str, result: ServiceResponse | Refusal) -> Outcome:
    """Return the outcome record of a call that was sent."""
    if isinstance(result, Refusal):
        return Outcome(key=key, status=STATUS_UNKNOWN, known=False)
    is_whole = len(result.body) <= MAX_OUTCOME_BYTES
    return Outcome(
        key=key,
        status=result.status,
        # A caller could not distinguish a truncated body from a complete one.
        body=result.body if is_whole else b"",
        content_type=result.content_type[:100],
        whole=is_whole,
    )


def compute_cost_tokens(result: ServiceResponse | Refusal, cost_tokens: int) -> int:
    """Return the tokens a call costs, 0 if it is known to have had no effect."""
    if isinstance(result, Refusal):
        return 0 if result.effect is Effect.NOT_RUN else cost_tokens
    is_client_error = (
        FIRST_CLIENT_ERROR_STATUS <= result.status < FIRST_SERVER_ERROR_STATUS
    )
    return 0 if is_client_error else cost_tokens
