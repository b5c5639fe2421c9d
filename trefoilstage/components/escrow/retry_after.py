"""Decide when a caller whose hold was refused should retry; pure."""

import random

from trefoilstage.components.escrow.wait_limits import (
    EXPECTED_OUTAGE_S,
    WaitLimits,
)
from trefoilstage.helpers.verdict import Reason, Refusal

# No tokens are left to draw. Only a higher balance or tokens returned by another host
# help, which takes longer than any caller waits, so that an earlier retry would fail.
BUDGET_DRAWN_RETRY_AFTER_S = 30.0
# Running requests hold enough tokens for the request. They end within seconds and
# usually spend less than they hold, because a hold covers the longest answer.
BUDGET_HELD_RETRY_AFTER_S = 2.0
MIN_RETRY_AFTER_S = 1.0
# Without jitter, all callers refused during an outage would retry at the same time and
# queue: within a second, the median time to the first token rose to 1.4 s.
MAX_RETRY_JITTER_S = 3.0
# The later a caller retries, the longer an outage its second wait covers. Jitter takes
# this share of what is left, the rest is for an outage longer than expected.
SECOND_WAIT_JITTER_SHARE = 0.5


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


def choose_retry_in_outage(
    store_return_s: float,
    wait_limits: WaitLimits,
    now: float,
    generator: random.Random,
) -> float:
    """Return when a caller should retry whose hold is refused for want of the store.

    If the caller cannot retry after the store's recovery, but a second wait reaches it,
    the retry is as late as the caller allows, less jitter that the wait makes up for.
    """
    latest_s = wait_limits.get_max_retry_s(now)
    earliest_s = wait_limits.get_earliest_retry_s(now, now + store_return_s)
    needs_second_wait = wait_limits.has_second_wait and latest_s < store_return_s
    if not needs_second_wait or earliest_s > latest_s:
        return add_retry_jitter(store_return_s, wait_limits, now, generator)
    max_jitter_s = SECOND_WAIT_JITTER_SHARE * (latest_s - earliest_s)
    return latest_s - generator.uniform(0.0, min(MAX_RETRY_JITTER_S, max_jitter_s))


def make_refusal(
    reason: Reason, retry_after_s: float, *, is_held: bool = False
) -> Refusal:
    """Return the refusal of a hold; an exhausted budget has no time to retry.

    `is_held` says whether running requests hold enough tokens for the request.
    """
    if reason is Reason.BUDGET_EXHAUSTED:
        return Refusal(reason=reason)
    if reason is Reason.BUDGET_DRAWN and not is_held:
        return Refusal(reason=reason, retry_after_s=BUDGET_DRAWN_RETRY_AFTER_S)
    return Refusal(reason=reason, retry_after_s=retry_after_s)
