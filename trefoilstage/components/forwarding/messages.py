"""Define the messages about work in progress at the targets.

A target is identified by its incarnation. Its home is the host that collects all hosts'
work at it.
"""

from dataclasses import dataclass, field
from typing import Literal

from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.prefill_speed import PrefillTotals
from trefoilstage.components.forwarding.work import Work
from trefoilstage.helpers.field_types import Count, ShortText


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedPrompt:
    """Describe a prompt sent to a target, and the size of the target's KV cache."""

    target: ShortText
    kv_tokens: Count
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkReport:
    """Report a host's work at each target and its prompts since the last report."""

    host: ShortText
    work: dict[ShortText, Work]
    # Prefill totals that changed since the last report.
    readings: dict[ShortText, PrefillTotals] = field(default_factory=dict)
    prompts: tuple[CachedPrompt, ...] = ()
    kind: Literal["work_report"] = "work_report"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkQuery:
    """Query the home of some targets for the work of other hosts there.

    The reply also contains how many tokens of a prompt each target has cached.
    """

    host: ShortText
    targets: tuple[ShortText, ...]
    prompt: tuple[PromptPart, ...] = ()
    kind: Literal["ask_work"] = "ask_work"


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkTotals:
    """Reply to a query with the work of all hosts except the querying one."""

    work: dict[ShortText, Work]
    kept: dict[ShortText, Count] = field(
        default_factory=dict
    )  # cached tokens of the prompt
    readings: dict[ShortText, PrefillTotals] = field(default_factory=dict)
    # Prompts that the other hosts sent within the last second.
    recent: dict[ShortText, Count] = field(default_factory=dict)
    kind: Literal["work_totals"] = "work_totals"


WorkMessage = WorkReport | WorkQuery | WorkTotals
