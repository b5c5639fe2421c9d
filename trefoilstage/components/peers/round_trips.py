"""Estimate how long this host's messages wait on its own link; pure."""

from collections import deque
from dataclasses import dataclass, field

# The fastest of the last calls tells of this host's link; a slower one may have waited
# at the peer or on the way.
N_CALLS = 8
MIN_CALLS = 4
# Idle hosts of a large fleet make four calls a second.
MAX_AGE_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundTrip:
    """Hold how long a call took until it was answered."""

    seconds: float
    at: float


@dataclass(kw_only=True, slots=True)
class RoundTrips:
    """Hold the last calls that any peer answered.

    Calls without an answer say nothing of the link: their peers may be gone or cut off.
    """

    calls: deque[RoundTrip] = field(default_factory=lambda: deque(maxlen=N_CALLS))

    def note_answer(self, seconds: float, now: float) -> None:
        """Count a call that was answered."""
        self.calls.append(RoundTrip(seconds=seconds, at=now))

    def estimate(self, now: float) -> float:
        """Return the seconds that a call takes at least, 0 if that is not known."""
        recent = [call.seconds for call in self.calls if now - call.at <= MAX_AGE_S]
        return min(recent) if len(recent) >= MIN_CALLS else 0.0
