"""Classify refusals and check spend by the engines' own meters.

A refusal is false when the fleet as a whole could have served the request at the moment
it was sent. Three things must have been free: the request's worst case in the budget,
after all that the engines ever executed for requests started before; a batch slot,
with less than 90% of the slots of the engines that did not fail in use; and the site's
watts for one more request. The oracle ignores which host held the tokens, which no host
can know, so a refusal also counts as false if only a better distribution of the tokens
would have avoided it.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.load import Outcome
from bench.scenario import FaultKind, FaultTable, Scenario

MAX_BUSY_SHARE = 0.9
NEARLY_USED_SHARE = 0.99


@dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """Describe one request that an engine executed; times are wall-clock seconds."""

    request: str
    workspace: str
    started_at: float
    ended_at: float
    tokens: int
    is_finished: bool


@dataclass(kw_only=True, slots=True)
class Timeline:
    """Represent a sum that changes over time."""

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

    def get_sum_at(self, at: float) -> int:
        """Return the sum at a time, 0 before the first change."""
        position = bisect.bisect_right(self.times, at)
        return self.sums[position - 1] if position else 0

    @property
    def final_sum(self) -> int:
        """Return the final sum."""
        return self.sums[-1] if self.sums else 0

    @property
    def peak_sum(self) -> int:
        """Return the highest sum."""
        return max(self.sums, default=0)


@dataclass(kw_only=True, slots=True)
class Verdicts:
    """Describe the oracle's findings on one run."""

    overspent_tokens: dict[str, int]
    n_false_refusals: int
    n_false_before_nearly_used: int
    n_honest_refusals: int
    n_not_run_but_executed: int
    spent_tokens_by_budget: dict[str, int]
    peak_watts: int


def read_executions(meters: Iterable[Mapping[str, Any]]) -> list[Execution]:
    """Return the executions in the engines' meters."""
    return [
        Execution(
            request=item["request"],
            workspace=item["workspace"],
            started_at=item["started"],
            ended_at=item["ended"] or float("inf"),
            tokens=item["prompt_tokens"] + item["completion_tokens"],
            is_finished=item["state"] == "finished",
        )
        for meter in meters
        for item in meter["requests"]
    ]


def judge_run(
    scenario: Scenario,
    executions: list[Execution],
    outcomes: list[Outcome],
    budgets: Mapping[str, str],
    prepaid_tokens: Mapping[str, int],
    top_ups: Iterable[tuple[float, str, int]],
    started_at: float,
) -> Verdicts:
    """Return the oracle's findings on a run.

    `budgets` maps workspaces to budgets; `prepaid_tokens` includes top-ups.
    """
    spend_timelines = build_spend_timelines(executions, budgets)
    running_timeline = Timeline.build(
        step
        for item in executions
        for step in ((item.started_at, 1), (item.ended_at, -1))
    )
    top_up_timelines = build_top_up_timelines(top_ups)
    verdicts = Verdicts(
        overspent_tokens={},
        n_false_refusals=0,
        n_false_before_nearly_used=0,
        n_honest_refusals=0,
        n_not_run_but_executed=0,
        spent_tokens_by_budget={
            name: spend_timeline.final_sum
            for name, spend_timeline in spend_timelines.items()
        },
        peak_watts=compute_peak_watts(scenario, running_timeline),
    )
    for name, line in spend_timelines.items():
        if line.final_sum > prepaid_tokens[name]:
            verdicts.overspent_tokens[name] = line.final_sum - prepaid_tokens[name]
    slots = build_slot_timeline(scenario, started_at)
    for outcome in outcomes:
        # A broken connection and a caller that gave up are not refusals.
        if outcome.is_complete or not outcome.effect:
            continue
        later_top_ups = top_up_timelines[outcome.budget].final_sum - top_up_timelines[
            outcome.budget
        ].get_sum_at(outcome.sent_at)
        line = spend_timelines.get(outcome.budget, Timeline())
        remaining = (
            prepaid_tokens[outcome.budget]
            - later_top_ups
            - line.get_sum_at(outcome.sent_at)
        )
        has_free_slot = (
            running_timeline.get_sum_at(outcome.sent_at)
            < slots.get_sum_at(outcome.sent_at) * MAX_BUSY_SHARE
        )
        if remaining >= outcome.worst_case_tokens and has_free_slot:
            verdicts.n_false_refusals += 1
            is_early = remaining > prepaid_tokens[outcome.budget] * (
                1.0 - NEARLY_USED_SHARE
            )
            verdicts.n_false_before_nearly_used += is_early
        else:
            verdicts.n_honest_refusals += 1
    return verdicts


def build_slot_timeline(scenario: Scenario, started_at: float) -> Timeline:
    """Return over time how many requests the engines and the site's watts allow."""
    engines = scenario.engines
    failing_engines: set[int] = set()
    ceiling = scenario.ceiling_watts
    timeline = Timeline()
    changes = [FaultTable(at_s=0.0, kind=FaultKind.HEAL), *scenario.faults]
    for fault in sorted(changes, key=lambda fault: fault.at_s):
        if fault.kind is FaultKind.CEILING:
            ceiling = fault.amount
        if fault.kind is FaultKind.ENGINE:
            failing_engines.discard(fault.engine)
            if fault.control.get("fail_fast"):
                failing_engines.add(fault.engine)
        n_slots = (engines.count - len(failing_engines)) * engines.max_running
        if engines.watts_per_request:
            free_watts = ceiling - engines.count * engines.idle_watts
            n_slots = min(n_slots, free_watts // engines.watts_per_request)
        timeline.times.append(started_at + fault.at_s)
        timeline.sums.append(n_slots)
    return timeline


def build_spend_timelines(
    executions: list[Execution], budgets: Mapping[str, str]
) -> dict[str, Timeline]:
    """Return the tokens spent from each budget over time."""
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for item in executions:
        steps[budgets[item.workspace]].append((item.started_at, item.tokens))
    return {name: Timeline.build(items) for name, items in steps.items()}


def build_top_up_timelines(
    top_ups: Iterable[tuple[float, str, int]],
) -> dict[str, Timeline]:
    """Return the tokens added to each budget over time."""
    steps: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for at, name, amount in top_ups:
        steps[name].append((at, amount))
    lines = {name: Timeline.build(items) for name, items in steps.items()}
    return defaultdict(Timeline, lines)


def compute_peak_watts(scenario: Scenario, running: Timeline) -> int:
    """Return the highest total power of the engines in watts."""
    engines = scenario.engines
    idle = engines.count * engines.idle_watts
    return idle + running.peak_sum * engines.watts_per_request
