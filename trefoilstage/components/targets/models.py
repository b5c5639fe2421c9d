"""Define requests to targets, and the targets' responses, validated on receipt."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from pydantic import BaseModel, Field

from trefoilstage.helpers.verdict import Refusal


class Usage(BaseModel):
    """Represent the tokens used by one request, as the target reports them."""

    prompt_tokens: int = Field(ge=0)
    completion_tokens: int = Field(ge=0)
    cached_tokens: int = Field(default=0, ge=0)

    @property
    def total(self) -> int:
        """Return the total number of tokens used."""
        return self.prompt_tokens + self.completion_tokens


class Delta(BaseModel):
    """Represent the new text in a chunk."""

    content: str = ""


class ChunkChoice(BaseModel):
    """Represent one choice in a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class ChunkBody(BaseModel):
    """Represent one chunk of a target's response stream."""

    id: str
    sequence: int = Field(ge=0)
    choices: list[ChunkChoice] = []
    usage: Usage | None = None


class RequestStatus(BaseModel):
    """Represent the status of a request at a target; final once `ended` is true."""

    state: str
    usage: Usage
    ended: bool = False


class FenceResponse(BaseModel):
    """Represent the response to a fence: whether it is enforced and what still runs."""

    checked: bool
    active: int = Field(ge=0)


class Role(StrEnum):
    """List the roles of a target."""

    SERVING = "serving"
    LEAVING = "leaving"


class HealthResponse(BaseModel):
    """Represent what a target reports about itself."""

    role: Role


class RoleResponse(BaseModel):
    """Represent a target's response to a change of its role."""

    checked: bool


class LoadReport(BaseModel):
    """Represent a target's load as it was `lag_s` seconds ago."""

    running: int = Field(ge=0)
    lag_s: float = Field(default=0.5, ge=0)


class CacheEvent(BaseModel):
    """Represent one event of a target's prefix cache."""

    kind: Literal["stored", "evicted"]
    block: str = Field(max_length=64)


class CacheEventsPage(BaseModel):
    """Represent a page of cache events, some of which may be missing."""

    next: int = Field(ge=0)
    events: list[CacheEvent]


@dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Represent one chunk of a response: its exact bytes and their content."""

    data: bytes
    text: str
    usage: Usage | None
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Describe a request that may run at the targets in `urls`, at any if empty."""

    request: str
    workspace: str
    model: str
    body: bytes
    contents: tuple[str, ...]
    n_prompt_chars: int
    n_output_tokens: int
    priority: int
    deadline_s: float
    urls: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class JobResult:
    """Describe where a job ran and how it ended; nothing ran if `target` is empty."""

    target: str = ""
    usage: Usage | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerationRequest:
    """Describe a request as it is sent to one target."""

    request: str
    workspace: str
    model: str
    body: bytes
    priority: int
    incarnation: str
    fencing: int
    revision: int
    timeout_s: float
