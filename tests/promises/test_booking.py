"""Test that a call that may not be repeated runs at most once."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable

from standins.launcher import RunningProcess, poll_until
from tests.answers import CallerAnswer
from tests.common import Fleet, get_address

Booking = asyncio.Task[CallerAnswer]
UNKNOWN = "unknown"


class BookingTest(unittest.IsolatedAsyncioTestCase):
    """Inject faults into hosts, log and service during one booking."""

    async def assert_one_effect(self, fleet: Fleet, key: str) -> None:
        """Retry on all running hosts and check that the service acted at most once."""
        alive = [host for host in fleet.hosts if host.name in fleet.launcher.processes]
        await asyncio.gather(*(fleet.book(host, key) for host in alive))
        self.assertLessEqual(len(await fleet.list_effects()), 1)

    async def test_simultaneous_retries_at_several_hosts(self) -> None:
        """Guard against a second effect when a client sends one booking repeatedly.

        One booking is sent four times to each host at the same time. All twelve
        requests append an intent for the key. The first intent on the log is
        executed; the others find it and wait for its outcome. All callers get the
        same confirmation, and the service acts once.
        """
        async with Fleet() as fleet:
            answers = await asyncio.gather(
                *(fleet.book(host, "strip-7") for host in fleet.hosts * 4)
            )
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual({answer.json["confirmation"] for answer in answers}, {1})
            self.assertEqual(len(await fleet.list_effects()), 1)

    async def test_host_killed_at_each_step(self) -> None:
        """Guard against a second effect when the booking host is killed at any step.

        A proxy holds bytes to or from the log or the service to stop the host there:
        the intent, the reply to the intent, the call, the service's reply, the
        outcome. The caller's connection breaks and the client retries at all hosts.
        When the intent is on the log without an outcome, the retry returns "unknown"
        and runs nothing.
        """
        async with Fleet(n_hosts=6) as fleet:
            steps = [hold_intent, hold_intent_reply, hold_call, hold_service_reply]
            for number, step in enumerate([*steps, hold_outcome]):
                await self._kill_host_at(fleet, step, number)

    async def _kill_host_at(self, fleet: Fleet, step: "Step", number: int) -> None:
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
                # The proxy forwards the held bytes after the kill, before or after
                # a retry.
                return
            for answer in answers:
                self.assertEqual(answer.status, 409, answer.body)
                self.assertEqual(answer.error[1], UNKNOWN)

    async def test_caller_hangs_up_while_the_service_acts(self) -> None:
        """Guard against losing the outcome when the caller disconnects.

        The caller disconnects after the service acted and before it answered. The
        server cancels the handler of a closed connection. The run continues in a
        separate task and records the outcome, so a retry at another host gets the
        confirmation instead of "unknown".
        """
        async with Fleet() as fleet:
            await fleet.control_standin(fleet.service, delay_s=0.5)
            booking = asyncio.create_task(fleet.book(fleet.hosts[0], "strip-7"))
            await poll_until(fleet.list_effects, "the effect")
            booking.cancel()
            answer = await fleet.book(fleet.hosts[1], "strip-7")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json["confirmation"], 1)
            self.assertEqual(len(await fleet.list_effects()), 1)

    async def test_answer_lost_after_the_effect(self) -> None:
        """Close the connection after the service acted, for POST and for PUT.

        The caller and every retry get an error that says that the call may have run.
        The HTTP client repeats a PUT by itself on a broken connection, which would be
        a second effect; the host stops the repeat before its first byte is sent.
        """
        async with Fleet() as fleet:
            for number, (operation, method) in enumerate(
                [("confirm", "POST"), ("move", "PUT")]
            ):
                await fleet.control_standin(fleet.service, lose_answers=1)
                for host in fleet.hosts:
                    answer = await fleet.book(
                        host, operation, operation=operation, method=method
                    )
                    self.assertEqual(answer.status, 409, answer.body)
                    self.assertEqual(answer.error, ("outcome_unknown", UNKNOWN))
                self.assertEqual(len(await fleet.list_effects()), number + 1)

    async def test_append_answer_lost(self) -> None:
        """Lose the log's reply to the intent after the log stored the intent.

        The host appends the same record again. The fold ignores the repeat and keeps
        the verdict on the first. The caller gets its confirmation.
        """
        async with Fleet() as fleet:
            await fleet.control_standin(fleet.log, lose_answers=1)
            answer = await fleet.book(fleet.hosts[0], "strip-7")
            self.assertEqual(answer.status, 200, answer.body)
            await self.assert_one_effect(fleet, "strip-7")

    async def test_log_outage(self) -> None:
        """Stop the log, then book with a new key and with a key that has an outcome.

        The new booking is refused immediately as not run, with a Retry-After. The
        known key's outcome is replayed from the host's folded state. When the log is
        back, the refused key can be booked.
        """
        async with Fleet() as fleet:
            first = await fleet.book(fleet.hosts[0], "strip-7")
            await poll_until(
                lambda: has_outcome(fleet, fleet.hosts[1], "strip-7"), "the outcome"
            )
            await fleet.control_standin(fleet.log, down=True)
            for host in fleet.hosts:
                refused = await fleet.book(host, "strip-8")
                self.assertEqual(refused.error, ("log_unavailable", "not_run"))
                self.assertEqual(refused.headers["Retry-After"], "2")
            replay = await fleet.book(fleet.hosts[1], "strip-7")
            self.assertEqual(replay.body, first.body)
            self.assertEqual(len(await fleet.list_effects()), 1)
            await fleet.control_standin(fleet.log)

            async def is_booked() -> bool:
                return (await fleet.book(fleet.hosts[1], "strip-8")).status == 200

            await poll_until(is_booked, "the refused key to be booked")
            self.assertEqual(len(await fleet.list_effects()), 2)

    async def test_service_refuses_or_cannot_be_reached(self) -> None:
        """Let the service refuse, send a large answer, and be unreachable.

        A refusal is an outcome and is replayed, even when the service would accept
        by then. An answer that is too large for the log is never replayed truncated.
        A service that received no byte of the call ran nothing, so the key can be
        used again.
        """
        async with Fleet() as fleet:
            await fleet.control_standin(fleet.service, refuse_status=409)
            refused = await fleet.book(fleet.hosts[0], "strip-1")
            await fleet.control_standin(fleet.service, padding_bytes=20_000)
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
        """Send one booking that costs tokens to every host with the same key.

        Only the executed run is settled; replays cost nothing.
        """
        async with Fleet() as fleet:
            for host in fleet.hosts:
                answer = await fleet.book(host, "strip-7", operation="paid")
                self.assertEqual(answer.status, 200, answer.body)

            async def is_settled() -> bool:
                budgets = [await fleet.get_budget(host) for host in fleet.hosts]
                return all(budget["spent"] == 100 for budget in budgets)

            await poll_until(is_settled, "the cost to show on every host")
            self.assertEqual(len(await fleet.list_effects()), 1)


Step = Callable[[Fleet, RunningProcess, str, Booking], Awaitable[None]]


async def has_outcome(fleet: Fleet, host: RunningProcess, key: str) -> bool:
    """Return whether a host has folded the outcome of a key."""
    intent = await fleet.get_intent(host, key)
    return intent is not None and intent["status"] is not None


async def hold_intent(
    fleet: Fleet, victim: RunningProcess, key: str, task: Booking
) -> None:
    """Hold the intent on its way to the log."""
    rule = fleet.proxies["log"].rules[get_address(victim.name)]
    rule.hold_requests = True
    await poll_until(lambda: rule.n_held > 0, "the intent to be held")


async def hold_intent_reply(
    fleet: Fleet, victim: RunningProcess, key: str, task: Booking
) -> None:
    """Hold the log's reply after the log has stored the intent.

    The host would read its intent through a peer and continue, so it is cut off from
    its peers too.
    """
    others = [host for host in fleet.hosts if host is not victim]
    fleet.cut_network_between([victim], others)
    fleet.proxies["log"].rules[get_address(victim.name)].hold_answers = True
    await wait_for_open_intent(fleet, key)


async def hold_call(
    fleet: Fleet, victim: RunningProcess, key: str, task: Booking
) -> None:
    """Hold the call on its way to the service."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_requests = True
    await poll_until(lambda: rule.n_held > 0, "the call to be held")
    await wait_for_open_intent(fleet, key)


async def hold_service_reply(
    fleet: Fleet, victim: RunningProcess, key: str, task: Booking
) -> None:
    """Hold the service's reply after its effect."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_answers = True
    await poll_until(lambda: rule.n_held > 0, "the answer to be held")


async def hold_outcome(
    fleet: Fleet, victim: RunningProcess, key: str, task: Booking
) -> None:
    """Hold the outcome on its way to the log."""
    rule = fleet.proxies["service"].rules[get_address(victim.name)]
    rule.hold_answers = True
    await poll_until(lambda: rule.n_held > 0, "the answer to be held")
    fleet.proxies["log"].rules[get_address(victim.name)].hold_requests = True
    rule.hold_answers = False
    await task


async def wait_for_open_intent(fleet: Fleet, key: str) -> None:
    """Wait until the first host has folded a key's intent that has no outcome yet."""

    async def is_open() -> bool:
        intent = await fleet.get_intent(fleet.hosts[0], key)
        return intent is not None and intent["status"] is None

    await poll_until(is_open, "an intent without an outcome")
