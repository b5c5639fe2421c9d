"""Represent the state of one request while it is forwarded; pure."""

from dataclasses import dataclass, field

from trefoilstage.components.connections.memory import (
    MemoryAccount,
    MemoryBudget,
    MemoryPart,
)
from trefoilstage.components.crashes.fingerprint import (
    fingerprint_request,
    identify_parts,
)
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    Route,
    TargetEntry,
    TargetService,
    Workspace,
)
from trefoilstage.components.forwarding.placement import CandidateInfo
from trefoilstage.components.forwarding.target_filter import (
    StreamVersion,
    TargetFilter,
)

# Events that a target may have sent before it noticed that the connection closed.
MAX_UNREAD_EVENTS = 3
MAX_URGENCY = 9  # the least urgent; 0 is the most urgent
# Of a request whose caller has no account.
DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024


def make_answer_memory() -> MemoryPart:
    """Return the memory of an answer whose caller has no account."""
    budget = MemoryBudget(max_bytes=DEFAULT_ANSWER_BYTES)
    return MemoryPart(account=MemoryAccount(budget=budget))


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamSource:
    """Describe the answer that brought a stream's first event."""

    target: TargetEntry
    connected_at: float  # when the connection to the target was opened


@dataclass(kw_only=True, slots=True)
class RequestState:
    """Track the progress of one request, over all targets that it is sent to."""

    request: CallerRequest
    body: bytes
    route: Route
    workspace: Workspace | None
    started_at: float
    deadline: float
    body_s: float = 0.0  # until its body arrived
    answer_memory: MemoryPart = field(default_factory=make_answer_memory)
    n_possible_runs: int = 0  # sends that a target may have run
    n_sends: int = 0
    excluded: set[str] = field(default_factory=set)  # incarnations not to try again
    # What peers reported about the targets that may get the prompt.
    candidate_info: CandidateInfo = field(default_factory=CandidateInfo)
    candidates_queried_at: float = 0.0
    last_event_id: int | None = None
    n_events: int = 0
    complete: bool = False
    held_at: float = 0.0
    caller_first_data_at: float = 0.0
    caller_last_data_at: float = 0.0
    longest_gap_s: float = 0.0
    waited_for_places_s: float = 0.0  # in the admission queue, over all attempts
    target: str = ""
    # Where the first event came from that the caller holds; None before one.
    stream_version: StreamVersion | None = None
    # The answer that brought the first event, if this request did.
    stream_source: StreamSource | None = None
    has_passed_events: bool = False  # to the caller
    is_proven_harmless: bool = False  # a target has been answering for a while
    service_name: str = ""
    service: TargetService | None = None
    fingerprint: str = field(init=False)  # the same for all retries
    parts: tuple[str, ...] = field(init=False)  # of the prompt that others may share
    # When the current target first and last sent data, 0 if it sent none.
    target_first_data_at: float = 0.0
    target_last_data_at: float = 0.0

    def __post_init__(self) -> None:
        request = self.request
        self.fingerprint = fingerprint_request(
            caller=self.workspace_name,
            method=request.method,
            host=request.host,
            path=request.raw_target,
            body=self.body,
        )
        self.parts = identify_parts(request.shared_parts)

    @property
    def workspace_name(self) -> str:
        """Return the name of the caller's workspace, empty on a public route."""
        return self.workspace.name if self.workspace else ""

    @property
    def urgency(self) -> int:
        """Return how urgent the request is, by its workspace or else its route."""
        priority = self.workspace.priority if self.workspace else None
        if priority is None:
            priority = self.route.priority
        return min(MAX_URGENCY, max(0, priority))

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions that route and workspace both allow, None if all are."""
        limits = [self.route.allowed_regions]
        if self.workspace:
            limits.append(self.workspace.allowed_regions)
        bound = [regions for regions in limits if regions]
        return frozenset.intersection(*bound) if bound else None

    @property
    def target_filter(self) -> TargetFilter:
        """Return which targets may get the request, or continue its stream."""
        return TargetFilter(
            service=self.service_name,
            allowed_regions=self.allowed_regions,
            version=self.stream_version.version if self.stream_version else None,
        )

    @property
    def tokens_per_event(self) -> int:
        """Return the highest number of tokens in one event."""
        engine = self.service.engine if self.service else None
        return engine.tokens_per_event if engine else 1

    @property
    def progress_s(self) -> float:
        """Return the seconds from the current target's first data to its last."""
        return self.target_last_data_at - self.target_first_data_at

    def record_send(self, target: str) -> None:
        """Record that the request is sent to a target, which may run it."""
        self.n_sends += 1
        self.n_possible_runs += 1
        self.target = target
        self.target_first_data_at = self.target_last_data_at = 0.0

    def record_target_data(self, now: float) -> None:
        """Record when the current target sent the head or a part of its answer."""
        self.target_first_data_at = self.target_first_data_at or now
        self.target_last_data_at = now

    @property
    def stream_ids(self) -> tuple[str, ...]:
        """Return the requests by which callers may name the stream."""
        return self.request.request_id, self.request.resumes

    def record_caller_data(self, now: float) -> None:
        """Record when data was passed on to the caller."""
        if not self.caller_first_data_at:
            self.caller_first_data_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.caller_last_data_at)
        self.caller_last_data_at = now

    def count_spent(self) -> int:
        """Return the tokens to bill, an upper bound of what the answer has used."""
        if self.n_possible_runs == 0:
            return 0
        unread = 0 if self.complete else MAX_UNREAD_EVENTS
        output = (self.n_events + unread) * self.tokens_per_event
        return self.request.n_prompt_tokens + min(
            self.request.max_output_tokens, output
        )
