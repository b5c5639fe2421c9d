"""Show that a call that may not be repeated runs at most once."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable

from standins.launcher import Running, wait_for
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

Booking = asyncio.Task[CallerAnswer]
UNKNOWN = "unknown"


class BookingTest(unittest.IsolatedAsyncioTestCase):
    """Break hosts, log and service around one booking."""

    async def assert_one_effect(self, fleet: Fleet, key: str) -> None:
        """Retry everywhere and count the effects that the service's meter shows."""
        alive = [host for host in fleet.hosts if host.name in fleet.launcher.running]
        await asyncio.gather(*(fleet.book(host, key) for host in alive))
        self.assertLessEqual(len(await fleet.list_effects()), 1)

    async def test_simultaneous_retries_at_several_hosts(self) -> None:
        """Let a secretary's page send one booking four times to each host at once.

        All twelve race for the key's intent on the log. The first intent wins and
        is sent; the others find it and wait for its outcome. All callers get the
        same confirmation, and the service acted once.
        """
        async with Fleet() as fleet:
            answers = await asyncio.gather(
                *(fleet.book(host, "strip-7") for host in fleet.hosts * 4)
            )
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual({answer.json["confirmation"] for answer in answers}, {1})
            self.assertEqual(len(await fleet.list_effects()), 1)

    async def test_host_killed_at_each_step(self) -> None:
        """Kill the host that books, before and after each thing it sends.

        The log's or the service's bytes are held to stop it there: the intent on
        its way, the intent's answer, the call on its way, the service's answer,
        the outcome on its way. The caller's connection breaks and the page
        retries everywhere. Once the intent is on the log without an outcome,
        the retry says "unknown" and runs nothing.
        """
        async with Fleet(n_hosts=6) as fleet:
            steps = [hold_intent, hold_intent_answer, hold_call, hold_service_answer]
            for number, step in enumerate([*steps, hold_outcome]):
                await self._kill_at(fleet, step, number)

    async def _kill_at(self, fleet: Fleet, step: "Step", number: int) -> None:
        victim = fleet.hosts[number + 1]
        key = f"strip-{number}"
        before = len(await fleet.list_effects())
        with self.subTest(step=step.__name__):
            booking = asyncio.create_task(fleet.book(victim, key))
            try:
                await step(fleet, victim, key, booking)
            finally:
                await fleet.launcher.kill(victim.name)
                with contextlib.suppress(Exception):
                    await booking
            fleet.heal()
            alive = fleet.hosts[number + 2 :] + fleet.hosts[:1]
            answers = await asyncio.gather(*(fleet.book(host, key) for host in alive))
            effects = len(await fleet.list_effects()) - before
            self.assertLessEqual(effects, 1)
            if step in (hold_intent, hold_outcome):
                # What was held flows on after the kill, before or after a retry.
                return
            for answer in answers:
                self.assertEqual(answer.status, 409, answer.body)
                self.assertEqual(answer.error[1], UNKNOWN)

    async def test_caller_hangs_up_while_the_service_acts(self) -> None:
        """Hang up after the service acted and before it answered.

        The server cancels the handler of a lost connection. The run goes on as a
        task of its own and records the outcome, so the retry at another host gets
        the confirmation instead of "unknown".
        """
        async with Fleet() as fleet:
            await fleet.control(fleet.service, delay_s=0.5)
            booking = asyncio.create_task(fleet.book(fleet.hosts[0], "strip-7"))
            await wait_for(fleet.list_effects, "the effect")
            booking.cancel()
            answer = await fleet.book(fleet.hosts[1], "strip-7")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json["confirmation"], 1)
            self.assertEqual(len(await fleet.list_effects()), 1)

    async def test_answer_lost_after_the_effect(self) -> None:
        """Drop the connection after the service acted, for POST and for PUT.

        The caller is told that the call may have run, and so is every retry. The
        HTTP client sends PUT again by itself on a broken connection, which would
        be a second effect; its second send is stopped before the first byte.
        """
        async with Fleet() as fleet:
            for number, (operation, method) in enumerate(
                [("confirm", "POST"), ("move", "PUT")]
            ):
                await fleet.control(fleet.service, lose_answers=1)
                for host in fleet.hosts:
                    answer = await fleet.book(
                        host, operation, operation=operation, method=method
                    )
                    self.assertEqual(answer.status, 409, answer.body)
                    self.assertEqual(answer.error, ("outcome_unknown", UNKNOWN))
                self.assertEqual(len(await fleet.list_effects()), number + 1)

    async def test_append_answer_lost(self) -> None:
        """Lose the log's answer to the intent after the intent was kept.

        The host appends the same record again; the fold drops the repeat and the
        first one's verdict counts. The caller gets its confirmation.
        """
        async with Fleet() as fleet:
            await fleet.control(fleet.log, lose_answers=1)
            answer = await fleet.book(fleet.hosts[0], "strip-7")
            self.assertEqual(answer.status, 200, answer.body)
            await self.assert_one_effect(fleet, "strip-7")

    async def test_log_outage(self) -> None:
        """Take the log away; book with a new key and with one that has its outcome.

        The new booking is refused at once, not run, with a time to come back. The
        known key is replayed from the state that the host has folded. When the
        log is back, the refused key can be used.
        """
        async with Fleet() as fleet:
            first = await fleet.book(fleet.hosts[0], "strip-7")
            await wait_for(
                lambda: has_outcome(fleet, fleet.hosts[1], "strip-7"), "the outcome"
            )
            await fleet.control(fleet.log, down=True)
            for host in fleet.hosts:
                refused = await fleet.book(host, "strip-8")
                self.assertEqual(refused.error, ("log_unavailable", "not_run"))
                self.assertEqual(refused.headers["Retry-After"], "2")
            replay = await fleet.book(fleet.hosts[1], "strip-7")
            self.assertEqual(replay.body, first.body)
            self.assertEqual(len(await fleet.list_effects()), 1)
            await fleet.control(fleet.log)

            async def is_booked() -> bool:
                return (await fleet.book(fleet.hosts[1], "strip-8")).status == 200

            await wait_for(is_booked, "the refused key to be booked")
            self.assertEqual(len(await fleet.list_effects()), 2)

    async def test_service_refuses_or_cannot_be_reached(self) -> None:
        """Let the service refuse, answer too much, and be out of reach.

        Its refusal is the outcome and is replayed, also when it would now accept.
        An answer too large for the log is never replayed cut. A service that got
        no byte of the call ran nothing: the key is free again.
        """
        async with Fleet() as fleet:
            await fleet.control(fleet.service, refuse_status=409)
            refused = await fleet.book(fleet.hosts[0], "strip-1")
            await fleet.control(fleet.service, padding_bytes=20_000)
            again = await fleet.book(fleet.hosts[1], "strip-1")
            self.assertEqual((again.status, again.body), (409, refused.body))

            large = await fleet.book(fleet.hosts[0], "strip-2")
            self.assertGreater(len(large.body), 20_000)
            again = await fleet.book(fleet.hosts[1], "strip-2")
            self.assertEqual(again.status, 409, again.body)
            self.assertEqual(again.error, ("answer_not_kept", UNKNOWN))
            self.assertEqual(len(await fleet.list_effects()), 1)

            await fleet.proxies["service"].stop()
            unreached = await fleet.book(fleet.hosts[0], "strip-3")
            self.assertEqual(unreached.error, ("no_target", "not_run"))
            await fleet.proxies["service"].start()
            booked = await fleet.book(fleet.hosts[1], "strip-3")
            self.assertEqual(booked.status, 200, booked.body)
            self.assertEqual(len(await fleet.list_effects()), 2)

    async def test_cost_is_billed_once(self) -> None:
        """Book a call that costs tokens at every host with one key.

        Only the run that was sent is settled; replays cost nothing.
        """
        async with Fleet() as fleet:
            for host in fleet.hosts:
                answer = await fleet.book(host, "strip-7", operation="paid")
                self.assertEqual(answer.status, 200, answer.body)

            async def is_settled() -> bool:
                budgets = [await fleet.get_budget(host) for host in fleet.hosts]
                return all(budget["spent"] == 100 for budget in budgets)

            await wait_for(is_settled, "the cost to show on every host")
            self.assertEqual(len(await fleet.list_effects()), 1)


