"""Define what targets send, validated at the border."""

from dataclasses import dataclass

from pydantic import BaseModel, Field


class Usage(BaseModel):
    """Count the tokens of one request, as the target reports them."""

    prompt_tokens: int = Field(ge=0)
    completion_tokens: int = Field(ge=0)

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


class CancelAnswer(BaseModel):
    """Check a target's answer to a cancel."""

    state: str
    usage: Usage


@dataclass(frozen=True, kw_only=True, slots=True)
class Chunk:
    """Hold one chunk of an answer: its exact bytes and what they mean."""

    data: bytes
    text: str
    usage: Usage | None
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Generation:
    """Describe a request to a model engine."""

    request: str
    workspace: str
    model: str
    body: bytes
    priority: int
    fencing: int
    timeout_s: float
