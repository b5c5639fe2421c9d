"""Decide whether a request waits for tokens or is refused at once; pure.

Load: all hosts are cut from the store for 7 to 9 s, and stocks cover a part of that.
A caller that is refused comes back once, within a third of the time it has left, and a
caller that hears nothing gives up after 2 to 3 s. Only both together reach over a whole
outage: the request waits first, and is then told to come back.
"""

from dataclasses import dataclass

# Of the time after which the caller gives up. The first event takes 0.1 to 0.5 s more.
PATIENCE_SHARE = 0.7
# Callers come back within this share of the time that they have left.
COMEBACK_SHARE = 1 / 3
# A lock opens at its moment, so one more question finds it open.
LOCK_MARGIN_S = 0.02
# How often the home is asked anew in an outage whose end nobody knows.
POLL_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class Patience:
    """Hold until when a request may wait for tokens, and when its caller leaves."""

    wait_until: float
    deadline: float

    @classmethod
    def start(cls, *, now: float, silence_s: float, deadline: float) -> "Patience":
        """Return the patience of a request whose caller bears some silence."""
        wait_until = now + PATIENCE_SHARE * min(silence_s, deadline - now)
        return cls(wait_until=wait_until, deadline=deadline)

    def plan_wait(
        self, now: float, *, lock_wait_s: float, return_s: float
    ) -> float | None:
        """Return the seconds until the home is asked again, None to refuse now.

        `lock_wait_s` is left until the home may use its locked tokens, `return_s`
        until the store is probably back.
        """
        left_s = self.wait_until - now
        if 0.0 < lock_wait_s <= left_s - LOCK_MARGIN_S:
            return lock_wait_s + LOCK_MARGIN_S
        if left_s < POLL_S:
            return None
        if return_s <= left_s:
            return POLL_S
        comeback_s = self.get_comeback(now)
        reaches_by_both = comeback_s < return_s <= left_s + comeback_s
        return POLL_S if reaches_by_both else None

    def get_comeback(self, now: float) -> float:
        """Return the latest that the caller comes back after a refusal."""
        return COMEBACK_SHARE * max(0.0, self.deadline - now)
