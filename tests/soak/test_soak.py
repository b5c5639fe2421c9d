"""Play short seeds of the soak, and each seed that ever failed."""

import unittest

from tests.soak.soak import play

SEEDS = (1, 2)
DURATION_S = 8.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Test the promises under random faults with real processes."""

    async def test_no_seed_breaks_a_promise(self) -> None:
        """Call three hosts while they are killed, stopped, paused and cut off.

        Callers send streams, bookings and lookups on kept connections; the store
        loses answers, is slow or away, targets fail and leave, one request crashes each
        target that runs it, the budget runs out and is raised. No budget is passed,
        nothing runs twice that may run once, "not run" is true, each answer is the
        caller's own and whole, and the crashing request alone is blocked.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = await play(seed, DURATION_S)
                self.assertEqual(result.findings, [], result)
                self.assertGreater(result.n_served, 0)


if __name__ == "__main__":
    unittest.main()
