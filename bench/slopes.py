"""Fit the cost of a host against one quantity at a time, by linear regression."""

import asyncio
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from bench.measure import run_variant
from bench.scenario import (
    EngineTable,
    FaultKind,
    FaultTable,
    Range,
    Scenario,
    WorkspaceTable,
)

MEASURES = (
    "host_cpu_share_mean",
    "host_rss_mb_max",
    "peer_bytes_per_host_s",
    "log_appends_per_s",
    "log_bytes_per_s",
    "host_log_bytes_per_s",
    "ready_s",
)


class Axis(StrEnum):
    """Name the quantity that varies while a cost is measured."""

    HOSTS = "hosts"
    WORKSPACES = "workspaces"
    ACTIVE_BUDGETS = "active-budgets"
    REQUESTS = "requests"
    TOKENS = "tokens"
    CHANGES = "changes"


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """Describe the line fitted to one measure and its correlation."""

    measure: str
    slope: float
    intercept: float
    correlation: float
    points: tuple[tuple[float, float], ...]


def make_base_scenario(
    *, n_hosts: int = 4, workspaces: tuple[WorkspaceTable, ...] = ()
) -> Scenario:
    """Return a scenario that is idle unless workspaces with load are given."""
    idle = WorkspaceTable(name="idle", count=10, tokens=10**7, requests_per_s=0)
    return Scenario(
        description="slope",
        duration_s=8.0,
        n_hosts=n_hosts,
        engines=EngineTable(count=2, tokens_per_s=1000.0, max_running=500),
        workspaces=workspaces or (idle,),
    )


def make_hosts_scenario(size: int) -> Scenario:
    """Return an idle scenario with `size` hosts."""
    return make_base_scenario(n_hosts=size)


def make_workspaces_scenario(size: int) -> Scenario:
    """Return an idle scenario with `size` workspaces, each with a budget."""
    table = WorkspaceTable(name="idle", count=size, tokens=10**7, requests_per_s=0)
    return make_base_scenario(workspaces=(table,))


def make_active_budgets_scenario(size: int) -> Scenario:
    """Return a scenario in which `size` budgets share 40 requests per second."""
    table = WorkspaceTable(
        name="busy", count=size, tokens=10**7, requests_per_s=40.0 / size
    )
    return make_base_scenario(workspaces=(table,))


def make_requests_scenario(size: int) -> Scenario:
    """Return a scenario with `size` requests per second."""
    table = WorkspaceTable(
        name="busy", count=4, tokens=10**9, requests_per_s=size / 4.0
    )
    return make_base_scenario(workspaces=(table,))


def make_tokens_scenario(size: int) -> Scenario:
    """Return a scenario with 20 requests per second and answers of `size` tokens."""
    table = WorkspaceTable(
        name="busy",
        count=4,
        tokens=10**9,
        requests_per_s=5.0,
        output_tokens=Range(low=size, high=size),
    )
    return make_base_scenario(workspaces=(table,))


def make_changes_scenario(size: int) -> Scenario:
    """Return an idle scenario with `size` configuration changes during the run."""
    base = make_base_scenario()
    faults = tuple(
        FaultTable(
            at_s=0.5 + number * 7.0 / size,
            kind=FaultKind.PUBLISH,
            content=f"[sites.main]\nceiling_watts = {1_000_000 + number}\n",
        )
        for number in range(size)
    )
    return base.model_copy(update={"faults": faults})


SCENARIO_MAKERS: dict[Axis, Callable[[int], Scenario]] = {
    Axis.HOSTS: make_hosts_scenario,
    Axis.WORKSPACES: make_workspaces_scenario,
    Axis.ACTIVE_BUDGETS: make_active_budgets_scenario,
    Axis.REQUESTS: make_requests_scenario,
    Axis.TOKENS: make_tokens_scenario,
    Axis.CHANGES: make_changes_scenario,
}
DEFAULT_SIZES = {
    Axis.HOSTS: (2, 4, 8, 16, 32, 40),
    Axis.WORKSPACES: (10, 300, 1000, 3000),
    Axis.ACTIVE_BUDGETS: (4, 16, 64, 256),
    Axis.REQUESTS: (4, 20, 60, 120),
    Axis.TOKENS: (10, 50, 100, 200),
    Axis.CHANGES: (1, 7, 14, 28),
}


def measure_axis(axis: Axis, sizes: tuple[int, ...], repeats: int) -> list[Slope]:
    """Run the fleet at each size and fit a line to each measure."""
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in MEASURES}
    for _ in range(repeats):
        for size in sizes:
            measures = asyncio.run(run_variant(SCENARIO_MAKERS[axis](size), {}))
            for name in MEASURES:
                if name in measures:
                    points[name].append((float(size), measures[name]))
    return [fit_line(name, found) for name, found in points.items() if len(found) > 1]


def fit_line(measure: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least-squares line through (size, value) points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    regression = statistics.linear_regression(sizes, values)
    constant = len(set(values)) == 1
    correlation = 1.0 if constant else statistics.correlation(sizes, values)
    return Slope(
        measure=measure,
        slope=regression.slope,
        intercept=regression.intercept,
        correlation=correlation,
        points=tuple(points),
    )


def print_slopes(axis: Axis, slopes: list[Slope]) -> None:
    """Print each line with its correlation and its points."""
    for item in slopes:
        points = " ".join(f"{size:g}:{value:.4g}" for size, value in item.points)
        print(
            f"{item.measure}: {item.intercept:.4g} + {item.slope:.4g} x {axis.value}"
            f" (r {item.correlation:.3f}) {points}"
        )
