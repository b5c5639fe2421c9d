"""Compare hosts that share a site's watts with a single host that uses all of them.

Run with `python -m bench.trials.power_divider`. The load exceeds what the
ceiling allows, so the tokens served show which share of the watts was used.
"""

import asyncio
import time

from tests.answers import CallerAnswer
from tests.common import Fleet

N_ENGINES = 6
N_SLOTS = 48
IDLE_WATTS = 100
WATTS_PER_REQUEST = 30
CEILING_WATTS = N_ENGINES * IDLE_WATTS + N_SLOTS * WATTS_PER_REQUEST
REQUESTS_PER_S = 100
WARM_UP_S = 3.0
MEASURED_S = 10.0
MAX_TOKENS = 40
ENGINE_OPTIONS = (
    "--tokens-per-s",
    "60",
    "--idle-watts",
    str(IDLE_WATTS),
    "--watts-per-request",
    str(WATTS_PER_REQUEST),
)


def render_power_limits() -> str:
    """Return a configuration file whose ceiling allows N_SLOTS requests."""
    lines = [f"[sites.brest]\nceiling_watts = {CEILING_WATTS}"]
    lines += [
        f"[targets.engine-{number}]\nwatts_per_request = {WATTS_PER_REQUEST}"
        for number in range(N_ENGINES)
    ]
    return "\n".join(lines) + "\n"


async def measure(n_hosts: int) -> None:
    """Print the tokens served and the mean share of the slots in use."""
    async with Fleet(
        n_hosts=n_hosts,
        n_engines=N_ENGINES,
        engine_options=ENGINE_OPTIONS,
        tokens=50_000_000,
    ) as fleet:
        await fleet.publish("20-power.toml", render_power_limits())
        tasks: list[asyncio.Task[CallerAnswer]] = []
        started = time.monotonic()
        n_tokens_before: list[int] = []
        while time.monotonic() < started + WARM_UP_S + MEASURED_S:
            host = fleet.hosts[len(tasks) % n_hosts]
            tasks.append(asyncio.create_task(fleet.chat(host, max_tokens=MAX_TOKENS)))
            if not n_tokens_before and time.monotonic() >= started + WARM_UP_S:
                n_tokens_before.append(await fleet.count_executed_tokens())
            await asyncio.sleep(1 / REQUESTS_PER_S)
        tokens = await fleet.count_executed_tokens() - n_tokens_before[0]
        ended = time.monotonic()
        answers = await asyncio.gather(*tasks)
        power = await fleet.list_power_changes()
        used_share = compute_used_share(power, started + WARM_UP_S, ended)
        refused = sum(answer.status != 200 for answer in answers)
        highest_watts = max(watts for _, watts in power)
        print(
            f"hosts={n_hosts} tokens_per_s={tokens / MEASURED_S:.0f} "
            f"slots_used={used_share:.3f} refused={refused}/{len(answers)} "
            f"highest_watts={highest_watts} ceiling={CEILING_WATTS}"
        )


def compute_used_share(
    power: list[tuple[float, int]], begin: float, end: float
) -> float:
    """Return the mean share of the slots in use between two times."""
    watt_seconds = 0.0
    for (at, watts), (until, _) in zip(power, power[1:], strict=False):
        duration_s = min(until, end) - max(at, begin)
        if duration_s > 0:
            watt_seconds += duration_s * (watts - N_ENGINES * IDLE_WATTS)
    return watt_seconds / (end - begin) / (N_SLOTS * WATTS_PER_REQUEST)


async def main() -> None:
    """Measure one host, then eight, twice each."""
    for n_hosts in (1, 8, 1, 8):
        await measure(n_hosts)


if __name__ == "__main__":
    asyncio.run(main())
