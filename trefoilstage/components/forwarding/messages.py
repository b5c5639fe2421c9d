"""Define the message about work under way."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.ledger.records import Name

Count = Annotated[int, Field(ge=0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetWork:
    """Hold what one host has under way at a target."""

    n_requests: Count
    prompt_tokens: Count


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkReport:
    """Tell what a host has under way at each target."""

    host: Name
    work: dict[Name, TargetWork]
    kind: Literal["work_report"] = "work_report"
