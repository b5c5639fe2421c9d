"""Decide whether a request waits for tokens or is refused immediately; pure.

Expected load: no host reaches the store for 7 to 9 s, and stocks cover part of that.
A refused caller retries once, within a third of its remaining time, and a caller that
receives no reply times out after 2 to 3 s. Only both together cover a whole outage: the
request first waits and is then refused with a time to retry. Callers that tolerate 6 s
without a reply and have 10 to 12 s in all outlast an outage only if they also wait
after the retry.
"""

from dataclasses import dataclass

# The longest wait, as a share of the caller's timeout. The first event takes 0.1 to
# 0.5 s more.
WAIT_SHARE = 0.7
# Outages of the store last 7 to 9 s. With a retry time of 3 s, most callers retried
# before the end of the outage and were refused again; each caller retries only once.
EXPECTED_OUTAGE_S = 8.5
# A second wait counts only on routes whose callers tolerate at least this silence, half
# of an outage. The others decide by the first wait and the retry alone.
MIN_SECOND_WAIT_SILENCE_S = EXPECTED_OUTAGE_S / 2
# A request that gets tokens in its second wait needs this long to its first event.
FIRST_EVENT_S = 0.5
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
    max_silence_s: float

    @classmethod
    def compute(
        cls, *, now: float, max_silence_s: float, deadline: float
    ) -> "WaitLimits":
        """Return the limits for a caller that waits `max_silence_s` for a reply."""
        wait_until = now + WAIT_SHARE * min(max_silence_s, deadline - now)
        return cls(
            wait_until=wait_until, deadline=deadline, max_silence_s=max_silence_s
        )

    @property
    def has_second_wait(self) -> bool:
        """Return whether the wait after the caller's retry counts."""
        return self.max_silence_s >= MIN_SECOND_WAIT_SILENCE_S

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
        if self.has_second_wait:
            is_outage_covered = self._covers_with_second_wait(now + store_return_s)
        else:
            retry_s = self.get_max_retry_s(now)
            is_outage_covered = retry_s < store_return_s <= left_s + retry_s
        return POLL_INTERVAL_S if is_outage_covered else None

    def _covers_with_second_wait(self, recovery_at: float) -> bool:
        """Return whether a wait, a retry and a second wait reach the store's recovery.

        A request that would get tokens too late to be served does not wait for them.
        """
        retry_at = self.wait_until + self.get_max_retry_s(self.wait_until)
        return (
            recovery_at <= self.get_second_wait_end(retry_at)
            and recovery_at + FIRST_EVENT_S <= self.deadline
        )

    def get_second_wait_end(self, retry_at: float) -> float:
        """Return when a caller that retries at a given time is refused again."""
        left_s = max(0.0, self.deadline - retry_at)
        return retry_at + WAIT_SHARE * min(self.max_silence_s, left_s)

    def get_earliest_retry_s(self, now: float, recovery_at: float) -> float:
        """Return the seconds after which a retry outlasts the outage, if any does."""
        # The end of the second wait rises with the retry at full rate while the silence
        # limits the wait, and at a rate of 1 - WAIT_SHARE once the deadline does.
        by_silence = recovery_at - WAIT_SHARE * self.max_silence_s
        by_deadline = (recovery_at - WAIT_SHARE * self.deadline) / (1 - WAIT_SHARE)
        return max(0.0, by_silence - now, by_deadline - now)

    def get_max_retry_s(self, now: float) -> float:
        """Return the seconds within which the caller retries after a refusal."""
        return RETRY_SHARE * max(0.0, self.deadline - now)
