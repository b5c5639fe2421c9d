"""Define and validate the sections of the merged configuration."""

import re
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

IDENTIFIER_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
Identifier = Annotated[str, Field(pattern=IDENTIFIER_PATTERN)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
HttpUrl = Annotated[str, Field(pattern=r"^http://[0-9a-zA-Z.:\[\]-]+$")]
Count = Annotated[int, Field(ge=0, le=1 << 50)]
MAX_PRIORITY = 9


class Preference(StrEnum):
    """Enumerate which error a budget's owner prefers to avoid."""

    AVOID_REFUSALS = "avoid-refusals"
    AVOID_OVERSPEND = "avoid-overspend"


class TargetState(StrEnum):
    """Enumerate the states of a target; a leaving one receives no new requests."""

    SERVING = "serving"
    LEAVING = "leaving"


class Section(BaseModel):
    """Reject unknown keys in a section of the configuration."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class WorkspaceConfig(Section):
    """Describe a workspace: its keys, its budget and its priority."""

    budget: Identifier
    key_sha256: tuple[Sha256, ...] = ()
    priority: Annotated[int, Field(ge=0, le=MAX_PRIORITY)] = 5


class BudgetConfig(Section):
    """Describe a prepaid budget in tokens."""

    tokens: Count
    preference: Preference = Preference.AVOID_OVERSPEND


class SiteConfig(Section):
    """Describe a site, whose targets share a power ceiling in watts."""

    data_center: Identifier
    ceiling_watts: Count


class ModelConfig(Section):
    """Describe a model; a prompt token has at least `prompt_bytes_per_token` bytes."""

    prompt_bytes_per_token: Annotated[int, Field(ge=1, le=16)] = 1
    max_output_tokens: Annotated[int, Field(ge=1, le=1_000_000)] = 1024


class TargetConfig(Section):
    """Describe a model engine that serves one model.

    An engine that `checks_fencing` refuses the requests of a fenced holder. With
    `fences_cancelled`, its report of what a cancelled request spent is final.
    """

    model: Identifier
    site: Identifier
    url: HttpUrl
    idle_watts: Count = 0
    watts_per_request: Count = 0
    max_concurrent: Annotated[int, Field(ge=1, le=10_000)] = 32
    checks_fencing: bool = False
    fences_cancelled: bool = False
    state: TargetState = TargetState.SERVING


class OperationConfig(Section):
    """Describe one operation of a plain HTTP service."""

    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    method: Annotated[str, Field(pattern=r"^(GET|POST|PUT|DELETE)$")] = "POST"
    idempotent: bool = False
    cost_tokens: Count = 0


class ServiceConfig(Section):
    """Describe a plain HTTP service, its servers and its operations."""

    urls: Annotated[tuple[HttpUrl, ...], Field(min_length=1)]
    operations: dict[Identifier, OperationConfig]
    timeout_s: Annotated[float, Field(gt=0, le=600)] = 10.0


class FleetConfig(Section):
    """Describe the settings that apply to the whole fleet."""

    ledger_streams: Annotated[int, Field(ge=1, le=4096)] = 1


class Configuration(Section):
    """Represent the whole merged configuration."""

    fleet: FleetConfig = FleetConfig()
    workspaces: dict[Identifier, WorkspaceConfig] = {}
    budgets: dict[Identifier, BudgetConfig] = {}
    sites: dict[Identifier, SiteConfig] = {}
    models: dict[Identifier, ModelConfig] = {}
    targets: dict[Identifier, TargetConfig] = {}
    services: dict[Identifier, ServiceConfig] = {}


def is_identifier(name: str) -> bool:
    """Return whether a text is a valid name of an entry."""
    return re.fullmatch(IDENTIFIER_PATTERN.strip("^$"), name) is not None
