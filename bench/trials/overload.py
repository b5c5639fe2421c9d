"""Compare the tokens served at one and two times the targets' capacity.

Run with `python -m bench.trials.overload`. Every tenth request has high priority
and asks for one token, so that its duration is its time to the first token.
"""

import asyncio
import time

from tests.common import Fleet

N_HOSTS = 4
N_ENGINES = 3
N_PLACES = 8
TOKENS_PER_S = 60
MAX_TOKENS = 40
HIGH_EVERY = 10
WARM_UP_S = 3.0
MEASURED_S = 10.0
ENGINE_OPTIONS = (
    "--tokens-per-s",
    str(TOKENS_PER_S),
    "--max-running",
    str(N_PLACES),
)
CAPACITY = N_ENGINES * N_PLACES * TOKENS_PER_S / MAX_TOKENS
LOW = {"X-Priority": "1"}


def make_places() -> str:
    """Return a configuration file with the places of each target."""
    return "".join(
        f"[targets.engine-{number}]\nmax_concurrent = {N_PLACES}\n"
        for number in range(N_ENGINES)
    )


async def measure(factor: float) -> None:
    """Print what was served at a multiple of the capacity."""
    async with Fleet(
        n_hosts=N_HOSTS,
        n_engines=N_ENGINES,
        engine_options=ENGINE_OPTIONS,
        tokens=50_000_000,
    ) as fleet:
        await fleet.publish("20-places.toml", make_places())
        high: list[float] = []
        refusals: list[float] = []

        async def send(number: int) -> None:
            is_high = number % HIGH_EVERY == 0
            started = time.monotonic()
            answer = await fleet.chat(
                fleet.hosts[number % N_HOSTS],
                max_tokens=1 if is_high else MAX_TOKENS,
                headers=None if is_high else LOW,
            )
            duration_s = time.monotonic() - started
            if answer.status != 200:
                refusals.append(duration_s)
            elif is_high:
                high.append(duration_s)

        tasks: list[asyncio.Task[None]] = []
        marks: list[int] = []
        started = time.monotonic()
        while time.monotonic() < started + WARM_UP_S + MEASURED_S:
            tasks.append(asyncio.create_task(send(len(tasks))))
            if not marks and time.monotonic() >= started + WARM_UP_S:
                marks.append(await fleet.count_executed())
            await asyncio.sleep(1 / (CAPACITY * factor))
        tokens = await fleet.count_executed() - marks[0]
        await asyncio.gather(*tasks)
        high.sort()
        refusals.sort()
        last = refusals[-1] if refusals else 0.0
        print(
            f"factor={factor} tokens_per_s={tokens / MEASURED_S:.0f} "
            f"high_p50_s={high[len(high) // 2]:.3f} "
            f"high_p95_s={high[len(high) * 95 // 100]:.3f} n_high={len(high)} "
            f"refused={len(refusals)}/{len(tasks)} slowest_refusal_s={last:.2f}"
        )


async def main() -> None:
    """Measure below, at and above the capacity."""
    for factor in (0.9, 1.2, 2.0):
        await measure(factor)


if __name__ == "__main__":
    asyncio.run(main())
