"""Define the message that reports crashes of targets to peer hosts."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.models import Crash
from trefoilstage.helpers.field_types import ShortText

Crashes = Annotated[tuple[Crash, ...], Field(max_length=MAX_CRASHES)]
Fingerprints = Annotated[tuple[ShortText, ...], Field(max_length=MAX_CRASHES)]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """Report crashes, and requests that turned out to be harmless."""

    host: ShortText
    crashes: Crashes = ()
    sound: Fingerprints = ()  # the harmless requests
    sound_parts: Fingerprints = ()  # harmless parts of prompts that were suspect
    # Asks the receiver to write the crashes to the store, which the sender can't reach.
    relay: bool = False
    kind: Literal["crash_report"] = "crash_report"
