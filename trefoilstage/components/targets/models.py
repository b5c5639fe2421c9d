"""Define what targets send, validated at the border."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Literal

from pydantic import BaseModel, Field

from trefoilstage.helpers.verdict import Refusal


class Usage(BaseModel):
    """Count the tokens of one request, as the target reports them."""

    prompt_tokens: int = Field(ge=0)
    completion_tokens: int = Field(ge=0)
    cached_tokens: int = Field(default=0, ge=0)

    @property
    def total(self) -> int:
        """Return all tokens of the request."""
        return self.prompt_tokens + self.completion_tokens


class Delta(BaseModel):
    """Hold the new text of a chunk."""

    content: str = ""


class Choice(BaseModel):
    """Hold one choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class ChunkBody(BaseModel):
    """Check one chunk of a target's stream."""

    id: str
    sequence: int = Field(ge=0)
    choices: list[Choice] = []
    usage: Usage | None = None


class RequestAnswer(BaseModel):
    """Check what a target says of one request; `ended` is final."""

    state: str
    usage: Usage
    ended: bool = False


class FenceAnswer(BaseModel):
    """Check a target's answer to a fence: whether it holds, and who still runs."""

    checked: bool
    active: int = Field(ge=0)


class Role(StrEnum):
    """Name what a target does."""

    SERVING = "serving"
    LEAVING = "leaving"


class HealthAnswer(BaseModel):
    """Check what a target says of itself."""

    role: Role


class RoleAnswer(BaseModel):
    """Check a target's answer to an order to change its role."""

    checked: bool


class LoadAnswer(BaseModel):
    """Check a target's report of its load, as it was some time ago."""

    running: int = Field(ge=0)
    lag_s: float = Field(default=0.5, ge=0)


class CacheEvent(BaseModel):
    """Check one event of a target's prefix cache."""

    kind: Literal["stored", "evicted"]
    block: str = Field(max_length=64)


class CacheEventsAnswer(BaseModel):
    """Check a page of cache events; some may be missing."""

    next: int = Field(ge=0)
    events: list[CacheEvent]


@dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Hold one chunk of an answer: its exact bytes and what they mean."""

    data: bytes
    text: str
    usage: Usage | None
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Describe a request; it may go to the given addresses, to any if none."""

    request: str
    workspace: str
    model: str
    body: bytes
    contents: tuple[str, ...]
    n_prompt: int
    n_output: int
    priority: int
    deadline_s: float
    urls: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class Delivery:
    """Hold where a job ran and how it ended; without a target nothing ran."""

    target: str = ""
    usage: Usage | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Generation:
    """Describe a request to a model engine."""

    request: str
    workspace: str
    model: str
    body: bytes
    priority: int
    incarnation: str
    fencing: int
    revision: int
    timeout_s: float
