"""Define the bodies of the operators' interface."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from trefoilstage.helpers.fields import Name
from trefoilstage.helpers.finding import Finding

Operation = Annotated[str, Field(min_length=8, max_length=64)]
FileName = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z_-]{0,80}\.toml$")]
Author = Annotated[str, Field(max_length=100)]


class OperatorBody(BaseModel):
    """Refuse keys that no body knows."""

    model_config = ConfigDict(extra="forbid")


class PublishBody(OperatorBody):
    """Ask to publish a file over the revision its author saw."""

    operation: Operation
    name: FileName
    content: Annotated[str, Field(max_length=200_000)]
    base_revision: Annotated[int | None, Field(ge=-1, le=1 << 53)] = None
    author: Author = ""


class RemoveBody(OperatorBody):
    """Ask to remove a file at the revision its author saw."""

    operation: Operation
    name: FileName
    base_revision: Annotated[int | None, Field(ge=-1, le=1 << 53)] = None
    author: Author = ""


class TopUpBody(OperatorBody):
    """Ask to raise a budget."""

    operation: Operation
    amount: Annotated[int, Field(ge=1, le=1 << 50)]


class VerdictAnswer(BaseModel):
    """Tell whether the log accepted a change, or that it is not known yet."""

    accepted: bool
    known: bool = True
    reason: str = ""
    detail: str = ""
    findings: list[Finding] = []
    revision: int = -1
    operation: str = ""


class ErrorAnswer(BaseModel):
    """Tell why a call got no other answer."""

    reason: str
    detail: str = ""


class BudgetAnswer(BaseModel):
    """Describe a budget as one host knows it; amounts in tokens.

    paid = spent + held + free; what is doubtful is part of what is held.
    """

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


class StreamAnswer(BaseModel):
    """Describe how a host stands with one stream of the log."""

    name: str
    reachable: bool
    caught_up: bool
    next_offset: int


class StatusAnswer(BaseModel):
    """Describe how one host stands."""

    host: str
    incarnation: str
    data_center: str
    phase: str
    revision: int
    caught_up: bool
    n_active: int
    streams: list[StreamAnswer]


class FileAnswer(BaseModel):
    """Describe one configuration file in force."""

    name: str
    revision: int
    author: str
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


class DeclareLostBody(BaseModel):
    """Name hosts that are gone for good."""

    hosts: Annotated[list[Name], Field(min_length=1)]


class DeclareLostAnswer(BaseModel):
    """Tell that a host waits for others no more."""

    host: str
    hosts: list[str]


class DrainAnswer(BaseModel):
    """Tell that a host has begun to drain."""

    host: str
    draining: bool = True
