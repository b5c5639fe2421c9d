"""Run one seed of the soak test and return the broken guarantees."""

import asyncio
import random
import re
import time
from collections import Counter, defaultdict
from dataclasses import dataclass

from standins.platform import LOOPBACK
from tests.promises.crashing import CrashingTargets
from tests.promises.fleet import (
    COLD_RATE_FACTOR,
    COLD_RATE_SLACK,
    PlatformFleet,
)
from tests.saved_output import save_process_output
from tests.soak.callers import DEADLINE_MS, SURGE_KEY, Callers, Outcome
from tests.soak.faults import (
    EVACUATED_TARGET,
    EVENT_INTERVAL_S,
    LIMIT_PER_S,
    Faults,
)
from tests.soak.kinds import (
    COLD_REQUESTS_PER_S,
    N_CALLERS,
    SeedKind,
    draw_kind,
    make_fleet,
    set_kind,
)
from tests.soak.stops import Stops

N_USUAL_CALLERS = 8
# These statuses mean that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
PROBE_INTERVAL_S = 0.1
# Hosts must send nothing to an evacuated data centre after this time.
EVACUATION_LIMIT_S = 5.0
# A stream takes 0.6 s.
N_EVENTS = 12
WHOLE_STREAM = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)]
VERSION_LINE = re.compile(rb"^version: .*\n", re.MULTILINE)
WHOLE_ANSWER = b"whole answer"
# After this time without a fault, every host has received the evidence of all crashes.
SETTLE_S = 4.0
N_PROBES = 6
# What a target tolerates above a limit that it named, in any period of this length.
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK = 5
LIMIT_PERIOD_S = 4.0
# Requests that were under way when a target asked for rest reach it within this time.
UNDER_WAY_S = 0.5
MAX_SENDS_IN_REST = 2
# A killed host's evidence of crashes is lost; this many more crashes replace it.
MAX_SETTLED_CRASHES = 3
# A busy machine delays an answer by up to 1 s.
MAX_REFUSAL_S = DEADLINE_MS / 1000 / 2 + 1.0
RECOVERY_S = 5.0


@dataclass(kw_only=True, slots=True)
class SoakResult:
    """Describe the requests, faults and findings of one seed."""

    seed: int
    kind: SeedKind
    n_fetches: int
    n_overloaded: int
    statuses: dict[int, int]
    n_requests: int
    n_served: int
    faults: list[str]
    findings: list[str]


async def run_soak_seed(
    seed: int, duration_s: float, kind: SeedKind | None = None
) -> SoakResult:
    """Start a fleet, call it under random faults, and check the results.

    Without a kind, the seed's own is used.
    """
    kind = kind or draw_kind(seed)
    fleet = make_fleet(kind)
    async with fleet:
        # Separate generators, so that the order of the faults depends on the seed only.
        callers = Callers(fleet=fleet, generator=random.Random(-seed))
        faults = Faults(fleet=fleet, generator=random.Random(seed))
        for target in fleet.targets:
            target.names_version = True
            target.n_events = N_EVENTS
            target.event_interval_s = EVENT_INTERVAL_S
        set_kind(kind, fleet, faults, callers)
        targets = CrashingTargets(fleet=fleet, changes_versions=True)
        stops = Stops(fleet=fleet, generator=random.Random(seed))
        n_callers = N_CALLERS.get(kind, N_USUAL_CALLERS)
        tasks = [asyncio.create_task(callers.run(n)) for n in range(n_callers)]
        if kind is SeedKind.STOPS:
            await stops.run(duration_s)
        else:
            tasks.append(asyncio.create_task(callers.repeat_crashing()))
            await faults.run(duration_s)
        callers.is_stopping = True
        await asyncio.gather(*tasks)
        findings = list_violations(fleet, callers.outcomes + callers.crashing_outcomes)
        findings += list_mixed_streams(callers.outcomes)
        findings += list_runs_while_evacuated(fleet, faults)
        findings += list_runs_above_cold_rate(fleet, faults)
        findings += list_runs_above_named_limit(fleet, faults)
        for host in fleet.hosts.values():
            findings += list_sends_while_resting(host.lines)
        findings += list_blocked_harmless_requests(callers.outcomes)
        findings += list_late_refusals(callers.outcomes, faults)
        findings += list_wrong_sources(fleet, faults)
        if kind is SeedKind.STOPS:
            findings += stops.list_lost(callers.outcomes)
        if kind in (SeedKind.QUEUE, SeedKind.CRASH_QUEUE):
            findings += await list_unserved_after_surges(callers)
        findings += await list_repeated_crashes(targets, callers)
        findings += [
            f"{host.name} ended by itself with {host.process.returncode}"
            for host in fleet.hosts.values()
            if host.process.returncode is not None
        ]
        for host in fleet.hosts.values():
            findings += [line for line in host.lines if "handler_failed" in line]
        if findings:
            hosts = [*stops.ended, *fleet.hosts.values()]
            save_process_output({f"{h.name}-{h.process.pid}": h.lines for h in hosts})
    return SoakResult(
        seed=seed,
        kind=kind,
        n_fetches=sum(bool(r.fetch_from) for t in fleet.targets for r in t.runs),
        n_overloaded=sum(is_overloaded(item) for item in callers.outcomes),
        statuses=dict(Counter(item.status for item in callers.outcomes)),
        n_requests=len(callers.outcomes),
        n_served=sum(
            item.status == HTTP_OK and item.is_whole for item in callers.outcomes
        ),
        faults=faults.fault_names + ["stop"] * len(stops.ended),
        findings=findings,
    )


