"""Run the soak test with short seeds, and with each seed that has ever failed."""

import unittest

from tests.soak.kinds import SeedKind
from tests.soak.soak import run_soak_seed

SEEDS = (
    (1, SeedKind.PLAIN),
    (2, SeedKind.PLAIN),
    (16, SeedKind.PLAIN),
    (3, SeedKind.QUEUE),
    (4, SeedKind.FETCH),
)
DURATION_S = 8.0
STOPS_DURATION_S = 10.0  # longer than the grace time


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Test the guarantees to callers under random faults with real processes."""

    async def test_no_seed_breaks_a_promise(self) -> None:
        """Call three hosts while they are killed, stopped, paused and cut off.

        Callers send streams, bookings and lookups on persistent connections. The store
        loses replies, is slow or down, targets fail, drain, return cold, name limits
        and ask for rest, a data centre is evacuated, one request and one part of
        prompts crash each target that runs them, and half of these return under their
        names with another version, the budget runs out and is raised. Callers take
        broken streams up at other hosts. The budget is never exceeded, no stream holds
        events of two versions, evacuated targets get no requests and cold ones few,
        limits and rests are kept. With the admission queue, a workspace surges at
        targets with few slots: it is refused in time and served afterwards. With
        fetches, sources are other listed targets. No call that may run only once runs
        twice, a "not run" is true, each answer is complete and the caller's own, and
        only crashing requests are blocked.
        """
        for seed, kind in SEEDS:
            with self.subTest(seed=seed, kind=kind):
                result = await run_soak_seed(seed, DURATION_S, kind)
                self.assertEqual(result.findings, [], result)
                self.assertGreater(result.n_served, 0)

    async def test_planned_stops_cut_no_request(self) -> None:
        """Guard against requests that hosts take, or end, without the time to answer.

        Hosts get SIGTERM and SIGHUP, routes change, targets fall silent; no failures.
        """
        result = await run_soak_seed(1, STOPS_DURATION_S, SeedKind.STOPS)
        self.assertEqual(result.findings, [], result)
        self.assertGreater(result.n_served, 0)


if __name__ == "__main__":
    unittest.main()
