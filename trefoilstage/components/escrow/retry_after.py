"""Decide when a caller whose hold was refused should retry; pure."""

import random

from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.helpers.verdict import Reason, Refusal

# No tokens are left to draw. Only a higher balance or tokens returned by another host
# help, which takes longer than any caller waits, so that an earlier retry would fail.
BUDGET_DRAWN_RETRY_AFTER_S = 30.0
# Outages of the store last 7 to 9 s. With a retry time of 3 s, most callers retried
# before the end of the outage and were refused again; each caller retries only once.
EXPECTED_OUTAGE_S = 8.5
MIN_RETRY_AFTER_S = 1.0
# Without jitter, all callers refused during an outage would retry at the same time and
# queue: within a second, the median time to the first token rose to 1.4 s.
MAX_RETRY_JITTER_S = 3.0


def estimate_store_return(silent_s: float) -> float:
    """Return the seconds until the store is expected back.

    `silent_s` is the time since it last responded, 0 if it is in reach.
    """
    if silent_s == 0.0:
        return MIN_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, EXPECTED_OUTAGE_S - silent_s)


def add_retry_jitter(
    retry_after_s: float, wait_limits: WaitLimits, now: float, generator: random.Random
) -> float:
    """Add random jitter to a retry time, as far as the caller still retries."""
    max_jitter_s = max(0.0, wait_limits.get_max_retry_s(now) - retry_after_s)
    return retry_after_s + generator.uniform(0.0, min(MAX_RETRY_JITTER_S, max_jitter_s))


def make_refusal(reason: Reason, retry_after_s: float) -> Refusal:
    """Return the refusal of a hold; an exhausted budget has no time to retry."""
    if reason is Reason.BUDGET_EXHAUSTED:
        return Refusal(reason=reason)
    if reason is Reason.BUDGET_DRAWN:
        return Refusal(reason=reason, retry_after_s=BUDGET_DRAWN_RETRY_AFTER_S)
    return Refusal(reason=reason, retry_after_s=retry_after_s)
