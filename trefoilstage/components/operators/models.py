"""Define the bodies of the operators' interface."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field


class OperatorBody(BaseModel):
    """Refuse keys that no body knows."""

    model_config = ConfigDict(extra="forbid")


class PublishBody(OperatorBody):
    """Ask to publish a file over the revision its author saw."""

    operation: Annotated[str, Field(min_length=8, max_length=64)]
    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z_-]{0,80}\.toml$")]
    content: Annotated[str, Field(max_length=200_000)]
    base_revision: int | None = None
    author: Annotated[str, Field(max_length=100)] = ""


class RemoveBody(OperatorBody):
    """Ask to remove a file at the revision its author saw."""

    operation: Annotated[str, Field(min_length=8, max_length=64)]
    name: Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z_-]{0,80}\.toml$")]
    base_revision: int | None = None
    author: Annotated[str, Field(max_length=100)] = ""


class TopUpBody(OperatorBody):
    """Ask to raise a budget."""

    operation: Annotated[str, Field(min_length=8, max_length=64)]
    amount: Annotated[int, Field(ge=1, le=1 << 50)]


class VerdictAnswer(BaseModel):
    """Tell whether the log accepted a change, or that it is not known yet."""

    accepted: bool
    known: bool = True
    reason: str = ""
    detail: str = ""
    revision: int = -1
    operation: str = ""


class BudgetAnswer(BaseModel):
    """Describe a budget as one host knows it; amounts in tokens."""

    name: str
    paid: int
    spent: int
    held: int
    free: int
    doubtful: int


class HostAnswer(BaseModel):
    """Describe one host of the fleet."""

    host: str
    incarnation: str
    data_center: str
    caller_url: str
    operator_url: str
    live: bool


class StatusAnswer(BaseModel):
    """Describe how one host stands."""

    host: str
    incarnation: str
    phase: str
    revision: int
    caught_up: bool
    n_active: int


class FileAnswer(BaseModel):
    """Describe one configuration file in force."""

    name: str
    revision: int
    content: str


class TargetAnswer(BaseModel):
    """Describe one target and what this host has sent it."""

    name: str
    model: str
    site: str
    url: str
    state: str
    active: int
    failures: int
