"""Compare the tokens served below and above the targets' capacity.

Run with `python -m bench.trials.overload`. Every tenth request has high priority
and asks for one token, so that its duration is its time to the first token.
"""

import asyncio
import time

from tests.common import Fleet

N_HOSTS = 4
N_ENGINES = 3
N_SLOTS = 8
TOKENS_PER_S = 60
MAX_TOKENS = 40
HIGH_PRIORITY_INTERVAL = 10
WARM_UP_S = 3.0
MEASURED_S = 10.0
ENGINE_OPTIONS = (
    "--tokens-per-s",
    str(TOKENS_PER_S),
    "--max-running",
    str(N_SLOTS),
)
CAPACITY_REQUESTS_PER_S = N_ENGINES * N_SLOTS * TOKENS_PER_S / MAX_TOKENS
LOW_PRIORITY_HEADERS = {"X-Priority": "1"}


def render_target_limits() -> str:
    """Return a configuration file with the concurrency limit of each target."""
    return "".join(
        f"[targets.engine-{number}]\nmax_concurrent = {N_SLOTS}\n"
        for number in range(N_ENGINES)
    )


async def measure(factor: float) -> None:
    """Print throughput and latencies at a multiple of the capacity."""
    async with Fleet(
        n_hosts=N_HOSTS,
        n_engines=N_ENGINES,
        engine_options=ENGINE_OPTIONS,
        tokens=50_000_000,
    ) as fleet:
        await fleet.publish("20-places.toml", render_target_limits())
        high_s: list[float] = []
        refusals_s: list[float] = []

        async def send(number: int) -> None:
            is_high_priority = number % HIGH_PRIORITY_INTERVAL == 0
            started = time.monotonic()
            answer = await fleet.chat(
                fleet.hosts[number % N_HOSTS],
                max_tokens=1 if is_high_priority else MAX_TOKENS,
                headers=None if is_high_priority else LOW_PRIORITY_HEADERS,
            )
            duration_s = time.monotonic() - started
            if answer.status != 200:
                refusals_s.append(duration_s)
            elif is_high_priority:
                high_s.append(duration_s)

        tasks: list[asyncio.Task[None]] = []
        n_tokens_before: list[int] = []
        started = time.monotonic()
        while time.monotonic() < started + WARM_UP_S + MEASURED_S:
            tasks.append(asyncio.create_task(send(len(tasks))))
            if not n_tokens_before and time.monotonic() >= started + WARM_UP_S:
                n_tokens_before.append(await fleet.count_executed_tokens())
            await asyncio.sleep(1 / (CAPACITY_REQUESTS_PER_S * factor))
        tokens = await fleet.count_executed_tokens() - n_tokens_before[0]
        await asyncio.gather(*tasks)
        high_s.sort()
        refusals_s.sort()
        slowest_s = refusals_s[-1] if refusals_s else 0.0
        print(
            f"factor={factor} tokens_per_s={tokens / MEASURED_S:.0f} "
            f"high_p50_s={high_s[len(high_s) // 2]:.3f} "
            f"high_p95_s={high_s[len(high_s) * 95 // 100]:.3f} n_high={len(high_s)} "
            f"refused={len(refusals_s)}/{len(tasks)} slowest_refusal_s={slowest_s:.2f}"
        )


async def main() -> None:
    """Measure at 0.9, 1.2 and 2 times the capacity."""
    for factor in (0.9, 1.2, 2.0):
        await measure(factor)


if __name__ == "__main__":
    asyncio.run(main())
