"""Judge refusals and spend from the engines' own meters.

A refusal is false when, seen from above at the moment it was sent, all of it was
there: the budget had the request's worst case left after everything that the
engines ever executed for requests started before, the engines that did not fail had a
free place in their batches, and the site had watts for one more. It takes no notice
of where tokens lay, which no host can know, so it counts against the fleet whatever
better placing would have served.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.load import Outcome
from bench.scenario import FaultKind, FaultTable, Scenario

FREE_SHARE = 0.9
NEARLY_ALL = 0.99


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """Hold one request that an engine executed."""

    request: str
    workspace: str
    started: float
    ended: float
    tokens: int
    finished: bool


@dataclass(kw_only=True, slots=True)
class Timeline:
    """Sum amounts over time."""

    times: list[float] = field(default_factory=list)
    sums: list[int] = field(default_factory=list)

    @classmethod
    def build(cls, steps: Iterable[tuple[float, int]]) -> "Timeline":
        """Return the running sum of steps."""
        timeline = cls()
        total = 0
        for at, amount in sorted(steps):
            total += amount
            timeline.times.append(at)
            timeline.sums.append(total)
        return timeline

    def get(self, at: float) -> int:
        """Return the sum at a time."""
        position = bisect.bisect_right(self.times, at)
        return self.sums[position - 1] if position else 0

    @property
    def last(self) -> int:
        """Return the final sum."""
        return self.sums[-1] if self.sums else 0

    @property
    def peak(self) -> int:
        """Return the highest sum."""
        return max(self.sums, default=0)


@dataclass(kw_only=True, slots=True)
class Verdicts:
    """Hold what the oracle found."""

    overspend: dict[str, int]
    n_false_refusals: int
    n_false_before_end: int
    n_honest_refusals: int
    n_not_run_but_executed: int
    spent_by_budget: dict[str, int]
    peak_watts: int


def read_executions(meters: Iterable[Mapping[str, Any]]) -> list[Execution]:
    """Return the executions in the engines' meters."""
    return [
        Execution(
            request=item["request"],
            workspace=item["workspace"],
            started=item["started"],
            ended=item["ended"] or float("inf"),
            tokens=item["prompt_tokens"] + item["completion_tokens"],
            finished=item["state"] == "finished",
        )
        for meter in meters
        for item in meter["requests"]
    ]


def judge(
    scenario: Scenario,
    executions: list[Execution],
    outcomes: list[Outcome],
    budgets: Mapping[str, str],
    paid: Mapping[str, int],
    top_ups: Iterable[tuple[float, str, int]],
    started: float,
) -> Verdicts:
    """Return the oracle's findings on a run; budgets maps workspaces to budgets."""
    spent = build_spend(executions, budgets)
    running = Timeline.build(
        step for item in executions for step in ((item.started, 1), (item.ended, -1))
    )
    added = build_top_ups(top_ups)
    verdicts = Verdicts(
        overspend={},
        n_false_refusals=0,
        n_false_before_end=0,
        n_honest_refusals=0,
        n_not_run_but_executed=0,
        spent_by_budget={name: line.last for name, line in spent.items()},
        peak_watts=compute_peak_watts(scenario, running),
    )
    for name, line in spent.items():
        if line.last > paid[name]:
            verdicts.overspend[name] = line.last - paid[name]
    places = build_places(scenario, started)
    for outcome in outcomes:
        # A connection that broke or a caller that gave up was refused nothing.
        if outcome.complete or not outcome.effect:
            continue
        late = added[outcome.budget].last - added[outcome.budget].get(outcome.sent)
        line = spent.get(outcome.budget, Timeline())
        left = paid[outcome.budget] - late - line.get(outcome.sent)
        has_place = running.get(outcome.sent) < places.get(outcome.sent) * FREE_SHARE
        if left >= outcome.worst_case and has_place:
            verdicts.n_false_refusals += 1
            is_early = left > paid[outcome.budget] * (1.0 - NEARLY_ALL)
            verdicts.n_false_before_end += is_early
        else:
            verdicts.n_honest_refusals += 1
    return verdicts


def build_places(scenario: Scenario, started: float) -> Timeline:
    """Return how many requests the engines and the site's watts have room for."""
    engines = scenario.engines
    failing: set[int] = set()
    ceiling = scenario.ceiling_watts
    timeline = Timeline()
    changes = [FaultTable(at_s=0.0, kind=FaultKind.HEAL), *scenario.faults]
    for fault in sorted(changes, key=lambda fault: fault.at_s):
        if fault.kind is FaultKind.CEILING:
            ceiling = fault.amount
        if fault.kind is FaultKind.ENGINE:
            failing.discard(fault.engine)
            if fault.control.get("fail_fast"):
                failing.add(fault.engine)
        places = (engines.count - len(failing)) * engines.max_running
        if engines.watts_per_request:
            free_watts = ceiling - engines.count * engines.idle_watts
            places = min(places, free_watts // engines.watts_per_request)
        timeline.times.append(started + fault.at_s)
        timeline.sums.append(places)
    return timeline


def build_spend(
    executions: list[Execution], budgets: Mapping[str, str]
) -> dict[str, Timeline]:
    """Return what was spent of each budget over time."""
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for item in executions:
        steps[budgets[item.workspace]].append((item.started, item.tokens))
    return {name: Timeline.build(items) for name, items in steps.items()}


def build_top_ups(
    top_ups: Iterable[tuple[float, str, int]],
) -> dict[str, Timeline]:
    """Return what was added to each budget over time."""
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for at, name, amount in top_ups:
        steps[name].append((at, amount))
    lines = {name: Timeline.build(items) for name, items in steps.items()}
    return defaultdict(Timeline, lines)


def compute_peak_watts(scenario: Scenario, running: Timeline) -> int:
    """Return the highest power the engines drew together."""
    engines = scenario.engines
    idle = engines.count * engines.idle_watts
    return idle + running.peak * engines.watts_per_request
