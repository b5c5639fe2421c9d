"""Decide when a caller whose hold was refused is told to come back; pure."""

import random

from trefoilstage.components.escrow.patience import Patience
from trefoilstage.helpers.verdict import Reason, Refusal

# Nothing is left to draw. Only a higher balance or the return of another host's
# tokens helps, which takes longer than any caller waits: coming back would be in vain.
SPENT_RETRY_AFTER_S = 30.0
# The store's outages last 7 to 9 s. Told to come back after 3 s, most callers came
# before its end and were refused a second time; each comes once only.
OUTAGE_S = 8.5
MIN_RETRY_AFTER_S = 1.0
# Callers that were refused at any time of an outage would come back in one moment, and
# then wait for each other: within a second, the median of first tokens rose to 1.4 s.
SPREAD_S = 3.0


def estimate_return(silent_s: float) -> float:
    """Return the seconds until tokens can probably be drawn, after a silence."""
    if silent_s == 0.0:
        return MIN_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, OUTAGE_S - silent_s)


def spread_return(
    return_s: float, patience: Patience, now: float, generator: random.Random
) -> float:
    """Return when one of many callers comes back, while it still can."""
    room_s = max(0.0, patience.get_comeback(now) - return_s)
    return return_s + generator.uniform(0.0, min(SPREAD_S, room_s))


def make_refusal(reason: Reason, retry_after_s: float) -> Refusal:
    """Return the refusal of a hold, with the time to come back."""
    if reason is Reason.BUDGET_EXHAUSTED:
        return Refusal(reason=reason)
    if reason is Reason.BUDGET_DRAWN:
        return Refusal(reason=reason, retry_after_s=SPENT_RETRY_AFTER_S)
    return Refusal(reason=reason, retry_after_s=retry_after_s)
