"""Show what callers get when targets are full, slow or failing."""

import asyncio
import json
import time
import unittest

from standins.launcher import wait_for
from tests.answers import CallerAnswer
from tests.common import Fleet

NARROW = "[targets.engine-0]\nmax_concurrent = 2\n"
LOW = {"X-Priority": "1"}
SLOW_ENGINE = ("--tokens-per-s", "20", "--max-running", "2")


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    """Send more than the targets can take."""

    async def test_high_priority_is_served_before_what_waited_longer(self) -> None:
        """A target is full and low priority waits for it.

        A request of higher priority comes last and is served first.
        """
        async with Fleet(
            n_hosts=1, engine_options=SLOW_ENGINE, host_settings={"queue_wait_s": 20.0}
        ) as fleet:
            await fleet.publish("20-narrow.toml", NARROW)
            host = fleet.hosts[0]
            low = [
                asyncio.create_task(fleet.chat(host, max_tokens=20, headers=LOW))
                for _ in range(6)
            ]
            await wait_for(lambda: self.has_started(fleet, 2), "the target to be full")
            high = await fleet.chat(host, max_tokens=5)
            answers = await asyncio.gather(*low)
            self.assertEqual({high.status, *(item.status for item in answers)}, {200})
            executed = await fleet.list_executed_at(fleet.engines[0])
            order = [item["priority"] for item in executed]
            self.assertIn(5, order[2:4])

    async def test_what_can_not_be_served_in_time_is_refused_at_once(self) -> None:
        """A target is full for longer than the callers can wait.

        Those who can't be served are told so long before their deadline, with
        a time to come back, and nothing of theirs runs.
        """
        async with Fleet(n_hosts=1, engine_options=SLOW_ENGINE) as fleet:
            await fleet.publish("20-narrow.toml", NARROW)
            host = fleet.hosts[0]
            await fleet.chat(host, max_tokens=60)
            running = [
                asyncio.create_task(fleet.chat(host, max_tokens=60)) for _ in range(2)
            ]
            await wait_for(lambda: self.has_started(fleet, 3), "the target to be full")
            started = time.monotonic()
            refused = await asyncio.gather(*(fleet.chat(host) for _ in range(6)))
            waited_s = time.monotonic() - started
            late = [item for item in refused if item.status != 200]
            self.assertGreaterEqual(len(late), 4)
            for answer in late:
                self.check_refused(answer)
            self.assertLess(waited_s, 60.0)
            await asyncio.gather(*running)
            executed = await fleet.list_executed_at(fleet.engines[0])
            self.assertEqual(len(executed), 3 + len(refused) - len(late))

    def check_refused(self, answer: CallerAnswer) -> None:
        """Check that a refusal says what is promised."""
        error = json.loads(answer.body)["error"]
        self.assertEqual((error["reason"], error["effect"]), ("overloaded", "not_run"))
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)

    async def test_a_target_that_fails_fast_draws_no_traffic(self) -> None:
        """One of two targets refuses everything at once and so looks idle.

        No caller notices: what it refuses is tried at the other, and after a
        few failures it gets nothing but probes. Once well it gets work again.
        """
        async with Fleet(n_hosts=1, n_engines=2) as fleet:
            host = fleet.hosts[0]
            bad = fleet.engines[0]
            url = f"{bad.url}/control"
            await fleet.launcher.post_json(url, {"fail_fast": True})
            answers = [await fleet.chat(host, max_tokens=1) for _ in range(60)]
            self.assertEqual({answer.status for answer in answers}, {200})
            targets = await fleet.launcher.get_json(f"{host.operator_url}/targets")
            self.assertLess(targets[0]["failures"], 10)
            await fleet.launcher.post_json(url, {})

            async def is_used() -> bool:
                await asyncio.gather(*(fleet.chat(host) for _ in range(4)))
                return bool(await fleet.list_executed_at(bad))

            await wait_for(is_used, "the target to get work again")

    async def has_started(self, fleet: Fleet, n_requests: int) -> bool:
        """Tell whether the first engine has started so many requests."""
        executed = await fleet.list_executed_at(fleet.engines[0])
        return len(executed) >= n_requests

    async def test_full_target_refuses_nobody_who_can_wait(self) -> None:
        """Send a burst through three hosts to a target with one place.

        No host knows how full the others keep the target, so it says "busy" many
        times. A busy target ran nothing; the request waits on in its place until
        there is room, and is not refused for want of retries.
        """
        options = ("--max-running", "1", "--tokens-per-s", "100")
        async with Fleet(
            engine_options=options, host_settings={"queue_wait_s": 20.0}
        ) as fleet:
            answers = await asyncio.gather(
                *(
                    fleet.chat(fleet.hosts[number % 3], max_tokens=3)
                    for number in range(18)
                )
            )
            refused = [answer.body for answer in answers if answer.status != 200]
            self.assertEqual(refused, [])
