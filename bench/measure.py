"""Run one variant of a scenario and measure it."""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

import psutil
from hdrh.histogram import HdrHistogram

from bench.fleet import BenchFleet, list_workspaces
from bench.load import LoadGenerator, Outcome, plan_arrivals
from bench.oracle import Verdicts, judge_run, read_executions
from bench.scenario import Scenario, Setting

US_PER_S = 1_000_000
MAX_US = 600 * US_PER_S
QUANTILES = (50, 95, 99)
SETTLE_WAIT_S = 3.0
MIN_HIGH_PRIORITY = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class HostCost:
    """Describe the resources that one host process has used."""

    cpu_s: float
    rss_mb: float


async def run_variant(
    scenario: Scenario, settings: dict[str, Setting]
) -> dict[str, float]:
    """Run a scenario once and return its measures by name."""
    launched = time.monotonic()
    async with BenchFleet(scenario=scenario, settings=settings) as fleet:
        ready_s = time.monotonic() - launched
        before = read_host_costs(fleet)
        relayed_before = fleet.proxies["log"].n_bytes
        log_before = await fleet.launcher.get_json(f"{fleet.log.url}/meter")
        peer_bytes_before = count_peer_bytes(fleet)
        load = LoadGenerator(fleet=fleet, arrivals=plan_arrivals(scenario))
        started = time.time()
        faults = asyncio.create_task(apply_faults(fleet))
        await load.run()
        await faults
        duration_s = max(time.time() - started, scenario.duration_s)
        if time.time() - started < scenario.duration_s:
            await asyncio.sleep(scenario.duration_s - (time.time() - started))
        after = read_host_costs(fleet)
        peer_bytes = count_peer_bytes(fleet) - peer_bytes_before
        relayed = fleet.proxies["log"].n_bytes - relayed_before
        log_after = await fleet.launcher.get_json(f"{fleet.log.url}/meter")
        await asyncio.sleep(SETTLE_WAIT_S)
        meters = [
            await fleet.launcher.get_json(f"{engine.url}/meter")
            for engine in fleet.engines
        ]
        executions = read_executions(meters)
        budgets = {item.name: item.budget for item in list_workspaces(scenario)}
        verdicts = judge_run(
            scenario,
            executions,
            load.outcomes,
            budgets,
            fleet.prepaid_tokens,
            fleet.top_ups,
            started,
        )
        measures = summarize_outcomes(load.outcomes, duration_s)
        measures |= summarize_verdicts(scenario, verdicts, load.outcomes, fleet)
        useful = sum(item.tokens for item in executions if item.is_finished)
        total = sum(item.tokens for item in executions)
        measures["useful_tokens_per_s"] = useful / duration_s
        measures["wasted_token_share"] = 1 - useful / total if total else 0.0
        measures |= summarize_log(log_before, log_after, duration_s)
        n_hosts = max(1, len(fleet.hosts))
        measures["host_log_bytes_per_s"] = relayed / duration_s / n_hosts
        measures["ready_s"] = ready_s
        measures["peer_bytes_per_host_s"] = peer_bytes / duration_s / n_hosts
        measures |= summarize_costs(before, after, duration_s)
        return measures


async def apply_faults(fleet: BenchFleet) -> None:
    """Apply the scenario's faults at their times."""
    started = time.monotonic()
    for fault in sorted(fleet.scenario.faults, key=lambda fault: fault.at_s):
        await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        await fleet.apply_fault(fault, time.time())


def read_host_costs(fleet: BenchFleet) -> dict[str, HostCost]:
    """Return the resources that each host process has used so far."""
    costs = {}
    for name, host in fleet.hosts.items():
        process = psutil.Process(host.process.pid)
        times = process.cpu_times()
        costs[name] = HostCost(
            cpu_s=times.user + times.system,
            rss_mb=process.memory_info().rss / 1_000_000,
        )
    return costs


