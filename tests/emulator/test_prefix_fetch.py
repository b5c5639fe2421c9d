"""Test what callers get where engines fetch KV cache from each other."""

import asyncio
import functools
import unittest
from typing import Any

from bench.emulator.callers import Result
from bench.emulator.clock import run_in_virtual_time
from bench.emulator.engine import (
    DARK_SOURCE_S,
    EmulatedEngine,
    EngineSpeed,
    Generation,
)
from bench.emulator.results import compute_share
from bench.emulator.scenario import Fault, FaultKind, load_scenario
from bench.emulator.world import DayResult, run_day
from trefoilstage.components.forwarding.models import PromptPart

SEED = 1
LONG_SUBJECT_SEED = 2  # the subject in demand has 53,200 tokens
SHARED = PromptPart(name="dossier", n_tokens=13_000)
PROMPT = (SHARED, PromptPart(name="own", n_tokens=1_000))


@functools.cache
def run_demand(seed: int, *faults: Fault, fetches: bool = True) -> DayResult:
    """Run a day with a subject in demand."""
    scenario = load_scenario("subject-in-demand")
    engines = scenario.engines
    if not fetches:
        engines = engines.model_copy(update={"kv_bytes": 0.0})
    changes = {"engines": engines, "faults": faults}
    return run_day(scenario.model_copy(update=changes), seed)


def get_in_time(day: DayResult) -> float:
    """Return the share of requests in time."""
    return compute_share(day.outcomes, Result.IN_TIME)


class DemandTest(unittest.TestCase):
    """Compare days with and without fetches."""

    def test_more_callers_are_in_time_and_less_is_processed_again(self) -> None:
        """Guard against a long subject that is processed again and again."""
        with_fetch = run_demand(LONG_SUBJECT_SEED)
        without = run_demand(LONG_SUBJECT_SEED, fetches=False)
        self.assertGreater(get_in_time(with_fetch), get_in_time(without) + 0.2)
        self.assertLess(
            with_fetch.engine_totals.n_prefilled,
            0.95 * without.engine_totals.n_prefilled,
        )
        self.assertEqual(without.engine_totals.n_fetches, 0)

    def test_callers_lose_nothing_where_few_fetches_are_possible(self) -> None:
        with_fetch, without = run_demand(SEED), run_demand(SEED, fetches=False)
        self.assertGreater(get_in_time(with_fetch), get_in_time(without) - 0.01)
        again = with_fetch.engine_totals.n_prefilled_again
        self.assertLess(again, without.engine_totals.n_prefilled_again)
        empty = with_fetch.engine_totals.n_empty_fetches
        self.assertLess(empty, 0.2 * with_fetch.engine_totals.n_fetches)

    def test_callers_are_served_while_sources_restart(self) -> None:
        """Guard against fetches that fail because their sources are gone."""
        crash = Fault(kind=FaultKind.ENGINES_CRASHED, at_s=4.0, for_s=1.0, share=0.25)
        with_fetch = run_demand(SEED, crash)
        without = run_demand(SEED, crash, fetches=False)
        failed = [
            compute_share(d.outcomes, Result.FAILED) for d in (with_fetch, without)
        ]
        self.assertLess(failed[0], failed[1] + 0.01)
        self.assertGreater(get_in_time(with_fetch), get_in_time(without) - 0.02)

    def test_dark_sources_delay_few_callers(self) -> None:
        """Guard against one prompt after another that hangs at the same source."""
        dark = Fault(kind=FaultKind.ENGINES_DARK, at_s=3.0, for_s=8.0, share=0.5)
        day, without = run_demand(SEED, dark), run_demand(SEED, fetches=False)
        self.assertGreater(get_in_time(day), get_in_time(without) - 0.1)


class EngineFetchTest(unittest.TestCase):
    """Test fetches between emulated engines, in virtual time."""

    def fetch(self, prepare: Any = None) -> tuple[float, int]:
        """Return the time of a prompt's first token, and the tokens processed.

        Another engine has processed the prompt; `prepare` changes it afterwards.
        """

        async def main() -> tuple[float, int]:
            speed = EngineSpeed(kv_bytes_per_token=18_432, transfer_bytes_per_s=9.25e10)
            source, receiver = (
                EmulatedEngine(name=name, speed=speed, duration_factor=1.0)
                for name in ("source", "receiver")
            )
            await generate(source)
            if prepare is not None:
                prepare(source)
            began_at = asyncio.get_running_loop().time()
            await receiver.fetch(PROMPT, source)
            await generate(receiver)
            seconds = asyncio.get_running_loop().time() - began_at
            return seconds, receiver.totals.n_prefilled

        return run_in_virtual_time(main())

    def test_fetched_tokens_are_not_processed(self) -> None:
        seconds, n_prefilled = self.fetch()
        self.assertLess(seconds, 0.03)
        self.assertEqual(n_prefilled, 1)

    def test_emptied_source_costs_the_processing(self) -> None:
        """Guard against a request that is lost because its source lost the prefix."""

        def restart(source: EmulatedEngine) -> None:
            source.crash()
            source.restart()

        for empty in (restart, lambda source: source._cache.clear()):
            seconds, n_prefilled = self.fetch(empty)
            self.assertTrue(0.2 < seconds < 0.4)
            self.assertEqual(n_prefilled, 14_000)

    def test_dark_source_delays_the_processing(self) -> None:
        def darken(source: EmulatedEngine) -> None:
            source.is_dark = True

        seconds, n_prefilled = self.fetch(darken)
        self.assertGreater(seconds, DARK_SOURCE_S)
        self.assertEqual(n_prefilled, 14_000)

    def test_transfers_run_one_after_another(self) -> None:
        """Guard against transfers that share a link without slowing each other."""

        async def main() -> float:
            speed = EngineSpeed(kv_bytes_per_token=1, transfer_bytes_per_s=13_000)
            engines = [
                EmulatedEngine(name=name, speed=speed, duration_factor=1.0)
                for name in ("source", "a", "b")
            ]
            await generate(engines[0])
            began_at = asyncio.get_running_loop().time()
            fetches = [item.fetch((SHARED,), engines[0]) for item in engines[1:]]
            await asyncio.gather(*fetches)
            return asyncio.get_running_loop().time() - began_at

        self.assertAlmostEqual(run_in_virtual_time(main()), 2.005, places=3)


async def generate(engine: EmulatedEngine) -> None:
    """Let an engine generate the first token of the prompt."""
    generation = Generation(request_id="r", prompt=PROMPT, n_output_tokens=1, urgency=5)
    engine.enqueue(generation)
    await generation.events.get()


if __name__ == "__main__":
    unittest.main()
