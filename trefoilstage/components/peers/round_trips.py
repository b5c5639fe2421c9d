"""Estimate how long this host's messages wait on its own link; pure."""

from collections import deque
from dataclasses import dataclass, field

# The fastest of the last calls tells of this host's link; a slower one may have waited
# at the peer or on the way.
N_CALLS = 8
MIN_CALLS = 4
# Idle hosts of a large fleet make four calls a second.
MAX_AGE_S = 2.0
# A call that was given up earlier may have been given up by choice.
MIN_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundTrip:
    """Hold how long a call took, or how long it was waited for in vain."""

    seconds: float
    at: float
    answered: bool


@dataclass(kw_only=True, slots=True)
class RoundTrips:
    """Hold the last calls to any peers.

    Calls that nobody answers count as well: left out, a link on which every call takes
    too long would look like one of which nothing is known.
    """

    calls: deque[RoundTrip] = field(default_factory=lambda: deque(maxlen=N_CALLS))

    def note_answer(self, seconds: float, now: float) -> None:
        """Count a call that was answered."""
        self.calls.append(RoundTrip(seconds=seconds, at=now, answered=True))

    def note_timeout(self, seconds: float, now: float) -> None:
        """Count a call that was not answered in some time."""
        if seconds >= MIN_TIMEOUT_S:
            self.calls.append(RoundTrip(seconds=seconds, at=now, answered=False))

    def estimate(self, now: float) -> float:
        """Return the seconds that a call takes at least, 0 if that is not known."""
        recent = [call.seconds for call in self.calls if now - call.at <= MAX_AGE_S]
        return min(recent) if len(recent) >= MIN_CALLS else 0.0

    def estimate_answer(self, now: float) -> float:
        """Return the seconds until an answer comes, 0 if none came of late."""
        recent = [
            call.seconds
            for call in self.calls
            if call.answered and now - call.at <= MAX_AGE_S
        ]
        return min(recent, default=0.0)
