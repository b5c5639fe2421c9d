"""Test the whole path from a caller's request to the settled budget."""

import json
import unittest

from standins.launcher import poll_until
from tests.common import Fleet


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Test requests through three hosts."""

    async def test_streamed_request_is_answered_whole_and_settled(self) -> None:
        async with Fleet() as fleet:
            answer = await fleet.chat(fleet.hosts[1], max_tokens=12, stream=True)
            self.assertEqual(answer.status, 200, answer.body)
            self.assertTrue(answer.is_complete_stream)
            executed = await fleet.count_executed_tokens()

            async def is_settled() -> bool:
                budgets = [await fleet.get_budget(host) for host in fleet.hosts]
                return all(budget["spent"] == executed for budget in budgets)

            await poll_until(is_settled, "the spend to show on every host")

    async def test_booking_takes_effect_once_and_is_replayed(self) -> None:
        async with Fleet() as fleet:
            headers = {"Idempotency-Key": "strip-7"}
            answers = [
                await fleet.call(
                    host, "/services/booking/confirm", {"strip": 7}, headers=headers
                )
                for host in fleet.hosts
            ]
            self.assertEqual([answer.status for answer in answers], [200, 200, 200])
            bodies = {json.loads(answer.body)["confirmation"] for answer in answers}
            self.assertEqual(bodies, {1})
            self.assertEqual(len(await fleet.list_effects()), 1)
