"""Know when an event loop last ran, to bound when a signal came; no I/O."""

from collections import deque

# Each turn costs a wakeup; a signal is taken to have come up to two intervals earlier.
TURN_INTERVAL_S = 0.1


class LoopTurns:
    """Remember the last turns of an event loop.

    A loop that resumes after a stall may turn once more before it handles a signal
    that came during the stall.
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=2)

    def record(self, now: float) -> None:
        """Record that the loop runs."""
        self._times.append(now)

    def get_time_before_signal(self, now: float) -> float:
        """Return a time at which a signal that is handled now had not come yet."""
        return self._times[0] if self._times else now
