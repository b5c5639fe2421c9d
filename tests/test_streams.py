"""Show the whole path with the accounts spread over several ledger streams."""

import asyncio
import unittest

from standins.launcher import wait_for
from tests.common import OTHER_SECRET, SECRET, Fleet
from trefoilstage.util.hashing import pick_stream

N_STREAMS = 3
FLEET = f"[fleet]\nledger_streams = {N_STREAMS}\n"


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    """Use three ledger streams."""

    async def test_budgets_and_bookings_on_three_streams(self) -> None:
        accounts = ["budget:brest", "budget:quimper", "workspace:brest-school"]
        used = {pick_stream(account, N_STREAMS) for account in accounts}
        self.assertGreater(len(used), 1, "the accounts should not share one stream")
        settings = {"checkpoint_every": 20}
        async with Fleet(more_config=FLEET, host_settings=settings) as fleet:
            answers = await asyncio.gather(
                *(
                    fleet.chat(host, max_tokens=8, stream=True, secret=secret)
                    for host in fleet.hosts
                    for secret in (SECRET, OTHER_SECRET)
                )
            )
            self.assertTrue(all(answer.is_whole_stream for answer in answers))
            headers = {"Idempotency-Key": "strip-7"}
            for host in fleet.hosts:
                answer = await fleet.call(
                    host, "/services/booking/confirm", {"strip": 7}, headers=headers
                )
                self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(len(await fleet.list_effects()), 1)
            executed = await fleet.count_executed()
            newcomer = await fleet.start_host("host-3")

            async def is_settled() -> bool:
                if (await fleet.launcher.get_json(f"{newcomer.operator_url}/status"))[
                    "phase"
                ] != "serving":
                    return False
                budgets = [
                    await fleet.get_budget(newcomer, name)
                    for name in ("brest", "quimper")
                ]
                spent = sum(budget["spent"] for budget in budgets)
                held = sum(budget["held"] for budget in budgets)
                return bool(spent == executed and held == 0)

            await wait_for(is_settled, "the spend to show on a new host")
