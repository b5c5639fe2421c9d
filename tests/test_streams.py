"""Test the whole request path with accounts spread over several ledger streams."""

import asyncio
import unittest

from standins.launcher import poll_until
from tests.common import OTHER_SECRET, SECRET, Fleet
from trefoilstage.util.hashing import hash_to_bucket

N_STREAMS = 3
FLEET_CONFIG = f"[fleet]\nledger_streams = {N_STREAMS}\n"


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    """Test a fleet with three ledger streams."""

    async def test_budgets_and_bookings_on_three_streams(self) -> None:
        accounts = ["budget:brest", "budget:quimper", "workspace:brest-school"]
        used_streams = {hash_to_bucket(account, N_STREAMS) for account in accounts}
        self.assertGreater(len(used_streams), 1, "all accounts are on the same stream")
        settings = {"checkpoint_every": 20}
        async with Fleet(extra_config=FLEET_CONFIG, host_settings=settings) as fleet:
            answers = await asyncio.gather(
                *(
                    fleet.chat(host, max_tokens=8, stream=True, secret=secret)
                    for host in fleet.hosts
                    for secret in (SECRET, OTHER_SECRET)
                )
            )
            self.assertTrue(all(answer.is_complete_stream for answer in answers))
            headers = {"Idempotency-Key": "strip-7"}
            for host in fleet.hosts:
                answer = await fleet.call(
                    host, "/services/booking/confirm", {"strip": 7}, headers=headers
                )
                self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(len(await fleet.list_effects()), 1)
            executed = await fleet.count_executed_tokens()
            new_host = await fleet.start_host("host-3")

            async def is_settled() -> bool:
                if (await fleet.launcher.get_json(f"{new_host.operator_url}/status"))[
                    "phase"
                ] != "serving":
                    return False
                budgets = [
                    await fleet.get_budget(new_host, name)
                    for name in ("brest", "quimper")
                ]
                spent = sum(budget["spent"] for budget in budgets)
                held = sum(budget["held"] for budget in budgets)
                return bool(spent == executed and held == 0)

            await poll_until(is_settled, "the new host to show all spent tokens")
