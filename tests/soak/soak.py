"""Play one seed of the soak and return what broke a promise."""

import asyncio
import random
from dataclasses import dataclass

from tests.promises.crashing import CrashingTargets
from tests.promises.fleet import PlatformFleet
from tests.soak.callers import Callers, Outcome
from tests.soak.faults import Faults

N_HOSTS = 3
N_CALLERS = 8
# Ends within a seed's time, so that the end of a budget is played as well.
PREPAID_TOKENS = 50_000
# An answer with one of these says that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
OK = 200
WHOLE_STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))
WHOLE_ANSWER = b"whole answer"
# After this without a fault, every host has heard of what crashed targets.
CALM_S = 4.0
N_PROBES = 6
# What a host that was killed had seen is lost with it; as many repeats make it good.
MAX_CALM_CRASHES = 3


@dataclass(kw_only=True, slots=True)
class SoakResult:
    """Hold what a seed played and what it found."""

    seed: int
    n_requests: int
    n_served: int
    faults: list[str]
    findings: list[str]


async def play(seed: int, duration_s: float) -> SoakResult:
    """Start a fleet, call it under random faults, and check what came of it."""
    fleet = PlatformFleet(
        n_hosts=N_HOSTS, n_targets=3, prepaid=PREPAID_TOKENS, use_proxies=True
    )
    async with fleet:
        # Apart, so that the order of the faults is the seed's alone.
        callers = Callers(fleet=fleet, generator=random.Random(-seed))
        faults = Faults(fleet=fleet, generator=random.Random(seed))
        targets = CrashingTargets(fleet=fleet)
        tasks = [asyncio.create_task(callers.run(n)) for n in range(N_CALLERS)]
        tasks.append(asyncio.create_task(callers.repeat_crashing()))
        await faults.run(duration_s)
        callers.stopping = True
        await asyncio.gather(*tasks)
        findings = check(fleet, callers.outcomes + callers.crashing)
        findings += check_sound(callers.outcomes)
        findings += await check_crashing(targets, callers)
        findings += [
            f"{host.name} ended by itself with {host.process.returncode}"
            for host in fleet.hosts.values()
            if host.process.returncode is not None
        ]
        for host in fleet.hosts.values():
            findings += [line for line in host.lines if "handler_failed" in line]
    return SoakResult(
        seed=seed,
        n_requests=len(callers.outcomes),
        n_served=sum(item.status == OK and item.whole for item in callers.outcomes),
        faults=faults.log,
        findings=findings,
    )


def check(fleet: PlatformFleet, outcomes: list[Outcome]) -> list[str]:
    """Return what callers and targets saw that breaks a promise."""
    findings = check_budget(fleet, outcomes)
    for outcome in outcomes:
        findings += check_answer(outcome)
        n_runs = count_runs(fleet, outcome.request)
        if n_runs > 1 and outcome.path in ("/book/x", "/stream/x"):
            findings.append(f"{outcome.request} {outcome.path} ran {n_runs} times")
        if outcome.status in NOT_RUN and n_runs and outcome.path != "/look/x":
            findings.append(f"{outcome.request} got {outcome.status} and ran")
    return findings


def check_sound(outcomes: list[Outcome]) -> list[str]:
    """Check that no sound request is taken for one that crashes targets."""
    return [
        f"{outcome.request} {outcome.path} got {outcome.body!r}"
        for outcome in outcomes
        if b"crashes_targets" in outcome.body
    ]


async def check_crashing(targets: CrashingTargets, callers: Callers) -> list[str]:
    """Check that calm hosts stop sending the request that crashes targets."""
    if targets.n_crashes < MAX_CALM_CRASHES:
        return []
    await asyncio.sleep(CALM_S)
    before = targets.n_crashes
    for _ in range(N_PROBES):
        await callers.send_crashing()
        await targets.wait_until_restarted()
    n_crashes = targets.n_crashes - before
    if n_crashes > MAX_CALM_CRASHES:
        return [f"calm hosts let one request crash {n_crashes} of {N_PROBES} targets"]
    return []


def check_budget(fleet: PlatformFleet, outcomes: list[Outcome]) -> list[str]:
    """Count prompts once a request and the events that callers got."""
    prompts = {
        run.request: run.prompt_tokens
        for target in fleet.targets
        for run in target.runs
    }
    spent = sum(prompts.values())
    spent += sum(o.n_events for o in outcomes if o.path.startswith("/stream"))
    if spent > fleet.prepaid:
        return [f"{spent} tokens spent of {fleet.prepaid} prepaid"]
    return []


def check_answer(outcome: Outcome) -> list[str]:
    """Check that an answer is the caller's own, and whole if it looks so."""
    if outcome.answered_request not in ("", outcome.request):
        return [f"{outcome.request} got the answer of {outcome.answered_request}"]
    if outcome.status != OK or not outcome.whole:
        return []
    stream = outcome.path.startswith("/stream")
    expected = WHOLE_STREAM if stream else WHOLE_ANSWER
    if outcome.body != expected:
        return [f"{outcome.request} {outcome.path} looks whole: {outcome.body!r}"]
    return []


def count_runs(fleet: PlatformFleet, request: str) -> int:
    """Return how many targets began to work on a request."""
    return sum(run.request == request for t in fleet.targets for run in t.runs)
