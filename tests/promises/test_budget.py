"""Show that no workspace spends beyond its prepaid budget, whatever fails."""

import asyncio
import signal
import time
import unittest

from standins.launcher import Running, wait_for
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address, make_config

ACCOUNT = "budget:brest"
REFUSED = 402
OK = 200
FAST = {"recovery_grace_s": 0.6, "suspect_after_s": 0.8}
SLOW_ENGINE = ("--tokens-per-s", "20")
LONG = 60
BURST = 12


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    """Break hosts, links and the log while budgets are spent."""

    async def test_frozen_holder_wakes_when_others_have_spent_the_rest(self) -> None:
        """A host stops after its check, its request held on the way out.

        It is given up for dead, its draw sealed and the request ended at the
        target; the others spend the rest. It wakes, the held request reaches
        the target, and so does one that a caller sent meanwhile: the target
        turns the first away, and the witness does not allow the second.
        """
        async with Fleet(tokens=600, host_settings=FAST) as fleet:
            frozen = fleet.hosts[0]
            address = get_address(frozen.name)
            await fleet.chat(frozen)
            fleet.proxies["engine-0"].rules[address].hold_requests = True
            waiting = asyncio.create_task(fleet.chat(frozen, max_tokens=200))
            await wait_for(
                lambda: is_holding(fleet, frozen), "the hold to be confirmed"
            )
            frozen.signal(signal.SIGSTOP)
            queued = asyncio.create_task(fleet.chat(frozen, max_tokens=200))
            await wait_for(
                lambda: is_given_up(fleet, fleet.hosts[1:], frozen),
                "the frozen host's draw to be sealed",
            )
            await self.spend_rest(fleet, fleet.hosts[1:])
            frozen.signal(signal.SIGCONT)
            fleet.proxies["engine-0"].heal(address)
            answers = await asyncio.gather(waiting, queued)
            self.assertNotIn(OK, [answer.status for answer in answers])
            await self.check_settled(fleet, paid=600)

    async def test_tokens_of_a_killed_host_come_back(self) -> None:
        """A host dies with requests open and much of the budget drawn.

        Its witness seals its draw, which frees what no request held; then the
        targets are asked what the open requests spent, and the rest is freed.
        """
        async with Fleet(
            tokens=20_000, engine_options=SLOW_ENGINE, host_settings=FAST
        ) as fleet:
            victim = fleet.hosts[0]
            calls = start_chats(fleet, victim, max_tokens=400)
            await wait_for(lambda: has_begun(fleet, BURST), "requests to run")
            await fleet.launcher.kill(victim.name)
            started = time.monotonic()
            await asyncio.gather(*calls, return_exceptions=True)
            survivors = fleet.hosts[1:]
            await wait_for(
                lambda: is_released(fleet, survivors, 200), "all but 1% to be free"
            )
            print(f"measured: 99% free {time.monotonic() - started:.2f} s after a kill")
            fleet.hosts = survivors
            await self.check_settled(fleet, paid=20_000)

    async def test_two_sides_cut_apart_and_one_from_the_log(self) -> None:
        """Two data centres lose each other, and one of them the log as well.

        Requests go on at every host, a top-up lands on the side that reaches
        the log. Each side spends what it has drawn; after the cut every host
        shows the same spend, which the targets' meters bear out.
        """
        async with Fleet(n_hosts=4, tokens=900, host_settings=FAST) as fleet:
            await spend_everywhere(fleet, fleet.hosts, 1)
            here, there = fleet.hosts[:2], fleet.hosts[2:]
            fleet.cut_apart(here, there)
            fleet.cut(there, ["log"])
            await spend_everywhere(fleet, fleet.hosts, 2)
            verdict = await fleet.launcher.post_json(
                f"{here[0].operator_url}/budgets/brest/top-up",
                {"amount": 300, "operation": "top-up-in-the-cut"},
            )
            self.assertTrue(verdict["accepted"])
            await self.spend_rest(fleet, here)
            self.assertLessEqual(await fleet.count_executed(), 1_200)
            fleet.heal()
            await self.spend_rest(fleet, fleet.hosts)
            await self.check_settled(fleet, paid=1_200)

    async def test_limit_lowered_below_what_is_drawn(self) -> None:
        """An operator lowers a budget below what the hosts have drawn.

        Every host gives back what no request holds, so that the budget is
        spent no further than the new limit, and a caller is refused at once.
        """
        async with Fleet(tokens=5_000, host_settings=FAST) as fleet:
            await spend_everywhere(fleet, fleet.hosts, 4)
            executed = await fleet.count_executed()
            lowered = make_config(
                [fleet.proxies["engine-0"].url],
                [fleet.proxies["service"].url],
                tokens=executed + 50,
            )
            answer = await fleet.publish("10-base.toml", lowered, "lower")
            self.assertTrue(answer["accepted"], answer)

            async def is_given_back() -> bool:
                budget = await fleet.get_budget(fleet.hosts[0])
                lower = budget["paid"] == executed + 50
                return bool(lower and budget["free"] >= 0)

            await wait_for(is_given_back, "the hosts to give tokens back")
            await self.spend_rest(fleet, fleet.hosts)
            await self.check_settled(fleet, paid=executed + 50)

    async def test_answers_of_a_draw_and_a_return_are_lost(self) -> None:
        """The log takes a draw, later a return, and its answers are lost.

        The host appends both again and the fold drops the repeats, so nothing
        is granted or freed twice: the whole budget but the spend is free.
        """
        async with Fleet(tokens=3_000) as fleet:
            await fleet.control(fleet.log, lose_answers=3)
            await spend_everywhere(fleet, fleet.hosts, 2)
            await fleet.control(fleet.log, lose_answers=3)
            await wait_for(lambda: is_all_returned(fleet), "unheld tokens to return")
            await self.check_settled(fleet, paid=3_000)

    async def test_host_and_its_witness_killed_together(self) -> None:
        """A host dies with requests open and its witness dies with it.

        Nobody can vouch for what it did not spend: its draw is counted as
        spent. The others go on with the rest and nothing is overspent.
        """
        async with Fleet(
            n_hosts=4, tokens=4_000, engine_options=SLOW_ENGINE, host_settings=FAST
        ) as fleet:
            victim = fleet.hosts[0]
            calls = start_chats(fleet, victim, max_tokens=LONG)
            await wait_for(lambda: has_begun(fleet, BURST), "requests to run")
            witness = await find_witness(fleet, victim)
            await asyncio.gather(
                fleet.launcher.kill(victim.name), fleet.launcher.kill(witness)
            )
            await asyncio.gather(*calls, return_exceptions=True)
            fleet.hosts = [
                host for host in fleet.hosts if host.name not in (victim.name, witness)
            ]
            await wait_for(lambda: is_engine_idle(fleet), "the engine to drop them")
            answer = await fleet.chat(fleet.hosts[0])
            self.assertEqual(answer.status, OK, answer.body)
            await fleet.control(fleet.engines[0], tokens_per_s=2_000)
            await self.spend_rest(fleet, fleet.hosts)
            self.assertLessEqual(await fleet.count_executed(), 4_000)

    async def test_frozen_witness_refuses_nobody(self) -> None:
        """The witness of a host's draw stops without a word.

        The host gives it up before a caller's patience ends, draws again with
        another witness and answers; the old draw's rest comes back.
        """
        async with Fleet(tokens=5_000) as fleet:
            await fleet.chat(fleet.hosts[0])
            name = await find_witness(fleet, fleet.hosts[0])
            witness = next(host for host in fleet.hosts if host.name == name)
            witness.signal(signal.SIGSTOP)
            answer = await fleet.chat(fleet.hosts[0])
            witness.signal(signal.SIGCONT)
            self.assertEqual(answer.status, OK, answer.body)
            await wait_for(lambda: is_all_returned(fleet), "unheld tokens to return")
            await self.check_settled(fleet, paid=5_000)

    async def spend_rest(self, fleet: Fleet, hosts: list[Running]) -> None:
        """Send requests until each host has refused for want of budget."""
        refused: set[str] = set()
        deadline = time.monotonic() + 30
        while len(refused) < len(hosts):
            for host in hosts:
                answer = await fleet.chat(host, max_tokens=40)
                if answer.status == REFUSED:
                    self.assertIn("Retry-After", answer.headers)
                    refused.add(host.name)
            self.assertLess(time.monotonic(), deadline, "the budget never ran out")

    async def check_settled(self, fleet: Fleet, *, paid: int) -> None:
        """Check that every host shows what the meters do, within what was paid."""

        async def is_settled() -> bool:
            executed = await fleet.count_executed()
            budgets = [await fleet.get_budget(host) for host in fleet.hosts]
            return all(
                budget["spent"] == executed and budget["doubtful"] == 0
                for budget in budgets
            )

        await wait_for(is_settled, "every host to show what was executed")
        self.assertLessEqual(await fleet.count_executed(), paid)