def list_violations(fleet: PlatformFleet, outcomes: list[Outcome]) -> list[str]:
    """Return the guarantees that the outcomes and the targets' runs show as broken."""
    findings = list_overspending(fleet, outcomes)
    for outcome in outcomes:
        findings += list_answer_violations(outcome)
        n_runs = count_runs(fleet, outcome.request)
        if n_runs > 1 and outcome.path in ("/book/x", "/stream/x"):
            findings.append(f"{outcome.request} {outcome.path} ran {n_runs} times")
        if outcome.status in NOT_RUN_STATUSES and n_runs and outcome.path != "/look/x":
            findings.append(f"{outcome.request} got {outcome.status} and ran")
    return findings


def list_mixed_streams(outcomes: list[Outcome]) -> list[str]:
    """Return the streams that hold events of several versions."""
    versions: dict[str, set[str]] = defaultdict(set)
    for outcome in outcomes:
        versions[outcome.stream] |= outcome.versions
    return [
        f"{stream} holds events of {sorted(found)}"
        for stream, found in versions.items()
        if len(found) > 1
    ]


def list_runs_while_evacuated(fleet: PlatformFleet, faults: Faults) -> list[str]:
    """Return the runs at evacuated targets that began long after the evacuation."""
    return [
        f"{run.request} ran {run.started_at - period.start:.1f} s into an evacuation"
        for run in fleet.targets[EVACUATED_TARGET].runs
        for period in faults.evacuations
        if period.start + EVACUATION_LIMIT_S < run.started_at < period.end
    ]


def list_runs_above_cold_rate(fleet: PlatformFleet, faults: Faults) -> list[str]:
    """Return the targets that ran more than allowed in a second while cold."""
    limit = COLD_RATE_FACTOR * COLD_REQUESTS_PER_S + COLD_RATE_SLACK
    findings: list[str] = []
    for target in fleet.targets:
        for period in faults.cold_periods:
            times = [
                run.started_at
                for run in target.runs
                if period.start <= run.started_at < period.end
            ]
            n_most = max(
                (sum(t <= other < t + 1.0 for other in times) for t in times), default=0
            )
            if n_most > limit:
                findings.append(f"{target.name} ran {n_most} in a second while cold")
    return findings


def list_runs_above_named_limit(fleet: PlatformFleet, faults: Faults) -> list[str]:
    """Return the targets that ran more than they tolerate above a limit they named."""
    tolerated = LIMIT_TOLERANCE * LIMIT_PER_S * LIMIT_PERIOD_S + LIMIT_SLACK
    findings: list[str] = []
    for target in fleet.targets:
        period = faults.limited_periods.get(target.incarnation)
        if period is None:
            continue
        times = [
            run.started_at
            for run in target.runs
            if period.start <= run.started_at < period.end
        ]
        n_most = max(
            (sum(t <= other < t + LIMIT_PERIOD_S for other in times) for t in times),
            default=0,
        )
        if n_most > tolerated:
            findings.append(f"{target.name} ran {n_most} in a period with a limit")
    return findings


def list_sends_while_resting(lines: list[str]) -> list[str]:
    """Return a host's sends to targets in the rest that they had asked it for."""
    findings: list[str] = []
    fields = [parse_fields(line) for line in lines]
    rests = [item for item in fields if item["message_type"] == "target_asked_for_rest"]
    for rest in rests:
        asked_at = float(rest["timestamp"])
        name = rest["target"].partition("@")[0]
        restarts = [
            float(item["timestamp"])
            for item in fields
            if item["message_type"] == "target_listed"
            and item["target"] == name
            and f"{name}@{item['started_ms']}" != rest["target"]
            and float(item["timestamp"]) > asked_at
        ]
        ends_at = min([asked_at + float(rest["rest_s"]), *restarts])
        sends = [
            item
            for item in fields
            if item["message_type"] == "request_sent"
            and item["target"] == name
            and asked_at + UNDER_WAY_S < float(item["timestamp"]) < ends_at
        ]
        if len(sends) > MAX_SENDS_IN_REST:
            findings.append(f"{len(sends)} sends to {rest['target']} in its rest")
    return findings


def parse_fields(line: str) -> dict[str, str]:
    """Return the key=value pairs of a log line."""
    pairs = (word.partition("=") for word in line.split())
    return {"message_type": "", **{key: value for key, _, value in pairs}}


