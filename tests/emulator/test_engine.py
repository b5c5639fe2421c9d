"""Test the emulated engine."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

from bench.emulator.clock import run_in_virtual_time
from bench.emulator.engine import EmulatedEngine, EngineSpeed, Generation
from trefoilstage.components.forwarding.models import PromptPart


def make_generation(
    name: str, *parts: tuple[str, int], n_output: int = 5, urgency: int = 5
) -> Generation:
    """Return a request whose prompt has shared parts and 100 tokens of its own."""
    prompt = [PromptPart(name=part, n_tokens=n_tokens) for part, n_tokens in parts]
    prompt.append(PromptPart(name=name, n_tokens=100))
    return Generation(
        request_id=name, prompt=prompt, n_output_tokens=n_output, urgency=urgency
    )


async def wait_for_first_event(generation: Generation) -> float:
    """Return the time of a request's first event, 0 if the request is lost."""
    n_generated = await generation.events.get()
    return asyncio.get_running_loop().time() if n_generated else 0.0


class EngineTest(unittest.TestCase):
    """Test one engine in virtual time."""

    def run_with_engine(self, use: Any, **speed: Any) -> Any:
        """Run a coroutine function with an engine in virtual time."""

        async def main() -> Any:
            engine = EmulatedEngine(
                name="engine-0", speed=EngineSpeed(**speed), duration_factor=1.0
            )
            return await use(engine)

        coroutine: Coroutine[Any, Any, Any] = main()
        return run_in_virtual_time(coroutine)

    def test_long_prompt_takes_longer_by_attention(self) -> None:
        """Prefill 13,000 tokens: 0.2 s at the prefill rate, more with attention."""

        async def use(engine: EmulatedEngine) -> float:
            generation = make_generation("r-1", ("dossier", 13_000))
            engine.enqueue(generation)
            return await wait_for_first_event(generation)

        self.assertTrue(0.2 < self.run_with_engine(use) < 0.32)

    def test_cached_part_is_not_prefilled_again(self) -> None:
        """Send a dossier twice; the second prefill takes a tenth of the time."""

        async def use(engine: EmulatedEngine) -> tuple[float, int]:
            first = make_generation("r-1", ("dossier", 13_000))
            engine.enqueue(first)
            first_at = await wait_for_first_event(first)
            second = make_generation("r-2", ("dossier", 13_000))
            engine.enqueue(second)
            return await wait_for_first_event(
                second
            ) - first_at, engine.totals.n_prefilled_again

        seconds, n_prefilled_again = self.run_with_engine(use)
        self.assertLess(seconds, 0.03)
        self.assertEqual(n_prefilled_again, 0)

    def test_part_being_prefilled_is_reused_by_the_next_prompt(self) -> None:
        """Send a second prompt while the first one prefills the dossier of both."""

        async def use(engine: EmulatedEngine) -> int:
            first = make_generation("r-1", ("dossier", 13_000))
            second = make_generation("r-2", ("dossier", 13_000))
            engine.enqueue(first)
            engine.enqueue(second)
            await wait_for_first_event(first)
            await wait_for_first_event(second)
            return engine.totals.n_prefilled

        self.assertLess(self.run_with_engine(use), 14_000)

    def test_short_prompt_waits_behind_a_long_one(self) -> None:
        """Send a short prompt right after one of 40,000 tokens."""

        async def use(engine: EmulatedEngine) -> float:
            engine.enqueue(make_generation("r-1", ("dossier", 40_000)))
            short = make_generation("r-2")
            engine.enqueue(short)
            return await wait_for_first_event(short)

        self.assertGreater(self.run_with_engine(use), 0.6)

    def test_full_cache_evicts_the_oldest_part(self) -> None:
        """Send three dossiers with cache for two; the first is prefilled again."""

        async def use(engine: EmulatedEngine) -> int:
            for number, part in enumerate(("a", "b", "c", "a")):
                generation = make_generation(f"r-{number}", (part, 10_000))
                engine.enqueue(generation)
                while (await generation.events.get()) != 5:
                    pass
            return engine.totals.n_prefilled_again

        self.assertEqual(self.run_with_engine(use, kv_tokens=25_000), 10_000)

    def test_crash_loses_requests(self) -> None:
        """Crash an engine during a prefill; it restarts without the request."""

        async def use(engine: EmulatedEngine) -> tuple[float, int]:
            generation = make_generation("r-1", ("dossier", 13_000))
            engine.enqueue(generation)
            await asyncio.sleep(0.1)
            engine.crash()
            first_at = await wait_for_first_event(generation)
            engine.restart()
            return first_at, engine.started_ms

        self.assertEqual(self.run_with_engine(use), (0.0, 2))


if __name__ == "__main__":
    unittest.main()