def start_chats(
    fleet: Fleet, host: Running, *, max_tokens: int
) -> list[asyncio.Task[CallerAnswer]]:
    """Send a burst of long requests to a host."""
    return [
        asyncio.create_task(fleet.chat(host, max_tokens=max_tokens, stream=True))
        for _ in range(BURST)
    ]


async def spend_everywhere(fleet: Fleet, hosts: list[Running], n_each: int) -> None:
    """Send a few requests to every host at once; any answer will do."""
    await asyncio.gather(*(fleet.chat(host) for host in hosts for _ in range(n_each)))


async def is_holding(fleet: Fleet, host: Running) -> bool:
    """Tell whether a host's witness has confirmed a hold."""
    pool = await fleet.get_pool(host, ACCOUNT)
    draw = pool["current"] if pool else None
    return bool(draw and draw["holds"] and not draw["unconfirmed"])


async def is_given_up(fleet: Fleet, hosts: list[Running], lost: Running) -> bool:
    """Tell whether hosts know no open draw of a lost one."""
    for host in hosts:
        state = await fleet.launcher.get_json(f"{host.operator_url}/state")
        for ledger in state["blackboard"]["ledgers"].values():
            for draw in ledger["draws"].values():
                if draw["status"] == "open" and draw["holder"].startswith(lost.name):
                    return False
    return True


