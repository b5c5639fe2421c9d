"""Show that a leaving target receives no new work after a few seconds."""

import asyncio
import signal
import time
import unittest
from typing import Any

from standins.launcher import Running, wait_for
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

LIMIT_S = 5.0
LEAVING = '[targets.engine-0]\nstate = "leaving"\nchecks_fencing = true\n'
NAMES = ["log", "host-0", "host-1", "host-2"]
# Draws without a witness and targets without watts let a host that is all
# alone go on, so that nothing but its knowledge of the target can stop it.
ALONE = {"recovery": "count-as-spent"}
PLAIN = "".join(
    f"[targets.engine-{number}]\nwatts_per_request = 0\nfences_cancelled = false\n"
    for number in range(2)
)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Mark a target as leaving while a host hears nothing of it."""

    async def asyncSetUp(self) -> None:
        """Keep what is sent, so that no task is left behind."""
        self.sent: list[asyncio.Task[Any]] = []

    async def asyncTearDown(self) -> None:
        """Wait for what is still under way."""
        await asyncio.gather(*self.sent, return_exceptions=True)

    def keep_sending(self, fleet: Fleet, host: Running, stopped: asyncio.Event) -> None:
        """Send one request after the other until stopped."""

        async def send() -> None:
            while not stopped.is_set():
                answer = await fleet.chat(host, max_tokens=2)
                if answer.status != 200:
                    await asyncio.sleep(0.05)

        self.sent.append(asyncio.create_task(send()))

    async def leave(self, fleet: Fleet, through: Running) -> float:
        """Have engine-0 leave through a host and return when that was accepted."""
        answer = await fleet.launcher.post_json(
            f"{through.operator_url}/config/publish",
            {"operation": "test-leave", "name": "40-leave.toml", "content": LEAVING},
        )
        self.assertTrue(answer["accepted"], answer)
        return time.time()

    async def check_no_new_work(self, fleet: Fleet, accepted: float) -> None:
        """Check that nothing started at the leaving target after the limit."""
        executed = await fleet.list_executed_at(fleet.engines[0])
        late = [item for item in executed if item["started"] > accepted + LIMIT_S]
        self.assertEqual(late, [])

    async def watch(self, fleet: Fleet, accepted: float) -> None:
        """Let requests go on until well after the limit."""

        async def is_over() -> bool:
            executed = await fleet.list_executed_at(fleet.engines[1])
            newest = max((item["started"] for item in executed), default=0.0)
            return bool(newest > accepted + LIMIT_S + 2.0)

        await wait_for(is_over, "requests after the limit")

    async def check_cut_off(
        self, fleet: Fleet, names: list[str], *, accepted_by: int
    ) -> None:
        """Cut the first host off, leave, and watch what it sends."""
        await fleet.publish("20-plain.toml", PLAIN)
        stopped = asyncio.Event()
        for host in fleet.hosts:
            self.keep_sending(fleet, host, stopped)
        await wait_for(lambda: self.has_work(fleet, 0), "work at the target")
        fleet.cut(fleet.hosts[:1], names)
        accepted = await self.leave(fleet, fleet.hosts[accepted_by])
        await self.watch(fleet, accepted)
        stopped.set()
        await self.check_no_new_work(fleet, accepted)

    async def has_work(self, fleet: Fleet, number: int) -> bool:
        """Tell whether an engine was sent anything."""
        return bool(await fleet.list_executed_at(fleet.engines[number]))

    async def test_host_cut_from_the_log_hears_it_from_a_peer(self) -> None:
        """A host is cut from the log but not from its peers.

        The operator has the target leave through another host. The first one
        reads the change through a peer and sends nothing more.
        """
        async with Fleet(n_engines=2, engine_options=("--checks-fencing",)) as fleet:
            await self.check_cut_off(fleet, ["log"], accepted_by=1)

    async def test_host_that_can_confirm_nothing_asks_the_target(self) -> None:
        """A host is cut from the log and from every peer, not from the targets.

        It can't know that the target leaves. After its last confirmation has
        run out it asks the target itself, which another host has told, and
        goes on with the target that serves.
        """
        async with Fleet(n_engines=2, host_settings=ALONE) as fleet:
            await self.check_cut_off(fleet, NAMES, accepted_by=1)

    async def test_frozen_host_wakes_with_a_request_past_its_check(self) -> None:
        """A host is frozen with a request held on its way to the target.

        The target leaves meanwhile. More than 5 s later the host wakes, the
        old request arrives, and a caller sends another. The target turns the
        first away, because it carries an older configuration than the order to
        leave; the host itself no longer trusts what it knew for the second.
        """
        options = ("--checks-fencing", "--forgets-cancels")
        async with Fleet(
            n_engines=2, engine_options=options, host_settings=ALONE
        ) as fleet:
            await fleet.publish("20-plain.toml", PLAIN)
            frozen = fleet.hosts[0]
            rules = [
                fleet.proxies[engine.name].rules[get_address(frozen.name)]
                for engine in fleet.engines
            ]
            for rule in rules:
                rule.hold_requests = True
            late = [self.start_chat(fleet, frozen) for _ in range(4)]
            await wait_for(lambda: self.is_sending(fleet, frozen, 4), "requests out")
            frozen.signal(signal.SIGSTOP)
            accepted = await self.leave(fleet, fleet.hosts[1])
            stopped = asyncio.Event()
            self.keep_sending(fleet, fleet.hosts[1], stopped)
            await self.watch(fleet, accepted)
            stopped.set()
            for rule in rules:
                rule.hold_requests = False
            late += [self.start_chat(fleet, frozen) for _ in range(4)]
            frozen.signal(signal.SIGCONT)
            await asyncio.gather(*late)
            await self.check_no_new_work(fleet, accepted)

    async def test_everyone_loses_the_log_and_goes_on_serving(self) -> None:
        """The log is out for all hosts for longer than the confirmation lasts.

        Nobody can have had a change accepted. The targets say that they
        serve, so no request is refused for it.
        """
        async with Fleet(n_engines=2, tokens=50_000_000) as fleet:
            for host in fleet.hosts:
                await fleet.chat(host, max_tokens=2)
            await fleet.launcher.post_json(f"{fleet.log.url}/control", {"down": True})
            started = time.time()
            answers: list[CallerAnswer] = []
            while time.time() < started + LIMIT_S:
                answers += [await fleet.chat(h, max_tokens=1) for h in fleet.hosts]
            refused = {answer.body for answer in answers if answer.status != 200}
            no_target = [body for body in refused if b"no_target" in body]
            self.assertEqual(no_target, [])
            self.assertTrue(await self.has_started(fleet, started + LIMIT_S - 1.0))

    async def has_started(self, fleet: Fleet, moment: float) -> bool:
        """Tell whether any target started anything after a moment."""
        executed = [await fleet.list_executed_at(engine) for engine in fleet.engines]
        return any(item["started"] > moment for items in executed for item in items)

    def start_chat(self, fleet: Fleet, host: Running) -> asyncio.Task[Any]:
        """Send a request and keep its task."""
        task = asyncio.create_task(fleet.chat(host, max_tokens=5))
        self.sent.append(task)
        return task

    async def is_sending(self, fleet: Fleet, host: Running, n_requests: int) -> bool:
        """Tell whether a host has so many requests under way to targets."""
        targets = await fleet.launcher.get_json(f"{host.operator_url}/targets")
        return bool(sum(target["active"] for target in targets) >= n_requests)
