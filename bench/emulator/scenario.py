"""Check what an emulated day is made of."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from trefoilstage.components.forwarding.models import RouteKind

FOLDER = Path(__file__).parent / "scenarios"
Share = Annotated[float, Field(gt=0, le=1)]
Positive = Annotated[float, Field(gt=0)]


class Model(BaseModel):
    """Refuse fields that nobody reads."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SharedPart(Model):
    """Describe a part of prompts that some requests share."""

    tokens: Positive  # in the mean
    n_subjects: Annotated[int, Field(ge=1)]


class Kind(Model):
    """Describe one kind of request."""

    name: str
    per_s: Positive
    kind: RouteKind
    objective_s: Positive
    deadline_s: Positive
    priority: int = 1
    shared: tuple[SharedPart, ...] = ()
    own_tokens: float = 0.0  # in the mean
    output_tokens: float = 0.0  # in the mean
    resumable: bool = False
    max_attempts: int = 1
    gap_objective_s: float = 0.4


class Engines(Model):
    """Describe the model engines."""

    n: Annotated[int, Field(ge=1)]
    kv_tokens: int = 435_000
    slots: int = 64


class Services(Model):
    """Describe the targets of plain calls."""

    n: Annotated[int, Field(ge=1)]
    slots: int = 6
    work_s: Positive = 0.06


class FaultKind(StrEnum):
    """Name what goes wrong."""

    STORE_CUT = "store_cut"
    STORE_SLOW = "store_slow"
    HOSTS_KILLED = "hosts_killed"
    POWER_LOST = "power_lost"
    ENGINES_CRASHED = "engines_crashed"
    BURST = "burst"
    HOT_WORKSPACE = "hot_workspace"
    CRASHING_REQUEST = "crashing_request"  # one, sent `factor` times a second


class Fault(Model):
    """Describe one fault."""

    kind: FaultKind
    at_s: float
    for_s: Positive
    share: Share = 1.0
    factor: Positive = 1.0


class Scenario(Model):
    """Describe an emulated day."""

    duration_s: Positive
    n_hosts: Annotated[int, Field(ge=1)]
    n_workspaces: Annotated[int, Field(ge=1)] = 10
    # Tokens of all budgets, in multiples of what is asked for in the mean.
    budget_factor: Positive = 1.3
    engines: Engines
    services: Services
    kinds: tuple[Kind, ...]
    faults: tuple[Fault, ...] = ()


def load_scenario(name: str) -> Scenario:
    """Return a scenario by its name, or raise ValueError."""
    path = FOLDER / f"{name}.toml"
    if not path.is_file():
        known = ", ".join(sorted(item.stem for item in FOLDER.glob("*.toml")))
        raise ValueError(f"no scenario {name}; there are: {known}")
    return Scenario.model_validate(tomllib.loads(path.read_text()))
