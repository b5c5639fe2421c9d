"""Track whether the log is reachable and set the timeout of calls; without I/O."""

from dataclasses import dataclass

TIMEOUT_FACTOR = 3.0
MAX_TIMEOUT_S = 20.0


@dataclass(kw_only=True, slots=True)
class LogReachability:
    """Track whether the log replied to the last call, and how fast.

    The timeout grows with the log's response time. With a fixed timeout, every call to
    a slower log would be aborted and repeated, which adds to its load.
    """

    base_timeout_s: float
    is_up: bool = True
    timeout_s: float = 0.0

    def __post_init__(self) -> None:
        self.timeout_s = self.base_timeout_s

    def record_response(self, duration_s: float) -> bool:
        """Record a response; return whether the log was unreachable before."""
        was_up = self.is_up
        self.is_up = True
        scaled_timeout_s = min(MAX_TIMEOUT_S, duration_s * TIMEOUT_FACTOR)
        self.timeout_s = max(self.base_timeout_s, scaled_timeout_s)
        return not was_up

    def record_failure(self) -> bool:
        """Record a failure; return whether the log was reachable before."""
        was_up = self.is_up
        self.is_up = False
        return was_up

    def double_timeout(self) -> None:
        """Double the timeout for the next call that probes an unreachable log."""
        self.timeout_s = min(MAX_TIMEOUT_S, self.timeout_s * 2)
