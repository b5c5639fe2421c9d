"""Test hosts whose store comes back from an older copy (real processes)."""

import asyncio
import unittest

from standins.launcher import poll_until
from tests.promises.fleet import PlatformFleet

NEW = "/new/x"  # served from version 2 on
# A confirmed version must be in force within this time.
IN_FORCE_S = 2.0
N_LOST = 6


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Let the store lose its last records and give their offsets out again."""

    async def test_version_confirmed_after_the_store_came_back_is_in_force(
        self,
    ) -> None:
        """Guard against hosts that wait for offsets which they have read before."""
        async with PlatformFleet(n_hosts=3) as fleet:
            copy = fleet.store.make_copy()
            for _ in range(N_LOST):
                await fleet.write_configuration(1)
            await asyncio.sleep(IN_FORCE_S / 2)
            fleet.store.restore(copy)
            await fleet.write_configuration(2)
            await asyncio.sleep(IN_FORCE_S)
            for host in fleet.hosts:
                answer = await fleet.call(NEW, host=host)
                self.assertEqual(answer.status, 200, host)

    async def test_version_in_force_does_not_come_back_older(self) -> None:
        """Guard against a lost version that takes a newer one's place."""
        async with PlatformFleet(n_hosts=3) as fleet:
            copy = fleet.store.make_copy()
            await fleet.write_configuration(2)
            hosts = list(fleet.hosts.values())
            await poll_until(
                lambda: all(
                    host.has_logged("config_in_force", "version=2") for host in hosts
                ),
                "version 2 to be in force",
            )
            fleet.store.restore(copy)
            await asyncio.sleep(IN_FORCE_S)
            for host in fleet.hosts:
                answer = await fleet.call(NEW, host=host)
                self.assertEqual(answer.status, 200, host)


if __name__ == "__main__":
    unittest.main()
