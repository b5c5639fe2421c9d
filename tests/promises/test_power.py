"""Test that the power of a site's engines never exceeds the site's ceiling."""

import asyncio
import json
import signal
import time
import unittest
from typing import Any

from standins.launcher import RunningProcess, poll_until
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

IDLE_WATTS = 100
WATTS_PER_REQUEST = 20
OPTIONS = (
    "--idle-watts",
    str(IDLE_WATTS),
    "--watts-per-request",
    str(WATTS_PER_REQUEST),
)
ACCOUNT = "site:brest"


def make_power_file(
    n_engines: int, n_requests: int, *, checks_fencing: bool = True
) -> str:
    """Return a file with a ceiling that allows `n_requests` at the same time."""
    ceiling = n_engines * IDLE_WATTS + n_requests * WATTS_PER_REQUEST
    lines = ["[sites.brest]", f"ceiling_watts = {ceiling}"]
    for number in range(n_engines):
        lines.append(f"[targets.engine-{number}]")
        lines.append(f"checks_fencing = {str(checks_fencing).lower()}")
        lines.append(f"fences_cancelled = {str(checks_fencing).lower()}")
    return "\n".join(lines) + "\n"


class PowerTest(unittest.IsolatedAsyncioTestCase):
    """Load hosts up to the ceiling under faults and read the engines' meters."""

    def make_fleet(self, *options: str, **settings: Any) -> Fleet:
        """Return a fleet with engines that meter watts and fast loss detection."""
        return Fleet(
            engine_options=(*OPTIONS, *options),
            host_settings={"suspect_after_s": 0.6, "heartbeat_s": 0.1},
            **settings,
        )

    async def set_ceiling(
        self, fleet: Fleet, content: str, name: str = "20-power.toml"
    ) -> None:
        """Publish a ceiling and wait until every host's ledger has it."""
        answer = await fleet.publish(name, content)
        self.assertTrue(answer["accepted"], answer)
        revision = answer["revision"]
        await poll_until(
            lambda: self.is_limit_in_ledgers(fleet, revision), "the ceiling"
        )

    async def is_limit_in_ledgers(self, fleet: Fleet, revision: int) -> bool:
        """Return whether every host's ledger has the limit of a revision."""
        ledgers = [await fleet.get_ledger(host) for host in fleet.hosts]
        return all(
            ledger["accounts"][ACCOUNT]["revision"] >= revision for ledger in ledgers
        )

    async def asyncSetUp(self) -> None:
        """Prepare the list of tasks that the teardown waits for."""
        self.tasks: list[asyncio.Task[Any]] = []

    async def asyncTearDown(self) -> None:
        """Wait for the tasks that still run."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def start_requests(
        self,
        fleet: Fleet,
        hosts: list[RunningProcess],
        n_requests: int,
        max_tokens: int = 20,
    ) -> list[asyncio.Task[CallerAnswer]]:
        """Start requests in tasks, to the hosts in turn."""
        tasks = [
            asyncio.create_task(
                fleet.chat(hosts[number % len(hosts)], max_tokens=max_tokens)
            )
            for number in range(n_requests)
        ]
        self.tasks += tasks
        return tasks

    async def check_never_above(self, fleet: Fleet, ceiling: int) -> None:
        """Check that the engines' total power never exceeded the ceiling."""
        highest = max(watts for _, watts in await fleet.list_power_changes())
        self.assertLessEqual(highest, ceiling)

    async def wait_until_free(self, fleet: Fleet, host: RunningProcess) -> None:
        """Wait until a host's ledger has no sealed draw of the site's watts."""

        async def is_free() -> bool:
            ledger = await fleet.get_ledger(host)
            sealed = [
                draw
                for draw in ledger["draws"].values()
                if draw["account"] == ACCOUNT and draw["status"] == "sealed"
            ]
            return not sealed

        await poll_until(is_free, "lost hosts' watts to be free")

    async def test_frozen_host_wakes_after_its_watts_went_to_others(self) -> None:
        """Guard against late requests whose watts were given to other hosts.

        A host holds watts, and its requests are held on their way to the target. It
        is frozen and declared lost. The target refuses the host from then on, and its
        watts are given to others. When the host resumes and its old requests arrive,
        they are refused: the sum never exceeds the ceiling.
        """
        async with self.make_fleet("--checks-fencing") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5))
            frozen, *others = fleet.hosts
            rule = fleet.proxies["engine-0"].rules[get_address(frozen.name)]
            rule.hold_requests = True
            late = self.start_requests(fleet, [frozen], 3)
            await poll_until(
                lambda: self.has_confirmed_holds(fleet, frozen, 3 * WATTS_PER_REQUEST),
                "watts to be held",
            )
            frozen.send_signal(signal.SIGSTOP)
            await poll_until(
                lambda: self.is_sealed(fleet, others[0], released=True),
                "the frozen host's watts to be released",
            )
            running = self.start_requests(fleet, others, 5, max_tokens=400)
            await poll_until(lambda: self.is_running(fleet, 5), "others to run")
            rule.hold_requests = False
            frozen.send_signal(signal.SIGCONT)
            answers = await asyncio.gather(*late, *running)
            self.assertEqual([answer.status for answer in answers[3:]], [200] * 5)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS_PER_REQUEST)

    async def test_frozen_host_keeps_its_watts_at_a_target_that_checks_nothing(
        self,
    ) -> None:
        """Freeze a host as above, with a target that runs every request.

        No host can know whether the frozen host's requests will still arrive. So its
        watts stay charged and others get less. When the requests do run, the sum is
        still within the ceiling. The holder itself then frees the watts.
        """
        async with self.make_fleet("--forgets-cancels") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5, checks_fencing=False))
            frozen, *others = fleet.hosts
            rule = fleet.proxies["engine-0"].rules[get_address(frozen.name)]
            rule.hold_requests = True
            self.start_requests(fleet, [frozen], 3, max_tokens=400)
            await poll_until(
                lambda: self.has_confirmed_holds(fleet, frozen, 3 * WATTS_PER_REQUEST),
                "watts to be held",
            )
            frozen.send_signal(signal.SIGSTOP)
            await poll_until(
                lambda: self.is_sealed(fleet, others[0], released=False),
                "the frozen host's draw to be sealed",
            )
            for _ in range(10):
                self.start_requests(fleet, others, 5, max_tokens=400)
                await asyncio.sleep(0.1)
            await poll_until(lambda: self.is_running(fleet, 2), "others to run")
            rule.hold_requests = False
            frozen.send_signal(signal.SIGCONT)
            await poll_until(
                lambda: self.is_running(fleet, 5), "the late requests to run"
            )
            await asyncio.gather(*self.tasks)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS_PER_REQUEST)
            await self.wait_until_free(fleet, others[0])

    async def test_killed_host_leaves_requests_running(self) -> None:
        """Kill a host whose requests continue to run at a target.

        The other hosts ask for all the watts immediately. They get those of the
        killed host only when the target reports that its requests have ended, and
        then all of them, also at a target that does not check fencing numbers.
        """
        for checks in (True, False):
            options = ("--checks-fencing",) if checks else ("--forgets-cancels",)
            with self.subTest(checks=checks):
                async with self.make_fleet("--keep-running", *options) as fleet:
                    await self.check_killed_host(fleet, checks=checks)

    async def check_killed_host(self, fleet: Fleet, *, checks: bool) -> None:
        """Kill a host with running requests, and use all watts from the others."""
        await self.set_ceiling(fleet, make_power_file(1, 5, checks_fencing=checks))
        victim, *others = fleet.hosts
        lost = self.start_requests(fleet, [victim], 4, max_tokens=600)
        await poll_until(lambda: self.is_running(fleet, 4), "requests to run")
        await fleet.launcher.kill(victim.name)
        await asyncio.gather(*lost, return_exceptions=True)

        await self.fill_site(fleet, others)
        await self.wait_until_free(fleet, others[0])
        await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS_PER_REQUEST)

    async def test_killed_host_and_its_witness_with_it(self) -> None:
        """Kill a host with running requests, together with its draw's witness.

        No seal can name those requests. The remaining host orders every target of the
        site to refuse the killed holder, and waits until none of the holder's requests
        runs. Then all the watts are free.
        """
        async with self.make_fleet("--keep-running", "--checks-fencing") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5))
            victim = fleet.hosts[0]
            self.start_requests(fleet, [victim], 4, max_tokens=600)
            await poll_until(lambda: self.is_running(fleet, 4), "requests to run")
            draws = (await fleet.get_ledger(victim))["draws"].values()
            witness = next(
                draw["witness"] for draw in draws if draw["account"] == ACCOUNT
            )
            lost = [victim, *(h for h in fleet.hosts if witness.startswith(h.name))]
            await asyncio.gather(*(fleet.launcher.kill(host.name) for host in lost))
            last = [host for host in fleet.hosts if host not in lost]
            await self.fill_site(fleet, last)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS_PER_REQUEST)

    async def fill_site(self, fleet: Fleet, hosts: list[RunningProcess]) -> None:
        """Send requests to hosts until their requests use all the site's watts."""

        async def is_full() -> bool:
            # Requests are refused immediately while the watts are held.
            self.start_requests(fleet, hosts, 5, max_tokens=300)
            await asyncio.sleep(0.1)
            names = tuple(host.name for host in hosts)
            running = [
                item
                for engine in fleet.engines
                for item in await fleet.list_engine_requests(engine)
                if item["ended"] is None and item["incarnation"].startswith(names)
            ]
            return len(running) == 5

        await poll_until(is_full, "the site's watts to be used by others")

    async def test_target_is_out_of_reach_with_requests_running(self) -> None:
        """Cut a host from a target that continues to run its requests.

        Their deadline passes, and the callers get an error with an unknown effect.
        The watts stay held, whatever others ask for, until the cut ends and the
        target confirms the end of the requests.
        """
        async with self.make_fleet("--keep-running", n_engines=2) as fleet:
            await self.set_ceiling(fleet, make_power_file(2, 5, checks_fencing=False))
            cut_off, *others = fleet.hosts
            deadline = {"X-Deadline-Ms": "1500"}
            lost = [
                asyncio.create_task(
                    fleet.chat(cut_off, max_tokens=3000, headers=deadline)
                )
                for _ in range(4)
            ]
            await poll_until(lambda: self.is_running(fleet, 4), "requests to run")
            fleet.cut([cut_off], ["engine-0"])
            answers = await asyncio.gather(*lost)
            errors = [json.loads(answer.body)["error"] for answer in answers]
            self.assertEqual({error["effect"] for error in errors}, {"unknown"})
            # Nor may the cut host use those watts at the other target.
            again = self.start_requests(fleet, others, 8, max_tokens=200)
            for _ in range(3):
                again += [
                    asyncio.create_task(
                        fleet.chat(cut_off, max_tokens=200, headers=deadline)
                    )
                    for _ in range(6)
                ]
                await asyncio.gather(*again)
            fleet.heal()
            await self.fill_site(fleet, others)
            await self.check_never_above(fleet, 2 * IDLE_WATTS + 5 * WATTS_PER_REQUEST)

    async def test_ceiling_is_lowered_under_load(self) -> None:
        """Lower the ceiling of a site that uses all its watts.

        Running requests complete, and no new one starts above the new ceiling. The
        ceiling is in force when the ledger holds no more than it allows; from then on
        the meters stay within it.
        """
        async with self.make_fleet(n_engines=2) as fleet:
            await self.set_ceiling(fleet, make_power_file(2, 8))
            stopped = asyncio.Event()
            load = [
                asyncio.create_task(self.keep_sending(fleet, host, stopped))
                for host in fleet.hosts * 4
            ]
            self.tasks += load
            await poll_until(lambda: self.is_running(fleet, 6), "the site to be full")
            lowered = make_power_file(2, 3)
            await self.set_ceiling(fleet, lowered, "30-power.toml")
            await poll_until(
                lambda: self.is_ceiling_in_force(fleet), "the ceiling in force"
            )
            in_force = time.monotonic()
            n_before = await fleet.count_executed_tokens()

            async def has_gone_on() -> bool:
                return await fleet.count_executed_tokens() > n_before + 300

            await poll_until(has_gone_on, "requests under the new ceiling")
            stopped.set()
            await asyncio.gather(*load)
            power = await fleet.list_power_changes()
            self.assertLessEqual(
                max(w for _, w in power), 2 * IDLE_WATTS + 8 * WATTS_PER_REQUEST
            )
            after = [watts for at, watts in power if at >= in_force]
            self.assertLessEqual(max(after), 2 * IDLE_WATTS + 3 * WATTS_PER_REQUEST)

    async def keep_sending(
        self, fleet: Fleet, host: RunningProcess, stopped: asyncio.Event
    ) -> None:
        """Send one request after another until `stopped` is set."""
        while not stopped.is_set():
            answer = await fleet.chat(host, max_tokens=40)
            self.assertIn(answer.status, (200, 429, 503), answer.body)
            if answer.status != 200:
                await asyncio.sleep(0.05)

    async def count_running(self, fleet: Fleet) -> int:
        """Return the number of requests that the engines run."""
        meters = [
            await fleet.launcher.get_json(f"{engine.url}/meter")
            for engine in fleet.engines
        ]
        return sum(meter["running"] for meter in meters)

    async def is_running(self, fleet: Fleet, n_requests: int) -> bool:
        """Return whether the engines run at least `n_requests`."""
        return await self.count_running(fleet) >= n_requests

    async def has_confirmed_holds(
        self, fleet: Fleet, host: RunningProcess, watts: int
    ) -> bool:
        """Return whether a host holds `watts` that its witness has confirmed."""
        pool = await fleet.get_pool(host, ACCOUNT)
        draw = pool["current"] if pool else None
        holds = draw["holds"].values() if draw else ()
        held = [hold for hold in holds if hold["confirmed"]]
        return bool(sum(hold["tokens"] for hold in held) >= watts)

    async def is_sealed(
        self, fleet: Fleet, host: RunningProcess, *, released: bool
    ) -> bool:
        """Return whether the first host's draws are sealed, or are released."""
        draws = (await fleet.get_ledger(host))["draws"].values()
        mine = [
            draw
            for draw in draws
            if draw["account"] == ACCOUNT and draw["holder"].startswith("host-0-")
        ]
        if released:
            return not mine
        return bool(mine) and all(draw["status"] == "sealed" for draw in mine)

    async def is_ceiling_in_force(self, fleet: Fleet) -> bool:
        """Return whether the ledger holds no more watts than the ceiling allows."""
        account = (await fleet.get_ledger(fleet.hosts[0]))["accounts"][ACCOUNT]
        return bool(account["held"] <= account["limit"])
