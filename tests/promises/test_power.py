"""Show that a site's engines never draw more than its ceiling."""

import asyncio
import json
import signal
import time
import unittest
from typing import Any

from standins.launcher import Running, wait_for
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

IDLE_WATTS = 100
WATTS = 20
OPTIONS = ("--idle-watts", str(IDLE_WATTS), "--watts-per-request", str(WATTS))
ACCOUNT = "site:brest"


def make_power_file(
    n_engines: int, n_requests: int, *, checks_fencing: bool = True
) -> str:
    """Return a ceiling with room for a number of requests."""
    ceiling = n_engines * IDLE_WATTS + n_requests * WATTS
    lines = ["[sites.brest]", f"ceiling_watts = {ceiling}"]
    for number in range(n_engines):
        lines.append(f"[targets.engine-{number}]")
        lines.append(f"checks_fencing = {str(checks_fencing).lower()}")
        lines.append(f"fences_cancelled = {str(checks_fencing).lower()}")
    return "\n".join(lines) + "\n"


class PowerTest(unittest.IsolatedAsyncioTestCase):
    """Bring hosts to their limit and read the engines' meters."""

    def make_fleet(self, *options: str, **settings: Any) -> Fleet:
        """Return a fleet whose engines meter watts and whose draws are short."""
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
        await wait_for(lambda: self.is_known(fleet, revision), "the ceiling")

    async def is_known(self, fleet: Fleet, revision: int) -> bool:
        """Tell whether every host has a revision's limit in its ledger."""
        ledgers = [await fleet.get_ledger(host) for host in fleet.hosts]
        return all(
            ledger["accounts"][ACCOUNT]["revision"] >= revision for ledger in ledgers
        )

    async def asyncSetUp(self) -> None:
        """Keep what is sent, so that no task is left behind."""
        self.sent: list[asyncio.Task[Any]] = []

    async def asyncTearDown(self) -> None:
        """Wait for what is still under way."""
        await asyncio.gather(*self.sent, return_exceptions=True)

    def send(
        self, fleet: Fleet, hosts: list[Running], n_requests: int, max_tokens: int = 20
    ) -> list[asyncio.Task[CallerAnswer]]:
        """Send requests over the hosts in turn."""
        tasks = [
            asyncio.create_task(
                fleet.chat(hosts[number % len(hosts)], max_tokens=max_tokens)
            )
            for number in range(n_requests)
        ]
        self.sent += tasks
        return tasks

    async def check_never_above(self, fleet: Fleet, ceiling: int) -> None:
        """Check the sum of the meters over the whole time."""
        highest = max(watts for _, watts in await fleet.list_power())
        self.assertLessEqual(highest, ceiling)

    async def wait_until_free(self, fleet: Fleet, host: Running) -> None:
        """Wait until no watt of the site is held by anyone but by idle draws."""

        async def is_free() -> bool:
            ledger = await fleet.get_ledger(host)
            sealed = [
                draw
                for draw in ledger["draws"].values()
                if draw["account"] == ACCOUNT and draw["status"] == "sealed"
            ]
            return not sealed

        await wait_for(is_free, "lost hosts' watts to be free")

    async def test_frozen_host_wakes_after_its_watts_went_to_others(self) -> None:
        """A host holds watts, and its requests stay on the way to the target.

        It is frozen and taken for lost. Its target refuses it from then on,
        its watts go to others, and when it wakes and its old requests arrive,
        they are turned away: the sum never passes the ceiling.
        """
        async with self.make_fleet("--checks-fencing") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5))
            frozen, *others = fleet.hosts
            rule = fleet.proxies["engine-0"].rules[get_address(frozen.name)]
            rule.hold_requests = True
            late = self.send(fleet, [frozen], 3)
            await wait_for(
                lambda: self.is_held(fleet, frozen, 3 * WATTS), "watts to be held"
            )
            frozen.signal(signal.SIGSTOP)
            await wait_for(
                lambda: self.is_sealed(fleet, others[0], released=True),
                "the frozen host's watts to be released",
            )
            running = self.send(fleet, others, 5, max_tokens=400)
            await wait_for(lambda: self.is_running(fleet, 5), "others to run")
            rule.hold_requests = False
            frozen.signal(signal.SIGCONT)
            answers = await asyncio.gather(*late, *running)
            self.assertEqual([answer.status for answer in answers[3:]], [200] * 5)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS)

    async def test_frozen_host_keeps_its_watts_at_a_target_that_checks_nothing(
        self,
    ) -> None:
        """As above, but the target runs whatever comes.

        Nobody can tell that the frozen host's requests will never come. So its
        watts stay charged, others get less, and when the requests do run, the
        sum is still below the ceiling. The holder itself then frees them.
        """
        async with self.make_fleet("--forgets-cancels") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5, checks_fencing=False))
            frozen, *others = fleet.hosts
            rule = fleet.proxies["engine-0"].rules[get_address(frozen.name)]
            rule.hold_requests = True
            self.send(fleet, [frozen], 3, max_tokens=400)
            await wait_for(
                lambda: self.is_held(fleet, frozen, 3 * WATTS), "watts to be held"
            )
            frozen.signal(signal.SIGSTOP)
            await wait_for(
                lambda: self.is_sealed(fleet, others[0], released=False),
                "the frozen host's draw to be sealed",
            )
            for _ in range(10):
                self.send(fleet, others, 5, max_tokens=400)
                await asyncio.sleep(0.1)
            await wait_for(lambda: self.is_running(fleet, 2), "others to run")
            rule.hold_requests = False
            frozen.signal(signal.SIGCONT)
            await wait_for(lambda: self.is_running(fleet, 5), "the late ones to run")
            await asyncio.gather(*self.sent)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS)
            await self.wait_until_free(fleet, others[0])

    async def test_killed_host_leaves_requests_running(self) -> None:
        """A host is killed while its requests run on at a target.

        The others ask for all the watts at once. They get those of the dead
        host only when the target says that its requests are over, and then
        the whole of them, also at a target that checks nothing.
        """
        for checks in (True, False):
            options = ("--checks-fencing",) if checks else ("--forgets-cancels",)
            with self.subTest(checks=checks):
                async with self.make_fleet("--keep-running", *options) as fleet:
                    await self.check_killed(fleet, checks=checks)

    async def check_killed(self, fleet: Fleet, *, checks: bool) -> None:
        """Kill a host with requests running, and fill the site from the others."""
        await self.set_ceiling(fleet, make_power_file(1, 5, checks_fencing=checks))
        doomed, *others = fleet.hosts
        lost = self.send(fleet, [doomed], 4, max_tokens=600)
        await wait_for(lambda: self.is_running(fleet, 4), "requests to run")
        await fleet.launcher.kill(doomed.name)
        await asyncio.gather(*lost, return_exceptions=True)

        await self.fill(fleet, others)
        await self.wait_until_free(fleet, others[0])
        await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS)

    async def test_killed_host_and_its_witness_with_it(self) -> None:
        """A host dies with requests running, and so does the peer that vouched.

        No seal will name those requests. The last host has every target of the
        site refuse the dead holder and waits until none of its requests runs;
        then the whole of the watts is back.
        """
        async with self.make_fleet("--keep-running", "--checks-fencing") as fleet:
            await self.set_ceiling(fleet, make_power_file(1, 5))
            doomed = fleet.hosts[0]
            self.send(fleet, [doomed], 4, max_tokens=600)
            await wait_for(lambda: self.is_running(fleet, 4), "requests to run")
            draws = (await fleet.get_ledger(doomed))["draws"].values()
            witness = next(
                draw["witness"] for draw in draws if draw["account"] == ACCOUNT
            )
            lost = [doomed, *(h for h in fleet.hosts if witness.startswith(h.name))]
            await asyncio.gather(*(fleet.launcher.kill(host.name) for host in lost))
            last = [host for host in fleet.hosts if host not in lost]
            await self.fill(fleet, last)
            await self.check_never_above(fleet, IDLE_WATTS + 5 * WATTS)

    async def fill(self, fleet: Fleet, hosts: list[Running]) -> None:
        """Send through hosts until the whole site's watts are in use by them."""

        async def is_full() -> bool:
            # Refused at once while the watts are held; a caller tries again.
            self.send(fleet, hosts, 5, max_tokens=300)
            await asyncio.sleep(0.1)
            names = tuple(host.name for host in hosts)
            running = [
                item
                for engine in fleet.engines
                for item in await fleet.list_executed_at(engine)
                if item["ended"] is None and item["incarnation"].startswith(names)
            ]
            return len(running) == 5

        await wait_for(is_full, "the site's watts to be used by others")

    async def test_target_is_out_of_reach_with_requests_running(self) -> None:
        """A host is cut from a target that runs its requests on.

        Their deadline passes, and the callers are told that the outcome is
        unknown. The watts stay held, whatever others ask for, until the cut
        heals and the target confirms the end.
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
            await wait_for(lambda: self.is_running(fleet, 4), "requests to run")
            fleet.cut([cut_off], ["engine-0"])
            answers = await asyncio.gather(*lost)
            errors = [json.loads(answer.body)["error"] for answer in answers]
            self.assertEqual({error["effect"] for error in errors}, {"unknown"})
            # The host itself must not use those watts at the other target.
            again = self.send(fleet, others, 8, max_tokens=200)
            for _ in range(3):
                again += [
                    asyncio.create_task(
                        fleet.chat(cut_off, max_tokens=200, headers=deadline)
                    )
                    for _ in range(6)
                ]
                await asyncio.gather(*again)
            fleet.heal()
            await self.fill(fleet, others)
            await self.check_never_above(fleet, 2 * IDLE_WATTS + 5 * WATTS)

    async def test_ceiling_is_lowered_under_load(self) -> None:
        """The site is full when its ceiling is lowered.

        What runs ends in peace and nothing new starts above the new ceiling.
        From the moment that the ledger holds no more than the ceiling allows,
        which is when it is in force, the meters stay below it.
        """
        async with self.make_fleet(n_engines=2) as fleet:
            await self.set_ceiling(fleet, make_power_file(2, 8))
            stopped = asyncio.Event()
            load = [
                asyncio.create_task(self.keep_sending(fleet, host, stopped))
                for host in fleet.hosts * 4
            ]
            self.sent += load
            await wait_for(lambda: self.is_running(fleet, 6), "the site to be full")
            lowered = make_power_file(2, 3)
            await self.set_ceiling(fleet, lowered, "30-power.toml")
            await wait_for(lambda: self.is_in_force(fleet), "the ceiling in force")
            in_force = time.monotonic()
            n_before = await fleet.count_executed()

            async def has_gone_on() -> bool:
                return await fleet.count_executed() > n_before + 300

            await wait_for(has_gone_on, "requests under the new ceiling")
            stopped.set()
            await asyncio.gather(*load)
            power = await fleet.list_power()
            self.assertLessEqual(max(w for _, w in power), 2 * IDLE_WATTS + 8 * WATTS)
            after = [watts for at, watts in power if at >= in_force]
            self.assertLessEqual(max(after), 2 * IDLE_WATTS + 3 * WATTS)

    async def keep_sending(
        self, fleet: Fleet, host: Running, stopped: asyncio.Event
    ) -> None:
        """Send one request after the other until stopped."""
        while not stopped.is_set():
            answer = await fleet.chat(host, max_tokens=40)
            self.assertIn(answer.status, (200, 429, 503), answer.body)
            if answer.status != 200:
                await asyncio.sleep(0.05)

    async def count_running(self, fleet: Fleet) -> int:
        """Return the requests that the engines run."""
        meters = [
            await fleet.launcher.get_json(f"{engine.url}/meter")
            for engine in fleet.engines
        ]
        return sum(meter["running"] for meter in meters)

    async def is_running(self, fleet: Fleet, n_requests: int) -> bool:
        """Tell whether the engines run at least so many requests."""
        return await self.count_running(fleet) >= n_requests

    async def is_held(self, fleet: Fleet, host: Running, watts: int) -> bool:
        """Tell whether a host holds watts that its witness vouches for."""
        pool = await fleet.get_pool(host, ACCOUNT)
        draw = pool["current"] if pool else None
        holds = draw["holds"].values() if draw else ()
        held = [hold for hold in holds if hold["confirmed"]]
        return bool(sum(hold["tokens"] for hold in held) >= watts)

    async def is_sealed(self, fleet: Fleet, host: Running, *, released: bool) -> bool:
        """Tell whether the first host's draw is sealed, or released as well."""
        draws = (await fleet.get_ledger(host))["draws"].values()
        mine = [
            draw
            for draw in draws
            if draw["account"] == ACCOUNT and draw["holder"].startswith("host-0-")
        ]
        if released:
            return not mine
        return bool(mine) and all(draw["status"] == "sealed" for draw in mine)

    async def is_in_force(self, fleet: Fleet) -> bool:
        """Tell whether the ledger holds no more watts than the ceiling allows."""
        account = (await fleet.get_ledger(fleet.hosts[0]))["accounts"][ACCOUNT]
        return bool(account["held"] <= account["limit"])
