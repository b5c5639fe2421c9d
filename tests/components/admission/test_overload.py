"""Test what callers get when targets are full, slow or failing."""

import asyncio
import json
import time
import unittest

from standins.launcher import poll_until
from tests.answers import CallerAnswer
from tests.common import Fleet

TWO_SLOTS = "[targets.engine-0]\nmax_concurrent = 2\n"
REST_S = 4.0
LOW_PRIORITY = {"X-Priority": "1"}
SLOW_ENGINE = ("--tokens-per-s", "20", "--max-running", "2")


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    """Test hosts that get more requests than their targets can serve."""

    async def test_high_priority_overtakes_requests_that_waited_longer(self) -> None:
        """Send requests of low priority until a target is full and some wait.

        A request of higher priority that arrives last must be one of the next two.
        """
        async with Fleet(
            n_hosts=1, engine_options=SLOW_ENGINE, host_settings={"queue_wait_s": 20.0}
        ) as fleet:
            await fleet.publish("20-narrow.toml", TWO_SLOTS)
            host = fleet.hosts[0]
            low = [
                asyncio.create_task(
                    fleet.chat(host, max_tokens=20, headers=LOW_PRIORITY)
                )
                for _ in range(6)
            ]
            await poll_until(
                lambda: self.has_started(fleet, 2), "the target to be full"
            )
            high = await fleet.chat(host, max_tokens=5)
            answers = await asyncio.gather(*low)
            self.assertEqual({high.status, *(item.status for item in answers)}, {200})
            executed = await fleet.list_engine_requests(fleet.engines[0])
            order = [item["priority"] for item in executed]
            self.assertIn(5, order[2:4])

    async def test_request_that_would_be_late_is_refused_immediately(self) -> None:
        """Guard against callers that wait in vain for a target that stays full.

        The host must refuse such requests long before the deadline, with a
        Retry-After header, and must run none of them.
        """
        async with Fleet(n_hosts=1, engine_options=SLOW_ENGINE) as fleet:
            await fleet.publish("20-narrow.toml", TWO_SLOTS)
            host = fleet.hosts[0]
            await fleet.chat(host, max_tokens=60)
            running = [
                asyncio.create_task(fleet.chat(host, max_tokens=60)) for _ in range(2)
            ]
            await poll_until(
                lambda: self.has_started(fleet, 3), "the target to be full"
            )
            started = time.monotonic()
            answers = await asyncio.gather(*(fleet.chat(host) for _ in range(6)))
            waited_s = time.monotonic() - started
            refused = [item for item in answers if item.status != 200]
            self.assertGreaterEqual(len(refused), 4)
            for answer in refused:
                self.check_refused(answer)
            self.assertLess(waited_s, 60.0)
            await asyncio.gather(*running)
            executed = await fleet.list_engine_requests(fleet.engines[0])
            self.assertEqual(len(executed), 3 + len(answers) - len(refused))

    def check_refused(self, answer: CallerAnswer) -> None:
        """Check the reason, the effect and the Retry-After header of a refusal."""
        error = json.loads(answer.body)["error"]
        self.assertEqual((error["reason"], error["effect"]), ("overloaded", "not_run"))
        self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)

    async def test_target_that_asks_for_rest_gets_none_until_its_end(self) -> None:
        """Guard against requests that come back to a target before its time.

        The other target serves meanwhile.
        """
        async with Fleet(n_hosts=1, n_engines=2) as fleet:
            host, resting = fleet.hosts[0], fleet.engines[0]
            await fleet.control_standin(resting, rest_s=REST_S)
            while not await fleet.count_refused(resting):
                await fleet.chat(host)
            ends_at = time.monotonic() + REST_S
            while time.monotonic() < ends_at - 1.0:
                self.assertEqual((await fleet.chat(host)).status, 200)
            self.assertEqual(await fleet.count_refused(resting), 1)

    async def test_callers_are_told_when_the_rest_of_the_only_target_ends(self) -> None:
        """Guard against callers that wait for a target that wants no request."""
        async with Fleet(n_hosts=1) as fleet:
            host, resting = fleet.hosts[0], fleet.engines[0]
            await fleet.control_standin(resting, rest_s=REST_S)
            while not await fleet.count_refused(resting):
                await fleet.chat(host)
            began = time.monotonic()
            answer = await fleet.chat(host)
            self.assertLess(time.monotonic() - began, 1.0)
            self.assertGreater(int(answer.headers["Retry-After"]), 1)
            self.assertEqual(await fleet.count_refused(resting), 1)

    async def test_target_that_fails_fast_attracts_no_traffic(self) -> None:
        """Guard against a target that looks idle because it refuses immediately.

        Requests that one of two targets refuses must be served at the other. After
        a few failures it gets only probes, and after it recovers, requests again.
        """
        async with Fleet(n_hosts=1, n_engines=2) as fleet:
            host = fleet.hosts[0]
            failing_engine = fleet.engines[0]
            url = f"{failing_engine.url}/control"
            await fleet.launcher.post_json(url, {"fail_fast": True})
            answers = [await fleet.chat(host, max_tokens=1) for _ in range(60)]
            self.assertEqual({answer.status for answer in answers}, {200})
            targets = await fleet.launcher.get_json(f"{host.operator_url}/targets")
            self.assertLess(targets[0]["failures"], 10)
            await fleet.launcher.post_json(url, {})

            async def is_used() -> bool:
                await asyncio.gather(*(fleet.chat(host) for _ in range(4)))
                return bool(await fleet.list_engine_requests(failing_engine))

            await poll_until(is_used, "the target to receive requests again")

    async def has_started(self, fleet: Fleet, n_requests: int) -> bool:
        """Return whether the first engine has started at least this many requests."""
        executed = await fleet.list_engine_requests(fleet.engines[0])
        return len(executed) >= n_requests

    async def test_full_target_refuses_no_caller_that_can_wait(self) -> None:
        """Guard against refusals when three hosts overload a target with one slot.

        No host knows how many requests its peers send, so the target often replies
        "busy". It has run nothing then: the request must keep its position and wait
        for the slot, and must not be refused because its retries are used up.
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
