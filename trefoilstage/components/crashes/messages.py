"""Define the message that reports crashes of targets to peer hosts."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.models import Crash, TargetLoad
from trefoilstage.helpers.field_types import ShortText

Crashes = Annotated[tuple[Crash, ...], Field(max_length=MAX_CRASHES)]
Loads = Annotated[tuple[TargetLoad, ...], Field(max_length=MAX_CRASHES)]
Fingerprints = Annotated[tuple[ShortText, ...], Field(max_length=MAX_CRASHES)]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """Report crashes, and requests that turned out to be harmless."""

    host: ShortText
    crashes: Crashes = ()
    # Of targets that stopped without a suspect of the sender.
    loads: Loads = ()
    sound: Fingerprints = ()  # the harmless requests
    sound_parts: Fingerprints = ()  # harmless parts of prompts that were suspect
    # Requests or parts that the sender sends once although targets crashed under them.
    trials: Fingerprints = ()
    # Asks the receiver to write the crashes to the store, which the sender can't reach.
    relay: bool = False
    kind: Literal["crash_report"] = "crash_report"
