"""Read a scenario from its TOML file and validate it."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

SCENARIOS_FOLDER = Path(__file__).parent / "scenarios"
Share = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0, le=600)]
Count = Annotated[int, Field(ge=0, le=1 << 40)]
Setting = str | int | float | bool


class FaultKind(StrEnum):
    """Name the faults and changes that a scenario can apply to a running fleet."""

    KILL_HOST = "kill_host"
    REPLACE_HOST = "replace_host"
    CUT_DATA_CENTER = "cut_data_center"
    HEAL = "heal"
    LOG_DOWN = "log_down"
    LOG_UP = "log_up"
    TOP_UP = "top_up"
    ENGINE = "engine"
    PUBLISH = "publish"
    CEILING = "ceiling"


class Table(BaseModel):
    """Reject unknown keys; the base of all tables of a scenario file."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Range(Table):
    """Describe a uniform range, both ends included."""

    low: Count
    high: Count


class EngineTable(Table):
    """Describe the model engines."""

    count: Annotated[int, Field(ge=0, le=40)] = 3
    tokens_per_s: Annotated[float, Field(gt=0)] = 100.0
    max_running: Annotated[int, Field(ge=1)] = 32
    watts_per_request: Count = 0
    idle_watts: Count = 0
    options: dict[str, Setting] = {}


class WorkspaceTable(Table):
    """Describe a group of similar workspaces and the load of each."""

    name: str
    count: Annotated[int, Field(ge=1, le=20_000)] = 1
    tokens: Count
    preference: str = "avoid-refusals"
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    requests_per_s: Annotated[float, Field(ge=0)] = 1.0
    prompt_bytes: Range = Range(low=200, high=800)
    output_tokens: Range = Range(low=10, high=40)
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    n_prefixes: Count = 0
    prefix_bytes: Count = 0
    surge_at_s: Seconds | None = None
    surge_s: Seconds = 0.0
    surge_factor: Annotated[float, Field(ge=1)] = 1.0
    retries: Annotated[int, Field(ge=0, le=10)] = 0
    patience_s: Seconds = 30.0
    shared_budget: bool = False


class FaultTable(Table):
    """Describe one fault and when it is applied."""

    at_s: Seconds
    kind: FaultKind
    data_center: str = ""
    amount: Count = 0
    budget: str = ""
    engine: int = 0
    control: dict[str, Setting] = {}
    content: str = ""


class Scenario(Table):
    """Describe the fleet, the load and the faults of one experiment."""

    name: str = ""
    description: str
    seed: int = 1
    duration_s: Annotated[float, Field(gt=0, le=300)] = 15.0
    n_hosts: Annotated[int, Field(ge=1, le=60)] = 8
    data_centers: tuple[str, ...] = ("brest", "quimper", "lorient")
    ceiling_watts: Count = 1_000_000
    appends_per_s: Annotated[float, Field(gt=0)] = 400.0
    engines: EngineTable = EngineTable()
    workspaces: tuple[WorkspaceTable, ...] = ()
    faults: tuple[FaultTable, ...] = ()
    settings: dict[str, Setting] = {}
    variants: dict[str, dict[str, Setting]] = {}


def load_scenario(name: str) -> Scenario:
    """Return the scenario of a name."""
    path = SCENARIOS_FOLDER / f"{name}.toml"
    tables = tomllib.loads(path.read_text())
    return Scenario.model_validate({"name": name, **tables})


def list_scenarios() -> list[str]:
    """Return the names of all scenarios."""
    return sorted(path.stem for path in SCENARIOS_FOLDER.glob("*.toml"))
