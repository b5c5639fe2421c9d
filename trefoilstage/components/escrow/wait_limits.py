"""Decide whether a request waits for tokens or is refused immediately; pure.

Expected load: no host reaches the store for 7 to 9 s, and stocks cover part of that.
A refused caller retries once, within a third of its remaining time, and a caller that
receives no reply times out after 2 to 3 s. Only both together cover a whole outage: the
request first waits and is then refused with a time to retry.
"""

from dataclasses import dataclass

# The longest wait, as a share of the caller's timeout. The first event takes 0.1 to
# 0.5 s more.
WAIT_SHARE = 0.7
# Callers retry within this share of their remaining time.
RETRY_SHARE = 1 / 3
# Added to the wait for a lock, so that the next attempt finds it open.
LOCK_MARGIN_S = 0.02
# The interval between attempts in an outage whose end is not known.
POLL_INTERVAL_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitLimits:
    """Describe how long a request may wait for tokens, and its deadline."""

    wait_until: float
    deadline: float

    @classmethod
    def compute(
        cls, *, now: float, max_silence_s: float, deadline: float
    ) -> "WaitLimits":
        """Return the limits for a caller that waits `max_silence_s` for a reply."""
        wait_until = now + WAIT_SHARE * min(max_silence_s, deadline - now)
        return cls(wait_until=wait_until, deadline=deadline)

    def plan_wait(
        self, now: float, *, lock_wait_s: float, store_return_s: float
    ) -> float | None:
        """Return the seconds until the next attempt, None to refuse now.

        The home may use its locked tokens in `lock_wait_s`; the store is expected
        to be back in `store_return_s`.
        """
        left_s = self.wait_until - now
        if 0.0 < lock_wait_s <= left_s - LOCK_MARGIN_S:
            return lock_wait_s + LOCK_MARGIN_S
        if left_s < POLL_INTERVAL_S:
            return None
        if store_return_s <= left_s:
            return POLL_INTERVAL_S
        retry_s = self.get_max_retry_s(now)
        is_outage_covered = retry_s < store_return_s <= left_s + retry_s
        return POLL_INTERVAL_S if is_outage_covered else None

    def get_max_retry_s(self, now: float) -> float:
        """Return the seconds within which the caller retries after a refusal."""
        return RETRY_SHARE * max(0.0, self.deadline - now)
