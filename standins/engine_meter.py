"""Meter of an engine stand-in's executed requests and power."""

import time
from bisect import bisect_right
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class ExecutedRequest:
    """Describe what the engine executed for one request."""

    request: str
    workspace: str
    incarnation: str = ""
    priority: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    state: str = "running"
    text_digest: str = ""
    fencing: int = 0
    revision: int = 0
    started: float = 0.0
    first_token: float | None = None
    ended: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class PowerChange:
    """Describe the power as of a time.

    The time is on the machine's monotonic clock, which all processes share.
    """

    at: float
    watts: int
    running: int


@dataclass(kw_only=True, slots=True)
class EngineMeter:
    """Record all executed requests, in order of arrival, and the power over time."""

    idle_watts: int = 0
    watts_per_request: int = 0
    requests: list[ExecutedRequest] = field(default_factory=list)
    n_refused: int = 0
    tokens: int = 0
    running: int = 0
    max_running: int = 0
    watts: int = 0
    max_watts: int = 0
    timeline: list[PowerChange] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the timeline with the idle power."""
        self._record_power()

    def start(self, executed: ExecutedRequest) -> None:
        """Count an accepted request as running."""
        self.requests.append(executed)
        self.tokens += executed.prompt_tokens
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._record_power()

    def end(self, executed: ExecutedRequest) -> None:
        """Count a request as ended; call this before its end is reported."""
        executed.ended = time.time()
        self.running -= 1
        self._record_power()

    def count_running_at(self, moment: float) -> int:
        """Return the number of requests that were running at a past time."""
        position = bisect_right(self.timeline, moment, key=lambda change: change.at)
        return self.timeline[position - 1].running if position else 0

    def _record_power(self) -> None:
        self.watts = self.idle_watts + self.watts_per_request * self.running
        self.max_watts = max(self.max_watts, self.watts)
        change = PowerChange(
            at=time.monotonic(), watts=self.watts, running=self.running
        )
        self.timeline.append(change)
