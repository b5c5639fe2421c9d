"""Meter what an engine stand-in executes and the power that it draws."""

import time
from bisect import bisect_right
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class ExecutedRequest:
    """Hold what the engine really did for one request."""

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
    """Hold the draw from a moment on; the monotonic clock is the machine's."""

    at: float
    watts: int
    running: int


@dataclass(kw_only=True, slots=True)
class EngineMeter:
    """Hold everything executed, by order of arrival, and the power drawn."""

    idle_watts: int = 0
    watts_per_request: int = 0
    requests: list[ExecutedRequest] = field(default_factory=list)
    tokens: int = 0
    running: int = 0
    max_running: int = 0
    watts: int = 0
    max_watts: int = 0
    timeline: list[PowerChange] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the time line with the idle draw."""
        self._note_power()

    def start(self, done: ExecutedRequest) -> None:
        """Count a request from its acceptance on."""
        self.requests.append(done)
        self.tokens += done.prompt_tokens
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._note_power()

    def end(self, done: ExecutedRequest) -> None:
        """Count a request no longer; call it before the end is told to anyone."""
        done.ended = time.time()
        self.running -= 1
        self._note_power()

    def count_running_at(self, moment: float) -> int:
        """Return the running requests at a past moment."""
        place = bisect_right(self.timeline, moment, key=lambda change: change.at)
        return self.timeline[place - 1].running if place else 0

    def _note_power(self) -> None:
        self.watts = self.idle_watts + self.watts_per_request * self.running
        self.max_watts = max(self.max_watts, self.watts)
        change = PowerChange(
            at=time.monotonic(), watts=self.watts, running=self.running
        )
        self.timeline.append(change)