def count_peer_bytes(fleet: BenchFleet) -> int:
    """Return the bytes that the proxies carried between hosts."""
    return sum(proxy.n_bytes for name, proxy in fleet.proxies.items() if name != "log")


def summarize_outcomes(outcomes: list[Outcome], duration_s: float) -> dict[str, float]:
    """Return the latencies and counts of attempts by name."""
    measures: dict[str, float] = {
        "n_tries": len(outcomes),
        "n_complete": sum(item.is_complete for item in outcomes),
        "complete_per_s": sum(item.is_complete for item in outcomes) / duration_s,
        "n_unknown": sum(item.effect == "unknown" for item in outcomes),
        "n_without_retry_after": sum(
            bool(item.effect) and not item.has_retry_after for item in outcomes
        ),
    }
    firsts = [item.first_token_s for item in outcomes if item.first_token_s is not None]
    gaps = [gap for item in outcomes for gap in item.gaps_s]
    high = [
        item.first_token_s
        for item in outcomes
        if item.first_token_s is not None and item.priority >= MIN_HIGH_PRIORITY
    ]
    refused = [
        item.ended_at - item.sent_at
        for item in outcomes
        if item.reason and item.effect == "not_run"
    ]
    measures |= summarize_times("first_token", firsts)
    measures |= summarize_times("first_token_high_priority", high)
    measures |= summarize_times("between_tokens", gaps)
    measures |= summarize_times("refusal", refused)
    for reason in sorted({item.reason for item in outcomes if item.reason}):
        n_reason = sum(item.reason == reason for item in outcomes)
        measures[f"n_refused.{reason}"] = n_reason
    return measures


def summarize_times(name: str, times_s: list[float]) -> dict[str, float]:
    """Return the percentiles of QUANTILES in milliseconds, nothing without times."""
    if not times_s:
        return {}
    histogram = HdrHistogram(1, MAX_US, 3)
    for value in times_s:
        histogram.record_value(max(1, int(value * US_PER_S)))
    return {
        f"{name}_p{quantile}_ms": histogram.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    }


def summarize_verdicts(
    scenario: Scenario, verdicts: Verdicts, outcomes: list[Outcome], fleet: BenchFleet
) -> dict[str, float]:
    """Return the oracle's findings as measures by name."""
    n_tries = max(1, len(outcomes))
    paid = sum(fleet.prepaid_tokens.values())
    return {
        "overspent_tokens": sum(verdicts.overspent_tokens.values()),
        "n_false_refusals": verdicts.n_false_refusals,
        "false_refusal_share": verdicts.n_false_refusals / n_tries,
        "n_false_before_99_percent_used": verdicts.n_false_before_nearly_used,
        "n_honest_refusals": verdicts.n_honest_refusals,
        "budget_used_share": sum(verdicts.spent_tokens_by_budget.values())
        / max(1, paid),
        "peak_watts_share": verdicts.peak_watts / max(1, scenario.ceiling_watts),
    }


def summarize_log(
    before: dict[str, Any], after: dict[str, Any], duration_s: float
) -> dict[str, float]:
    """Return the log's appends, records and bytes per second by name."""
    return {
        f"log_{name}_per_s": (after[name] - before[name]) / duration_s
        for name in ("appends", "records", "bytes")
    }


def summarize_costs(
    before: dict[str, HostCost], after: dict[str, HostCost], duration_s: float
) -> dict[str, float]:
    """Return processor time and memory per host, of hosts that ran all the time."""
    survivors = [name for name in before if name in after]
    if not survivors:
        return {}
    shares = [
        (after[name].cpu_s - before[name].cpu_s) / duration_s for name in survivors
    ]
    return {
        "host_cpu_share_mean": sum(shares) / len(shares),
        "host_cpu_share_max": max(shares),
        "host_rss_mb_max": max(after[name].rss_mb for name in survivors),
        "host_rss_growth_mb_max": max(
            after[name].rss_mb - before[name].rss_mb for name in survivors
        ),
    }
