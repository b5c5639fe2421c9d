"""Judge whether the log is in reach and how long to wait for it; pure."""

from dataclasses import dataclass

SLOW_FACTOR = 3.0
MAX_TIMEOUT_S = 20.0


@dataclass(kw_only=True, slots=True)
class LogReach:
    """Remember whether the log answered last, and how fast.

    A log that answers slower than the timeout would otherwise never be heard:
    each call would be given up and sent again, adding to its load.
    """

    timeout_base_s: float
    up: bool = True
    timeout_s: float = 0.0

    def __post_init__(self) -> None:
        self.timeout_s = self.timeout_base_s

    def note_answer(self, duration_s: float) -> bool:
        """Take an answer; tell whether the log was out of reach before."""
        was_up = self.up
        self.up = True
        fitting = min(MAX_TIMEOUT_S, duration_s * SLOW_FACTOR)
        self.timeout_s = max(self.timeout_base_s, fitting)
        return not was_up

    def note_failure(self) -> bool:
        """Take a failure; tell whether the log was in reach before."""
        was_up = self.up
        self.up = False
        return was_up

    def lengthen_timeout(self) -> None:
        """Wait longer at the next probe."""
        self.timeout_s = min(MAX_TIMEOUT_S, self.timeout_s * 2)
