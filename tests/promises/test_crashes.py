"""Test that a request that crashes targets is told from the others."""

import asyncio
import unittest

from tests.promises.crashing import AWAY_S, CRASHING_BODY, CrashingTargets
from tests.promises.fleet import FleetAnswer, PlatformFleet

N_ATTEMPTS = 12
# Three targets end before it can be told from the others, and as many more may while
# the hosts hear of it.
MAX_CRASHES = 6


async def repeat_crashing(fleet: PlatformFleet, n_attempts: int) -> list[FleetAnswer]:
    """Send the crashing request again and again, at each host in turn."""
    answers = []
    for number in range(n_attempts):
        host = f"host-{number % fleet.n_hosts}"
        answers.append(await fleet.call("/stream/x", host=host, body=CRASHING_BODY))
        await asyncio.sleep(AWAY_S)
    return answers


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Test what becomes of a request that crashes each target that runs it."""

    async def test_repeats_at_two_hosts_stop_crashing_targets(self) -> None:
        """Guard against hosts that send it to one target after the other."""
        async with PlatformFleet(n_hosts=2, n_targets=4) as fleet:
            targets = CrashingTargets(fleet=fleet)
            answers = await repeat_crashing(fleet, N_ATTEMPTS)
            self.assertLessEqual(targets.n_crashes, MAX_CRASHES)
            self.assertEqual(answers[-1].status, 503)
            self.assertIn("Retry-After", answers[-1].headers)
            await targets.settle()
            sound = await fleet.call("/stream/x")
            self.assertEqual(sound.status, 200)


if __name__ == "__main__":
    unittest.main()
