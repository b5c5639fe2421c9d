"""Define the results that components return instead of raising an error.

A verdict is the decision of the fold, which applies the log's records to the state,
on one record: accepted or rejected.
"""

from dataclasses import dataclass
from enum import StrEnum

from trefoilstage.helpers.finding import Finding


class Reason(StrEnum):
    """List the reasons for a rejection or refusal."""

    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_DRAWN = "budget_drawn"  # no tokens are free, but not all drawn ones spent
    BUDGET_UNCONFIRMED = "budget_unconfirmed"
    POWER_EXHAUSTED = "power_exhausted"
    CRASHES_TARGETS = "crashes_targets"
    NO_TARGET = "no_target"
    STREAM_UNKNOWN = "stream_unknown"  # which version of a target began it
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LOG_UNAVAILABLE = "log_unavailable"
    TARGET_FAILED = "target_failed"
    SHUTTING_DOWN = "shutting_down"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REUSED = "key_reused"
    KEY_REQUIRED = "key_required"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNKNOWN_PATH = "unknown_path"
    INTERNAL = "internal"
    ANSWER_NOT_KEPT = "answer_not_kept"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    IN_PROGRESS = "in_progress"
    CANCELLED = "cancelled"
    NOT_READY = "not_ready"
    CONFLICT = "conflict"
    INVALID = "invalid"
    DUPLICATE = "duplicate"
    OUT_OF_ORDER = "out_of_order"  # an earlier record of the same writer is missing
    UNKNOWN_DRAW = "unknown_draw"
    UNKNOWN_ACCOUNT = "unknown_account"
    NOT_HOLDER = "not_holder"
    NOT_WITNESS = "not_witness"
    DRAW_SEALED = "draw_sealed"
    DRAW_CLOSED = "draw_closed"
    STALE_REVISION = "stale_revision"
    NOT_APPLICABLE = "not_applicable"


class Effect(StrEnum):
    """State what is known about whether a failed request was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Represent a request that was refused or failed, with the reason."""

    reason: Reason
    effect: Effect = Effect.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """Represent a record that the fold applied, with the amount granted."""

    amount: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejected:
    """Represent a record that the fold rejected, with the reason and findings."""

    reason: Reason
    detail: str = ""
    findings: tuple[Finding, ...] = ()


Verdict = Accepted | Rejected
ACCEPTED = Accepted()
