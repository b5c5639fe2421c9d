"""Test that a leaving target gets no new work after 5 seconds."""

import asyncio
import signal
import time
import unittest
from typing import Any

from standins.launcher import RunningProcess, poll_until
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

NEW_WORK_LIMIT_S = 5.0
LEAVING_FILE = '[targets.engine-0]\nstate = "leaving"\nchecks_fencing = true\n'
LOG_AND_HOSTS = ["log", "host-0", "host-1", "host-2"]
# With draws without a witness and targets without watts, an isolated host can continue
# to send; only what it knows of the target's state can stop it.
UNWITNESSED_SETTINGS = {"recovery": "count-as-spent"}
UNMETERED_FILE = "".join(
    f"[targets.engine-{number}]\nwatts_per_request = 0\nfences_cancelled = false\n"
    for number in range(2)
)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Mark a target as leaving while a host can't receive the change."""

    async def asyncSetUp(self) -> None:
        """Prepare the list of tasks that the teardown waits for."""
        self.tasks: list[asyncio.Task[Any]] = []

    async def asyncTearDown(self) -> None:
        """Wait for the tasks that still run."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def keep_sending(
        self, fleet: Fleet, host: RunningProcess, stopped: asyncio.Event
    ) -> None:
        """Start a task that sends one request after another until `stopped` is set."""

        async def send() -> None:
            while not stopped.is_set():
                answer = await fleet.chat(host, max_tokens=2)
                if answer.status != 200:
                    await asyncio.sleep(0.05)

        self.tasks.append(asyncio.create_task(send()))

    async def publish_leaving(self, fleet: Fleet, through: RunningProcess) -> float:
        """Publish at a host that engine-0 leaves; return the time of acceptance."""
        answer = await fleet.launcher.post_json(
            f"{through.operator_url}/config/publish",
            {
                "operation": "test-leave",
                "name": "40-leave.toml",
                "content": LEAVING_FILE,
            },
        )
        self.assertTrue(answer["accepted"], answer)
        return time.time()

    async def check_no_new_work(self, fleet: Fleet, accepted: float) -> None:
        """Check that the leaving target started no request after the limit."""
        executed = await fleet.list_engine_requests(fleet.engines[0])
        late = [
            item for item in executed if item["started"] > accepted + NEW_WORK_LIMIT_S
        ]
        self.assertEqual(late, [])

    async def wait_past_limit(self, fleet: Fleet, accepted: float) -> None:
        """Wait until the other target has started a request 2 s after the limit."""

        async def is_over() -> bool:
            executed = await fleet.list_engine_requests(fleet.engines[1])
            newest = max((item["started"] for item in executed), default=0.0)
            return bool(newest > accepted + NEW_WORK_LIMIT_S + 2.0)

        await poll_until(is_over, "requests after the limit")

    async def check_host_cut_off(
        self, fleet: Fleet, names: list[str], *, accepted_by: int
    ) -> None:
        """Cut the first host off, let engine-0 leave, and check the sent requests."""
        await fleet.publish("20-plain.toml", UNMETERED_FILE)
        stopped = asyncio.Event()
        for host in fleet.hosts:
            self.keep_sending(fleet, host, stopped)
        await poll_until(lambda: self.has_work(fleet, 0), "a request at the target")
        fleet.cut(fleet.hosts[:1], names)
        accepted = await self.publish_leaving(fleet, fleet.hosts[accepted_by])
        await self.wait_past_limit(fleet, accepted)
        stopped.set()
        await self.check_no_new_work(fleet, accepted)

    async def has_work(self, fleet: Fleet, number: int) -> bool:
        """Return whether an engine has received a request."""
        return bool(await fleet.list_engine_requests(fleet.engines[number]))

    async def test_host_cut_from_the_log_reads_it_from_a_peer(self) -> None:
        """Cut a host from the log but not from its peers.

        The target's leaving is published at another host. The cut host reads the
        change through a peer and sends no more requests to the target.
        """
        async with Fleet(n_engines=2, engine_options=("--checks-fencing",)) as fleet:
            await self.check_host_cut_off(fleet, ["log"], accepted_by=1)

    async def test_host_that_can_confirm_nothing_asks_the_target(self) -> None:
        """Cut a host from the log and all peers, but not from the targets.

        The host can't receive the change. When its last confirmation expires, it
        asks the targets for their roles. Another host has ordered the leaving target
        to leave, so the host continues with the target that serves.
        """
        async with Fleet(n_engines=2, host_settings=UNWITNESSED_SETTINGS) as fleet:
            await self.check_host_cut_off(fleet, LOG_AND_HOSTS, accepted_by=1)

    async def test_frozen_host_wakes_with_a_request_past_its_check(self) -> None:
        """Freeze a host whose requests are held on their way to the targets.

        One target leaves meanwhile. More than 5 s later the host resumes, the old
        requests arrive, and callers send new ones. The target refuses the old ones,
        because their configuration revision is older than the order to leave. The
        host sends no new ones, because its confirmation has expired.
        """
        options = ("--checks-fencing", "--forgets-cancels")
        async with Fleet(
            n_engines=2, engine_options=options, host_settings=UNWITNESSED_SETTINGS
        ) as fleet:
            await fleet.publish("20-plain.toml", UNMETERED_FILE)
            frozen = fleet.hosts[0]
            rules = [
                fleet.proxies[engine.name].rules[get_address(frozen.name)]
                for engine in fleet.engines
            ]
            for rule in rules:
                rule.hold_requests = True
            late = [self.start_chat(fleet, frozen) for _ in range(4)]
            await poll_until(
                lambda: self.is_sending(fleet, frozen, 4), "4 requests sent"
            )
            frozen.send_signal(signal.SIGSTOP)
            accepted = await self.publish_leaving(fleet, fleet.hosts[1])
            stopped = asyncio.Event()
            self.keep_sending(fleet, fleet.hosts[1], stopped)
            await self.wait_past_limit(fleet, accepted)
            stopped.set()
            for rule in rules:
                rule.hold_requests = False
            late += [self.start_chat(fleet, frozen) for _ in range(4)]
            frozen.send_signal(signal.SIGCONT)
            await asyncio.gather(*late)
            await self.check_no_new_work(fleet, accepted)

    async def test_everyone_loses_the_log_and_goes_on_serving(self) -> None:
        """Stop the log for all hosts for longer than the confirmation is valid.

        No change can have been accepted meanwhile. The targets confirm that they
        serve, so no request is refused with `no_target`.
        """
        async with Fleet(n_engines=2, tokens=50_000_000) as fleet:
            for host in fleet.hosts:
                await fleet.chat(host, max_tokens=2)
            await fleet.launcher.post_json(f"{fleet.log.url}/control", {"down": True})
            started = time.time()
            answers: list[CallerAnswer] = []
            while time.time() < started + NEW_WORK_LIMIT_S:
                answers += [await fleet.chat(h, max_tokens=1) for h in fleet.hosts]
            refused = {answer.body for answer in answers if answer.status != 200}
            no_target = [body for body in refused if b"no_target" in body]
            self.assertEqual(no_target, [])
            self.assertTrue(
                await self.has_started(fleet, started + NEW_WORK_LIMIT_S - 1.0)
            )

    async def has_started(self, fleet: Fleet, moment: float) -> bool:
        """Return whether any target started a request after a time."""
        executed = [
            await fleet.list_engine_requests(engine) for engine in fleet.engines
        ]
        return any(item["started"] > moment for items in executed for item in items)

    def start_chat(self, fleet: Fleet, host: RunningProcess) -> asyncio.Task[Any]:
        """Start a request in a task that the teardown waits for."""
        task = asyncio.create_task(fleet.chat(host, max_tokens=5))
        self.tasks.append(task)
        return task

    async def is_sending(
        self, fleet: Fleet, host: RunningProcess, n_requests: int
    ) -> bool:
        """Return whether a host has at least `n_requests` active at targets."""
        targets = await fleet.launcher.get_json(f"{host.operator_url}/targets")
        return bool(sum(target["active"] for target in targets) >= n_requests)
