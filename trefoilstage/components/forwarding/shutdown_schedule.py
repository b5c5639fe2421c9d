"""Decide which requests a host still accepts while it shuts down; pure."""

from dataclasses import dataclass

# Nine of ten streams take at most 4 s; one of 4 s that is accepted after this time
# would be cut off.
MAX_ACCEPT_ALL_S = 3.0
# With a short grace time, the rest of it must still be enough for most requests.
ACCEPT_ALL_SHARE = 0.375
# Time reserved at the end of the grace time to return tokens and to stop.
MAX_RESERVE_S = 1.2
# The platform's rules allow a planned stop to cut off long requests in this last part
# of the grace time, not before.
RESERVE_SHARE = 1 / 6
# Of the reserve: what a late signal may take of it. The bound on how late a signal was
# handled is rough, and requests that end too early would be cut off without need.
MAX_LATE_SHARE = 0.4
# Of the reserve, but before it: to read what targets have sent of streams.
READ_AHEAD_SHARE = 0.2
# Of the reserve: between the exit of the host and SIGKILL, for the end of its process.
EXIT_SHARE = 0.2
# Of the reserve: to close the ports and connections.
STOP_SHARE = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class ShutdownSchedule:
    """Divide a host's grace time; times are the event loop's, in seconds."""

    started_at: float  # when the signal was handled
    grace_s: float
    # When the signal had not come yet; a stalled loop handles it late.
    signal_after: float | None = None

    @property
    def accepts_all_until(self) -> float:
        """Return until when all requests are accepted.

        The load balancer keeps sending requests for a few seconds.
        """
        return self.started_at + min(MAX_ACCEPT_ALL_S, ACCEPT_ALL_SHARE * self.grace_s)

    @property
    def reserve_s(self) -> float:
        """Return the time between the end of the last request and that of the host."""
        return min(MAX_RESERVE_S, RESERVE_SHARE * self.grace_s)

    @property
    def requests_end_at(self) -> float:
        """Return when the requests in progress are ended."""
        return self.started_at + self.grace_s - self.reserve_s

    @property
    def read_ahead_at(self) -> float:
        """Return when streams no longer wait until their callers have read."""
        return self.requests_end_at - READ_AHEAD_SHARE * self.reserve_s

    @property
    def leave_until(self) -> float:
        """Return until when tokens are returned and callers may read their answers."""
        return self.exit_at - STOP_SHARE * self.reserve_s

    @property
    def exit_at(self) -> float:
        """Return when the host must have stopped, whatever remains unread or unsent."""
        return self._killed_at - EXIT_SHARE * self.reserve_s

    @property
    def _killed_at(self) -> float:
        """Return when SIGKILL is expected at the earliest."""
        late_s = min(self._late_s, MAX_LATE_SHARE * self.reserve_s)
        return self.started_at - late_s + self.grace_s

    @property
    def _late_s(self) -> float:
        """Return how long the signal had to wait at most until it was handled."""
        if self.signal_after is None:
            return 0.0
        return self.started_at - self.signal_after

    def accepts(self, *, is_stream: bool, deadline: float, now: float) -> bool:
        """Return whether to accept a request that must be answered by `deadline`.

        A stream that begins late would keep the host from being replaced. The time for
        all requests is counted from the signal, as they may be cut off at the end, but
        those that are sent later may not.
        """
        if now + self._late_s < self.accepts_all_until:
            return True
        return not is_stream and self.is_sure_to_end(deadline)

    def is_sure_to_end(self, deadline: float) -> bool:
        """Return whether a request is answered or expires before requests are ended.

        Typical durations are no guide: a target may slow down at any time, and a call
        that may run only once can't be repeated after it was cut off.
        """
        return deadline <= self.requests_end_at
