"""Define the message about targets that ended under requests."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.models import Crash
from trefoilstage.helpers.fields import Name

Crashes = Annotated[tuple[Crash, ...], Field(max_length=MAX_CRASHES)]
Fingerprints = Annotated[tuple[Name, ...], Field(max_length=MAX_CRASHES)]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """Tell under which requests targets ended, and which turned out to be sound."""

    host: Name
    crashes: Crashes = ()
    sound: Fingerprints = ()
    # The host that gets it writes it to the store, which the sender can't reach.
    relay: bool = False
    kind: Literal["crash_report"] = "crash_report"
