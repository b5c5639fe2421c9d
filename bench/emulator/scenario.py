"""Read the scenario of an emulated day from its TOML file and validate it."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from standins.proxy import CutMode
from trefoilstage.components.forwarding.models import RouteKind

FOLDER = Path(__file__).parent / "scenarios"
Share = Annotated[float, Field(gt=0, le=1)]
Positive = Annotated[float, Field(gt=0)]


class Model(BaseModel):
    """Reject unknown fields; the base of all tables of a scenario file."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SharedPart(Model):
    """Describe a prompt part that is shared by requests about the same subject."""

    tokens: Positive  # on average
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
    own_tokens: float = 0.0  # on average
    output_tokens: float = 0.0  # on average
    resumable: bool = False
    max_attempts: int = 1
    gap_objective_s: float = 0.4


class Engines(Model):
    """Describe the model engines."""

    n: Annotated[int, Field(ge=1)]
    kv_tokens: int = 435_000
    slots: int = 64
    cold_s: float = 0.0  # after a start
    # Requests a second that a cold engine tolerates; None without a limit.
    cold_requests_per_s: float | None = None
    n_versions: Annotated[int, Field(ge=1)] = 1  # of their software, side by side
    # Of transfers of KV cache between engines; without both, none fetches.
    kv_bytes: float = 0.0  # of one token
    link_mbps: float = 0.0


class Services(Model):
    """Describe the plain HTTP services."""

    n: Annotated[int, Field(ge=1)]
    slots: int = 6
    work_s: Positive = 0.06


class FaultKind(StrEnum):
    """Name the faults and loads that a day can include."""

    STORE_CUT = "store_cut"
    STORE_SLOW = "store_slow"
    HOSTS_KILLED = "hosts_killed"
    POWER_LOST = "power_lost"
    ENGINES_CRASHED = "engines_crashed"
    # The balancer hands most new connections to one host, to the next if it is out.
    HOST_FAVOURED = "host_favoured"
    BURST = "burst"
    HOT_WORKSPACE = "hot_workspace"
    ENGINES_RETURN_COLD = "engines_return_cold"  # down, then back together
    # Engines crash, and return under their names and addresses with another version.
    ENGINES_RETURN_CHANGED = "engines_return_changed"
    # Engines turn cold without a restart; their entries say so a heartbeat later.
    ENGINES_TURN_COLD = "engines_turn_cold"
    # Engines serve requests, but don't answer those that fetch KV cache from them.
    ENGINES_DARK = "engines_dark"
    EVACUATION = "evacuation"  # of the first data centre
    # Engines and services name a limit of `factor` requests a second in their answers.
    TARGETS_NAME_LIMIT = "targets_name_limit"
    # Engines and services turn requests away and ask each host for `factor` s of rest.
    TARGETS_ASK_FOR_REST = "targets_ask_for_rest"
    # Engines and services fall over when they turn away more than `factor` requests in
    # a second for want of room.
    TARGETS_BRITTLE = "targets_brittle"
    # Hosts lose their links to all targets, or to those whose names begin with
    # `targets`; `mode` tells what connections do.
    HOSTS_CUT_FROM_TARGETS = "hosts_cut_from_targets"
    CRASHING_REQUEST = "crashing_request"  # the same request, `factor` times a second
    # Different requests that share one part of their prompts, `factor` times a second.
    CRASHING_PART = "crashing_part"


class PartPosition(StrEnum):
    """Name where in a prompt a crashing part lies."""

    FIRST = "first"
    MIDDLE = "middle"


class Fault(Model):
    """Describe one fault, when it begins and how long it lasts."""

    kind: FaultKind
    at_s: float
    for_s: Positive
    share: Share = 1.0
    factor: Positive = 1.0
    mode: CutMode = CutMode.RESET
    targets: str = ""
    position: PartPosition = PartPosition.MIDDLE  # of a crashing part
    # Whether a crashed engine's port accepts connections that it doesn't answer.
    keeps_port: bool = False


class Scenario(Model):
    """Describe an emulated day."""

    duration_s: Positive
    n_hosts: Annotated[int, Field(ge=1)]
    n_workspaces: Annotated[int, Field(ge=1)] = 10
    # Tokens of all budgets, as a multiple of the expected demand.
    budget_factor: Positive = 1.3
    engines: Engines
    services: Services
    kinds: tuple[Kind, ...]
    faults: tuple[Fault, ...] = ()
    callers_resume: bool = False  # whether callers take broken streams up
    has_admission_queue: bool = False


def load_scenario(name: str) -> Scenario:
    """Return the scenario of a name, or raise ValueError if there is none."""
    path = FOLDER / f"{name}.toml"
    if not path.is_file():
        known = ", ".join(sorted(item.stem for item in FOLDER.glob("*.toml")))
        raise ValueError(f"unknown scenario {name}; known scenarios: {known}")
    return Scenario.model_validate(tomllib.loads(path.read_text()))
