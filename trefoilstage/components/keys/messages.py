"""Define the messages with which hosts claim keys and read each other's runs."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.helpers.field_types import ShortText, UInt53

Standing = Literal["granted", "held", "conflict"]
Detail = Annotated[str, Field(max_length=1000)]


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimKey:
    """Ask a key's home for permission to run it.

    `runner` is the incarnation that would run it, `replaces` the request of a lost
    run that this one replaces.
    """

    key: ShortText
    digest: ShortText
    runner: ShortText
    request: ShortText
    replaces: ShortText = ""
    kind: Literal["claim_key"] = "claim_key"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """Answer a claim; `runner` and `request` name the run of a held key."""

    standing: Standing
    runner: ShortText = ""
    request: ShortText = ""
    kind: Literal["claim_reply"] = "claim_reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRun:
    """Ask the host of a run for its chunks, starting at a position."""

    key: ShortText
    request: ShortText
    position: UInt53
    kind: Literal["read_run"] = "read_run"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunPage:
    """Answer with chunks, and with the refusal if the run failed."""

    found: bool
    chunks: tuple[bytes, ...] = ()
    ended: bool = False
    reason: ShortText = ""
    effect: ShortText = ""
    detail: Detail = ""
    retry_after_s: float | None = None
    kind: Literal["run_page"] = "run_page"
