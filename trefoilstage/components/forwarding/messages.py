"""Define the message about work under way."""

from dataclasses import dataclass, field
from typing import Literal

from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.reading_pace import Reading
from trefoilstage.components.forwarding.work import Work
from trefoilstage.helpers.fields import Count, Name


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPrompt:
    """Tell that a target reads a prompt, and how many tokens it has room for."""

    target: Name
    kv_tokens: Count
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkReport:
    """Tell what a host has under way at each target, and what it sent since last."""

    host: Name
    work: dict[Name, Work]
    readings: dict[Name, Reading] = field(default_factory=dict)  # new ones only
    prompts: tuple[ReadPrompt, ...] = ()
    kind: Literal["work_report"] = "work_report"


@dataclass(frozen=True, kw_only=True, slots=True)
class AskWork:
    """Ask the host that gathers some targets' work for what the others have there.

    It also tells how much of a prompt each target has in memory.
    """

    host: Name
    targets: tuple[Name, ...]
    prompt: tuple[PromptPart, ...] = ()
    kind: Literal["ask_work"] = "ask_work"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkTotals:
    """Answer with the work of all hosts but the asking one, by target."""

    work: dict[Name, Work]
    kept: dict[Name, Count] = field(default_factory=dict)  # tokens of the prompt
    readings: dict[Name, Reading] = field(default_factory=dict)
    kind: Literal["work_totals"] = "work_totals"


WorkMessage = WorkReport | AskWork | WorkTotals
