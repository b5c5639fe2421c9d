"""Test hosts before a short log that loses calls, records and hosts."""

import asyncio
import unittest

from bench.emulator.clock import run_virtually
from tests.components.log_faults import SUSPECT_S, World
from trefoilstage.components.operators.server import VERDICT_WAIT_S
from trefoilstage.helpers.verdict import ACCEPTED

NAMES = ("a", "b", "c")
STEP_S = 0.05


async def start_short(world: World) -> None:
    """Wait until every host knows all others, then keep one record."""
    await world.settle()
    world.log.n_kept = 1


class LogFaultsTest(unittest.TestCase):
    """Let one thing go wrong at a time."""

    def test_record_that_only_a_restarted_host_has_is_asked_of_it(self) -> None:
        """Guard against a search that leaves out a host not yet announced."""

        async def play() -> None:
            async with World(names=NAMES) as world:
                await start_short(world)
                world.hosts["b"].faults.cut = world.hosts["c"].faults.cut = True
                await world.kill("a")
                await asyncio.sleep(2 * SUSPECT_S)
                await world.start("a")
                await asyncio.sleep(STEP_S)
                world.submit("a", 1)
                await asyncio.sleep(1.0)
                world.heal()
                async with asyncio.timeout(VERDICT_WAIT_S):
                    self.assertEqual(await world.submit("b", 2), ACCEPTED)
                await world.settle()

        run_virtually(play())


if __name__ == "__main__":
    unittest.main()
