"""Estimate how long this host's messages wait on its own network link; without I/O."""

from collections import deque
from dataclasses import dataclass, field

# The fastest of the last calls shows the delay on this host's link; slower calls may
# have been delayed at the peer or elsewhere in the network.
N_CALLS = 8
MIN_CALLS = 4
# Idle hosts of a large fleet make four calls a second, enough for MIN_CALLS.
MAX_AGE_S = 2.0
# A shorter timeout may have been chosen by the caller and says nothing about the link.
MIN_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundTrip:
    """Describe the duration of a call, or its timeout if there was no reply."""

    seconds: float
    at: float
    answered: bool


@dataclass(kw_only=True, slots=True)
class RoundTrips:
    """Record the last calls to all peers.

    Calls that timed out count as well. Otherwise nothing would be known about a link on
    which every call takes too long.
    """

    calls: deque[RoundTrip] = field(default_factory=lambda: deque(maxlen=N_CALLS))

    def record_reply(self, seconds: float, now: float) -> None:
        """Record a call that got a reply after a number of seconds."""
        self.calls.append(RoundTrip(seconds=seconds, at=now, answered=True))

    def record_timeout(self, seconds: float, now: float) -> None:
        """Record a call that got no reply within a number of seconds."""
        if seconds >= MIN_TIMEOUT_S:
            self.calls.append(RoundTrip(seconds=seconds, at=now, answered=False))

    def estimate_call_s(self, now: float) -> float:
        """Return the seconds of the fastest recent call, 0 if too few are known.

        Calls that timed out count with their timeout.
        """
        recent = [call.seconds for call in self.calls if now - call.at <= MAX_AGE_S]
        return min(recent) if len(recent) >= MIN_CALLS else 0.0

    def estimate_reply_s(self, now: float) -> float:
        """Return the seconds of the fastest recent call with a reply, 0 without any."""
        recent = [
            call.seconds
            for call in self.calls
            if call.answered and now - call.at <= MAX_AGE_S
        ]
        return min(recent, default=0.0)
