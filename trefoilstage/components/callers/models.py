"""Define and validate chat requests, and describe callers."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

MESSAGE_OVERHEAD_BYTES = 16


class ChatMessage(BaseModel):
    """Validate one message of a chat."""

    role: Literal["system", "user", "assistant", "tool", "developer"]
    content: str


class ChatRequest(BaseModel):
    """Validate the body of a chat request."""

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

    def serialize_canonically(self) -> bytes:
        """Return the fields that identify equal requests, streamed or not."""
        return self.model_dump_json(exclude={"stream"}).encode()

    def compute_max_output_tokens(self, limit: int) -> int:
        """Return the maximum number of tokens of the answer."""
        return min(self.max_completion_tokens or self.max_tokens or limit, limit)

    def compute_max_prompt_tokens(self, bytes_per_token: int) -> int:
        """Return an upper bound on the prompt's tokens for any tokenizer."""
        n_bytes = sum(
            len(message.content.encode()) + MESSAGE_OVERHEAD_BYTES
            for message in self.messages
        )
        return -(-n_bytes // bytes_per_token)


@dataclass(frozen=True, kw_only=True, slots=True)
class Caller:
    """Describe the caller of one request.

    `request` is the request's ID; `key` is a digest of the idempotency key, or of the
    request's ID if the caller sent none.
    """

    workspace: str
    budget: str
    priority: int
    request: str
    has_key: bool
    key: str
    deadline_s: float