Step = Callable[[Fleet, Running, str, Booking], Awaitable[None]]


async def has_outcome(fleet: Fleet, host: Running, key: str) -> bool:
    """Tell whether a host has folded the outcome of a key."""
    intent = await fleet.get_intent(host, key)
    return intent is not None and intent["status"] is not None


async def hold_intent(fleet: Fleet, victim: Running, key: str, task: Booking) -> None:
    """Stop the intent on its way to the log."""
    rule = fleet.proxies["log"].rules[get_address(victim.name)]
    rule.hold_requests = True
    await wait_for(lambda: rule.n_held > 0, "the intent to be held")


async def hold_intent_answer(
    fleet: Fleet, victim: Running, key: str, task: Booking
) -> None:
    """Stop what the log answers, with the intent kept.

    The host would read its intent through a peer and go on, so the peers are
    cut off too.
    """
    others = [host for host in fleet.hosts if host is not victim]
    fleet.cut_apart([victim], others)
    fleet.proxies["log"].rules[get_address(victim.name)].hold_answers = True
    await wait_for_open_intent(fleet, key)


async def hold_call(fleet: Fleet, victim: Running, key: str, task: Booking) -> None:
    """Stop the call on its way to the service."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_requests = True
    await wait_for(lambda: rule.n_held > 0, "the call to be held")
    await wait_for_open_intent(fleet, key)


async def hold_service_answer(
    fleet: Fleet, victim: Running, key: str, task: Booking
) -> None:
    """Stop the service's answer after its effect."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_answers = True
    await wait_for(lambda: rule.n_held > 0, "the answer to be held")


async def hold_outcome(fleet: Fleet, victim: Running, key: str, task: Booking) -> None:
    """Stop the outcome on its way to the log."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_answers = True
    await wait_for(lambda: rule.n_held > 0, "the answer to be held")
    fleet.proxies["log"].rules[get_address(victim.name)].hold_requests = True
    rule.hold_answers = False
    await task


async def wait_for_open_intent(fleet: Fleet, key: str) -> None:
    """Wait until the first host has folded a key's intent, still without outcome."""

    async def is_open() -> bool:
        intent = await fleet.get_intent(fleet.hosts[0], key)
        return intent is not None and intent["status"] is None

    await wait_for(is_open, "an intent without an outcome")
