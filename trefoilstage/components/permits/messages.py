"""Define the messages with which hosts ask for permits to send requests to targets."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.helpers.field_types import Count, ShortText

RatePerS = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
# For replies of homes that name no time.
DEFAULT_WAIT_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitReport:
    """Report what the newest answer of a target said of the requests it takes."""

    target: ShortText  # its incarnation
    limit_per_s: RatePerS | None  # None if it names no limit any more
    age_s: Seconds
    refuses: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Ask the home of a target for a permit to send it one request."""

    target: ShortText  # its incarnation
    service: ShortText
    is_cold: bool = True
    limit: LimitReport | None = None
    kind: Literal["ask_permit"] = "ask_permit"


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReply:
    """Reply whether the permit was granted, or else when to ask again."""

    granted: bool
    wait_s: Seconds = DEFAULT_WAIT_S
    limit: LimitReport | None = None
    kind: Literal["permit"] = "permit"


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRequest:
    """Ask the home of a brittle target for one of its slots."""

    target: ShortText  # its incarnation
    n_slots: Count
    kind: Literal["ask_slot"] = "ask_slot"


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotReply:
    """Reply whether a slot is free, None if the asked host doesn't know."""

    granted: bool | None
    kind: Literal["slot"] = "slot"


PermitMessage = PermitRequest | PermitReply | SlotRequest | SlotReply
