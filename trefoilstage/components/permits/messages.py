"""Define the messages with which hosts ask for permits to use cold targets."""

from dataclasses import dataclass
from typing import Literal

from trefoilstage.helpers.field_types import ShortText


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequest:
    """Ask the home of a cold target for a permit to send it one request."""

    target: ShortText  # its incarnation
    service: ShortText
    kind: Literal["ask_permit"] = "ask_permit"


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReply:
    """Reply whether the permit was granted."""

    granted: bool
    kind: Literal["permit"] = "permit"


PermitMessage = PermitRequest | PermitReply
