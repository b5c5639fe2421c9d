"""Check what callers send."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

MESSAGE_OVERHEAD_BYTES = 16


class ChatMessage(BaseModel):
    """Check one message of a chat."""

    role: Literal["system", "user", "assistant", "tool", "developer"]
    content: str


class ChatRequest(BaseModel):
    """Check the body of a chat request."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: Annotated[str, Field(max_length=100)]
    messages: Annotated[list[ChatMessage], Field(min_length=1, max_length=1000)]
    stream: bool = False
    max_tokens: Annotated[int | None, Field(ge=1, le=1_000_000)] = None
    max_completion_tokens: Annotated[int | None, Field(ge=1, le=1_000_000)] = None
    temperature: Annotated[float | None, Field(ge=0, le=2)] = None
    top_p: Annotated[float | None, Field(ge=0, le=1)] = None
    presence_penalty: Annotated[float | None, Field(ge=-2, le=2)] = None
    frequency_penalty: Annotated[float | None, Field(ge=-2, le=2)] = None
    seed: int | None = None
    stop: str | list[str] | None = None
    n: Literal[1] | None = None

    def make_canonical(self) -> bytes:
        """Return what makes two requests the same; both ways of answering do."""
        return self.model_dump_json(exclude={"stream"}).encode()

    def count_output(self, limit: int) -> int:
        """Return the most tokens the answer may have."""
        return min(self.max_completion_tokens or self.max_tokens or limit, limit)

    def count_prompt_bound(self, bytes_per_token: int) -> int:
        """Return a bound on the prompt's tokens that no tokenizer exceeds."""
        size = sum(
            len(message.content.encode()) + MESSAGE_OVERHEAD_BYTES
            for message in self.messages
        )
        return -(-size // bytes_per_token)


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Name who calls: the workspace, its budget and its request."""

    workspace: str
    budget: str
    priority: int
    request: str
    has_key: bool
    key: str
    deadline_s: float