async def find_witness(fleet: Fleet, host: Running) -> str:
    """Return the name of the host that vouches for another's draw."""
    pool = await fleet.get_pool(host, ACCOUNT)
    incarnation = pool["current"]["witness"]
    return str(incarnation.rsplit("-", 1)[0])


async def has_begun(fleet: Fleet, n_requests: int) -> bool:
    """Tell whether the engine runs as many requests."""
    meter = await fleet.launcher.get_json(f"{fleet.engines[0].url}/meter")
    return bool(meter["running"] >= n_requests)


async def is_engine_idle(fleet: Fleet) -> bool:
    """Tell whether the engine runs nothing."""
    meter = await fleet.launcher.get_json(f"{fleet.engines[0].url}/meter")
    return bool(meter["running"] == 0)


async def is_released(fleet: Fleet, hosts: list[Running], stranded: int) -> bool:
    """Tell whether all that was not executed is free but for a small part."""
    executed = await fleet.count_executed()
    budgets = [await fleet.get_budget(host) for host in hosts]
    return all(
        budget["paid"] - executed - budget["free"] <= stranded for budget in budgets
    )


async def is_all_returned(fleet: Fleet) -> bool:
    """Tell whether all that was not executed is free."""
    return await is_released(fleet, fleet.hosts, 0)


if __name__ == "__main__":
    unittest.main()
