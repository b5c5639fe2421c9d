"""Settings of an engine stand-in and the orders that it receives."""

from pydantic import BaseModel, Field


class EngineControl(BaseModel):
    """Set the engine's speed, limits and faults."""

    tokens_per_s: float = Field(default=200.0, gt=0)
    prompt_tokens_per_s: float = Field(default=20_000.0, gt=0)
    batch_slowdown: float = Field(default=0.0, ge=0)
    max_running: int = Field(default=32, ge=1)
    fail_fast: bool = False
    rest_s: float | None = Field(default=None, ge=0)  # refuse all, and ask for rest
    fail_after_prompt: bool = False
    break_after: int | None = Field(default=None, ge=0)
    close_at: int | None = Field(default=None, ge=0)
    reorder_at: int | None = Field(default=None, ge=0)
    foreign_at: int | None = Field(default=None, ge=0)
    load_lag_s: float = Field(default=0.5, ge=0)
    cache_lag_s: float = Field(default=0.5, ge=0)
    cache_lose_every: int = Field(default=0, ge=0)
    keep_running: bool = False


class EngineOptions(BaseModel):
    """Describe the properties of an engine that don't change while it runs."""

    idle_watts: int = 0
    watts_per_request: int = 0
    checks_fencing: bool = False
    forgets_cancels: bool = False
    cache_blocks: int = Field(default=4096, ge=0)


class FenceOrder(BaseModel):
    """Order the engine to refuse an incarnation up to a fencing number."""

    incarnation: str
    fencing: int


class RoleOrder(BaseModel):
    """Order the engine to change its role as of a configuration revision."""

    role: str
    revision: int
