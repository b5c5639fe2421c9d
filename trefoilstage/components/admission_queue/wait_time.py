"""Compute how long a request may wait for a place; pure.

Answers callers that give up after their deadline, or after too long a silence.
"""

from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.request_state import RequestState

# The rest of the time is for the answer.
MAX_DEADLINE_SHARE = 0.5
# Callers give up a stream that stays silent for longer.
MAX_SILENCE_SHARE = 0.7


def compute_wait_s(state: RequestState, now: float) -> float:
    """Return the seconds that a request may wait from now on.

    Its attempts share one limit: a request that several targets turned away would
    otherwise be refused only after most of its caller's time.
    """
    total_s = MAX_DEADLINE_SHARE * (state.deadline - state.started_at)
    left_s = MAX_DEADLINE_SHARE * (state.deadline - now)
    wait_s = min(left_s, total_s - state.waited_for_places_s)
    if state.route.kind is RouteKind.STREAM:
        silent_s = now - (state.caller_last_data_at or state.started_at)
        limit_s = MAX_SILENCE_SHARE * state.route.silence_limit_s
        wait_s = min(wait_s, limit_s - silent_s)
    return max(0.0, wait_s)
