"""Define the data models of the forwarding pipeline."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from pydantic import Field


class RouteKind(StrEnum):
    """Enumerate how requests on a route are retried and answered."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """Describe the share of a route's requests that a service receives."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Describe how requests with a host name and path prefix are forwarded."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float  # an answer that begins within it is in time
    priority: int  # 0 is the most urgent
    max_attempts: int
    public: bool
    resumable: bool
    gap_objective_s: float = 0.0  # longest pause between events that is in time
    silence_limit_s: float = 2.0  # callers give up after a longer time without data
    # Regions whose targets may get the requests; empty if all may.
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_retryable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """Describe the model engine that a service's targets run."""

    slots: int
    kv_tokens: int
    tokens_per_event: int
    # Both are 0 if unknown; then no target fetches KV cache from another.
    kv_bytes_per_token: float = 0.0
    transfer_bytes_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetService:
    """Describe a service whose targets receive requests."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    cold_s: float = 0.0  # how long its targets are cold after a start
    # Requests a second that a cold target tolerates; None if the limit is unknown.
    cold_requests_per_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Describe a workspace with its prepaid tokens, None if it isn't prepaid."""

    name: str
    priority: int | None
    prepaid_tokens: int | None
    # Regions whose targets may get the requests; empty if all may.
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Describe the limits on a request's body and on idle caller connections."""

    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfiguration:
    """Represent one accepted version of the operators' configuration."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: Mapping[str, TargetService] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    workspaces_by_key: Mapping[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


class TargetPhase(StrEnum):
    """Enumerate the phases of a registered target."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetEntry:
    """Describe one incarnation of a registered target."""

    name: str  # the target verifies it on each request
    service: str
    address: str
    data_center: str
    slots: int
    phase: TargetPhase
    version: str = ""  # of the target's software
    started_ms: int = 0  # Unix time of its start by its own clock, 0 if unknown
    sequence: int = field(default=0, compare=False)  # rises with each entry of a start
    # How long it is cold from when the entry was written. Each entry has another value,
    # which doesn't make it another entry.
    cold_s: float = field(default=0.0, compare=False)

    @property
    def has_reusable_name(self) -> bool:
        """Return whether the target may start again under its name.

        One that doesn't say when it started gets a new name at each start.
        """
        return self.started_ms != 0

    @property
    def incarnation(self) -> str:
        """Return an id that changes with each restart, while `name` stays the same.

        A restart clears a target's work, its cached prompts and its failures.
        """
        return f"{self.name}@{self.started_ms}"


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """Identify a part of a prompt that other requests may share."""

    name: str
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """Represent a caller's decoded request."""

    request_id: str
    method: str
    host: str
    path: str  # without the query
    raw_target: str  # path and query as sent
    key: str  # of the caller's workspace
    deadline_s: float | None
    n_prompt_tokens: int
    max_output_tokens: int
    prompt: tuple[PromptPart, ...]
    headers: tuple[tuple[str, str], ...]  # those passed on to the target
    # Id of the earlier request that brought the stream's first event; empty if none.
    resumes: str = ""
    last_event_id: str = ""  # of the stream to continue; empty for a new one
    # The caller's estimate of output tokens, None without one. Peers don't need it.
    length_hint: Annotated[int | None, Field(exclude=True)] = None

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller holds events of this stream already."""
        return bool(self.resumes or self.last_event_id)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that other requests may share.

        The last part of a prompt is specific to the request or its session.
        """
        return tuple(part.name for part in self.prompt[:-1])

    @property
    def max_tokens(self) -> int:
        """Return the highest number of tokens that the request can spend."""
        return self.n_prompt_tokens + self.max_output_tokens
