"""Define the request and response bodies of the operators' interface."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from trefoilstage.helpers.field_types import ShortText
from trefoilstage.helpers.finding import Finding

OperationId = Annotated[str, Field(min_length=8, max_length=64)]
FileName = Annotated[str, Field(pattern=r"^[0-9A-Za-z][0-9A-Za-z_-]{0,80}\.toml$")]
Author = Annotated[str, Field(max_length=100)]


class OperatorBody(BaseModel):
    """Reject request bodies with unknown keys."""

    model_config = ConfigDict(extra="forbid")


class PublishBody(OperatorBody):
    """Request to publish a file on top of the revision that its author saw."""

    operation: OperationId
    name: FileName
    content: Annotated[str, Field(max_length=200_000)]
    base_revision: Annotated[int | None, Field(ge=-1, le=1 << 53)] = None
    author: Author = ""


class RemoveBody(OperatorBody):
    """Request to remove a file at the revision that the author saw."""

    operation: OperationId
    name: FileName
    base_revision: Annotated[int | None, Field(ge=-1, le=1 << 53)] = None
    author: Author = ""


class TopUpBody(OperatorBody):
    """Request to add tokens to a budget."""

    operation: OperationId
    amount: Annotated[int, Field(ge=1, le=1 << 50)]


class VerdictAnswer(BaseModel):
    """Report whether the log accepted a change, or that this is not known yet."""

    accepted: bool
    known: bool = True
    reason: str = ""
    detail: str = ""
    findings: list[Finding] = []
    revision: int = -1
    operation: str = ""


class ErrorAnswer(BaseModel):
    """Report the reason why a request failed."""

    reason: str
    detail: str = ""


class BudgetAnswer(BaseModel):
    """Describe a budget as one host knows it, in tokens.

    paid = spent + held + free. Doubtful tokens, which lost hosts may have spent, are
    included in held.
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
    """Describe a host's progress in reading one stream of the log."""

    name: str
    reachable: bool
    caught_up: bool
    next_offset: int


class StatusAnswer(BaseModel):
    """Describe the state of one host."""

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
    """Describe one target, with this host's active requests and failures."""

    name: str
    model: str
    site: str
    url: str
    state: str
    active: int
    failures: int


class DeclareLostBody(BaseModel):
    """Name hosts that are permanently lost."""

    hosts: Annotated[list[ShortText], Field(min_length=1)]


class DeclareLostAnswer(BaseModel):
    """Confirm that a host no longer waits for the lost hosts."""

    host: str
    hosts: list[str]


class DrainAnswer(BaseModel):
    """Confirm that a host has started to drain."""

    host: str
    draining: bool = True
