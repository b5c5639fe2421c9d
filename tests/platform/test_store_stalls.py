"""Test calls to the store whose connection timed out while this host stalled."""

import asyncio
import unittest
from typing import Any
from unittest import mock

import aiohttp

from standins.keyed_store import KeyedStore
from standins.platform import LOOPBACK, StoreServer, start_app
from tests.components.test_stalled_connects import suspend_at_connect
from trefoilstage.components.views.store import StoreUnavailableError, Topic
from trefoilstage.platform.store import CONNECT_TIMEOUT_S, StoreClient
from trefoilstage.util.stalls import MIN_STALL_S

TOPIC = Topic.ACCOUNTS


class StalledStoreCallTest(unittest.IsolatedAsyncioTestCase):
    """Call a store that answers, on a host that stalls."""

    async def asyncSetUp(self) -> None:
        self.store = KeyedStore()
        runner, port = await start_app(StoreServer(store=self.store).make_app())
        self.addAsyncCleanup(runner.cleanup)
        self.url = f"http://{LOOPBACK}:{port}"

    def make_client(self) -> StoreClient:
        """Return a client that has no open connection."""
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        return StoreClient(session=session, url=self.url)

    async def test_store_is_not_blamed_for_a_stall_of_this_host(self) -> None:
        """Guard against a connect timeout that only this host's stall causes.

        A stall that ends with the timeout makes it fire hardly late.
        """
        for added_s in (0.02, 2 * MIN_STALL_S):
            suspended = suspend_at_connect(CONNECT_TIMEOUT_S, added_s)
            with self.subTest(added_s=added_s), suspended:
                await self.make_client().put(TOPIC, "a", b"1")
        records = self.store.partitions[TOPIC, 0].records
        self.assertEqual(len(records), 2)

    async def test_silent_store_is_called_once(self) -> None:
        """Guard against an outage noticed late, as each call connects twice."""
        n_connects = 0

        async def stay_silent(*arguments: Any) -> None:
            nonlocal n_connects
            n_connects += 1
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(loop, "sock_connect", stay_silent),
            self.assertRaises(StoreUnavailableError),
        ):
            await self.make_client().list_newest(TOPIC)
        self.assertEqual(n_connects, 1)


if __name__ == "__main__":
    unittest.main()