def is_overloaded(outcome: Outcome) -> bool:
    """Return whether the admission queue refused a request."""
    return outcome.status == HTTP_UNAVAILABLE and b"overloaded" in outcome.body


def list_late_refusals(outcomes: list[Outcome], faults: Faults) -> list[str]:
    """Return the refusals that took over half of a deadline, without paused hosts.

    Requests that may be sent again can be refused on a later attempt.
    """
    findings: list[str] = []
    for outcome in outcomes:
        if not is_overloaded(outcome) or outcome.path not in ("/book/x", "/stream/x"):
            continue
        paused_s = sum(
            max(0.0, min(outcome.ended_at, p.end) - max(outcome.began_at, p.start))
            for p in faults.pauses
        )
        waited_s = outcome.ended_at - outcome.began_at - paused_s
        if waited_s > MAX_REFUSAL_S:
            findings.append(f"{outcome.request} was refused after {waited_s:.2f} s")
    return findings


async def list_unserved_after_surges(callers: Callers) -> list[str]:
    """Return a finding if callers are not served soon after all faults."""
    ends_at = time.monotonic() + RECOVERY_S
    statuses: list[int] = []
    while time.monotonic() < ends_at:
        statuses.append((await callers.call_in_surge()).status)
        if statuses[-N_PROBES:] == [HTTP_OK] * N_PROBES:
            return []
        await asyncio.sleep(PROBE_INTERVAL_S)
    return [f"after the surges callers got {statuses}"]


def list_wrong_sources(fleet: PlatformFleet, faults: Faults) -> list[str]:
    """Return the fetches from the target itself, or from one not listed for long."""
    numbers = {f"{LOOPBACK}:{port}": n for n, port in enumerate(fleet.ports)}
    for proxies in fleet.target_proxies.values():
        numbers |= {f"{LOOPBACK}:{p.port}": n for n, p in enumerate(proxies)}
    findings: list[str] = []
    for number, target in enumerate(fleet.targets):
        for run in target.runs:
            if not run.fetch_from:
                continue
            source = numbers.get(run.fetch_from)
            is_removed = any(
                removed == source
                and period.start + EVACUATION_LIMIT_S < run.started_at < period.end
                for removed, period in faults.removals
            )
            if source is None or source == number or is_removed:
                findings.append(f"{run.request} at {number} fetched from {source}")
    return findings


def list_blocked_harmless_requests(outcomes: list[Outcome]) -> list[str]:
    """Return the harmless requests that were blocked as crashing targets."""
    return [
        f"{outcome.request} {outcome.path} got {outcome.body!r}"
        for outcome in outcomes
        if b"crashes_targets" in outcome.body
    ]


async def list_repeated_crashes(
    targets: CrashingTargets, callers: Callers
) -> list[str]:
    """Return a finding if hosts without faults keep sending crashing requests."""
    if targets.n_crashes < MAX_SETTLED_CRASHES:
        return []
    await asyncio.sleep(SETTLE_S)
    findings: list[str] = []
    for cause, send in (
        ("request", callers.send_crashing),
        ("part", callers.send_crashing_part),
    ):
        before = targets.n_crashes
        for _ in range(N_PROBES):
            await send()
            await targets.wait_until_restarted()
        n_crashes = targets.n_crashes - before
        if n_crashes > MAX_SETTLED_CRASHES:
            findings.append(
                f"after the faults one {cause} crashed {n_crashes} targets"
                f" in {N_PROBES} sends"
            )
    return findings


def list_overspending(fleet: PlatformFleet, outcomes: list[Outcome]) -> list[str]:
    """Return a finding if more than the prepaid tokens was spent.

    The spend is each request's prompt, counted once, and the events that callers got.
    """
    prompts = {
        run.request: run.prompt_tokens
        for target in fleet.targets
        for run in target.runs
        if run.tenant != "surging"
    }
    spent = sum(prompts.values())
    spent += sum(
        o.n_events
        for o in outcomes
        if o.path.startswith("/stream") and o.key != SURGE_KEY
    )
    if spent > fleet.prepaid:
        return [f"{spent} tokens spent of {fleet.prepaid} prepaid"]
    return []


def list_answer_violations(outcome: Outcome) -> list[str]:
    """Return a finding if an answer is another caller's, or only looks complete."""
    if outcome.answered_request not in ("", outcome.request):
        return [f"{outcome.request} got the answer of {outcome.answered_request}"]
    if outcome.status != HTTP_OK or not outcome.is_whole:
        return []
    stream = outcome.path.startswith("/stream")
    events = VERSION_LINE.sub(b"", outcome.body)
    expected = WHOLE_ANSWER
    if stream:
        expected = b"".join(WHOLE_STREAM[outcome.last_event_id :])
    if events != expected:
        return [f"{outcome.request} {outcome.path} looks whole: {outcome.body!r}"]
    return []


def count_runs(fleet: PlatformFleet, request: str) -> int:
    """Return how many times targets started a request."""
    return sum(run.request == request for t in fleet.targets for run in t.runs)
