"""Define the message about work under way."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.helpers.fields import Name

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


@dataclass(frozen=True, kw_only=True, slots=True)
class AskWork:
    """Ask the host that gathers some targets' work for what the others have there."""

    host: Name
    targets: tuple[Name, ...]
    kind: Literal["ask_work"] = "ask_work"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkTotals:
    """Answer with the work of all hosts but the asking one, by target."""

    work: dict[Name, TargetWork]
    kind: Literal["work_totals"] = "work_totals"


WorkMessage = WorkReport | AskWork | WorkTotals
