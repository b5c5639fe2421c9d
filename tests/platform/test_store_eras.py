"""Test how the store's client tells offsets that were given out again."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import aiohttp
from aiohttp import web

from standins.keyed_store import KeyedStore
from standins.platform import LOOPBACK, StoreServer, start_app
from trefoilstage.components.views.store import OffsetExpiredError, Topic
from trefoilstage.platform import store as store_module
from trefoilstage.platform.store import MAX_ERAS, StoreClient

TOPIC = Topic.ACCOUNTS


@asynccontextmanager
async def connect(app: web.Application) -> AsyncIterator[StoreClient]:
    """Serve an application, and yield a client of it."""
    runner, port = await start_app(app)
    async with aiohttp.ClientSession() as session:
        yield StoreClient(session=session, url=f"http://{LOOPBACK}:{port}")
    await runner.cleanup()


class StoreErasTest(unittest.IsolatedAsyncioTestCase):
    """Let the store come back from a copy that lacks a record."""

    async def restore_after_write(
        self, client: StoreClient, store: KeyedStore
    ) -> tuple[int, int]:
        """Return the positions of a lost record, and of one at its offset."""
        await client.put(TOPIC, "a", b"1")
        copy = store.make_copy()
        lost = await client.put(TOPIC, "a", b"2")
        store.restore(copy)
        written = await client.put(TOPIC, "a", b"3")
        assert lost is not None and written is not None
        return lost, written

    async def test_offset_given_out_again_has_a_later_position(self) -> None:
        """Guard against a newer record that loses to a lost one."""
        store = KeyedStore()
        async with connect(StoreServer(store=store).make_app()) as client:
            lost, written = await self.restore_after_write(client, store)
            self.assertGreater(written, lost)
            batch = await client.list_newest(TOPIC)
            self.assertEqual(batch.records[0].offset, written)
            self.assertEqual(batch.end_offset, written + 1)
            self.assertEqual(
                (await client.read(TOPIC, written, 0.0)).records[0].value, b"3"
            )

    async def test_read_across_a_restoration_is_refused(self) -> None:
        """Guard against records that are passed over as their offsets were read."""
        store = KeyedStore()
        async with connect(StoreServer(store=store).make_app()) as client:
            lost, _ = await self.restore_after_write(client, store)
            for position in (lost, lost + 1, lost + 9):
                with self.assertRaises(OffsetExpiredError):
                    await client.read(TOPIC, position, 0.0)

    async def test_write_based_on_a_lost_record_is_refused(self) -> None:
        """Guard against two draws of the same tokens at one offset.

        The partition ends at the same offset as before the restoration.
        """
        store = KeyedStore()
        async with connect(StoreServer(store=store).make_app()) as client:
            lost, written = await self.restore_after_write(client, store)
            for end, value in ((lost + 1, None), (written + 1, written + 1)):
                found = await client.put(TOPIC, "a", b"4", expected_end_offset=end)
                self.assertEqual(found, value)

    async def test_malformed_era_is_ignored_and_logged(self) -> None:
        """Guard against a header that stops all reads."""

        async def answer(request: web.Request) -> web.Response:
            headers = {"Store-Era": request.app["era"]}
            return web.json_response({"items": [], "end_offset": 7}, headers=headers)

        for era in ("x", "-1", str(MAX_ERAS), "9" * 400, "²"):
            app = web.Application()
            app["era"] = era
            app.router.add_get("/{path:.*}", answer)
            async with connect(app) as client:
                with (
                    self.subTest(era=era),
                    mock.patch.object(store_module, "log_event") as log,
                ):
                    self.assertEqual((await client.list_newest(TOPIC)).end_offset, 7)
                    log.assert_called_once()


if __name__ == "__main__":
    unittest.main()
