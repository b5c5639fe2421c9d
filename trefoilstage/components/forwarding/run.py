"""Hold what became of one request so far; pure."""

from dataclasses import dataclass, field

from trefoilstage.components.crashes.fingerprint import fingerprint_request
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    Route,
    ServiceConfig,
    Workspace,
)
from trefoilstage.components.forwarding.placement import Survey

# What a target may have made and sent before it learned that nobody reads.
UNREAD_EVENTS = 3


@dataclass(kw_only=True, slots=True)
class Run:
    """Hold what became of one request so far."""

    request: CallerRequest
    body: bytes
    route: Route
    workspace: Workspace | None
    started: float
    deadline: float
    body_s: float = 0.0  # until its body had arrived
    n_runs: int = 0  # targets that may have run it
    n_sends: int = 0
    excluded: set[str] = field(default_factory=set)  # incarnations that were tried
    survey: Survey = field(default_factory=Survey)  # of targets for its prompt
    surveyed_at: float = 0.0
    last_event: int | None = None
    n_events: int = 0
    complete: bool = False
    held_at: float = 0.0
    first_at: float = 0.0
    last_at: float = 0.0
    longest_gap_s: float = 0.0
    target: str = ""
    service_name: str = ""
    service: ServiceConfig | None = None
    fingerprint: str = field(init=False)  # the same for all its repeats
    # When the present target sent data first and last, 0 if it sent none.
    target_first_at: float = 0.0
    target_last_at: float = 0.0

    def __post_init__(self) -> None:
        request = self.request
        self.fingerprint = fingerprint_request(
            caller=self.workspace_name,
            method=request.method,
            host=request.host,
            path=request.raw_target,
            body=self.body,
        )

    @property
    def workspace_name(self) -> str:
        """Return the workspace that asks, empty on a public route."""
        return self.workspace.name if self.workspace else ""

    @property
    def tokens_per_event(self) -> int:
        """Return the most tokens that one event holds."""
        engine = self.service.engine if self.service else None
        return engine.tokens_per_event if engine else 1

    @property
    def progress_s(self) -> float:
        """Return how long the present target has been sending data."""
        return self.target_last_at - self.target_first_at

    def note_sent(self, target: str) -> None:
        """Count that the request goes to a target, which may run it."""
        self.n_sends += 1
        self.n_runs += 1
        self.target = target
        self.target_first_at = self.target_last_at = 0.0

    def note_target_data(self, now: float) -> None:
        """Count when the present target sent the head or a part of its answer."""
        self.target_first_at = self.target_first_at or now
        self.target_last_at = now

    def note_data(self, now: float) -> None:
        """Count when data went on to the caller."""
        if not self.first_at:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now

    def count_spent(self) -> int:
        """Return the tokens that the workspace is billed at most."""
        if self.n_runs == 0:
            return 0
        unread = 0 if self.complete else UNREAD_EVENTS
        output = (self.n_events + unread) * self.tokens_per_event
        return self.request.n_prompt_tokens + min(
            self.request.max_output_tokens, output
        )
