"""Test hosts before a short log that loses calls, records and hosts."""

import asyncio
import unittest

from bench.emulator.clock import run_virtually
from tests.components.log_fault_play import play
from tests.components.log_faults import POLL_S, SETTLE_S, SUSPECT_S, World
from tests.components.test_stream import wait_until
from trefoilstage.components.operators.server import VERDICT_WAIT_S
from trefoilstage.components.peers.log_peers import PEER_TIMEOUT_S
from trefoilstage.helpers.verdict import ACCEPTED

NAMES = ("a", "b", "c")
STEP_S = 0.05
SEEDS = range(60, 110)
# How long the log may take to answer; beyond what a record takes to count as lost.
LATE_S = 20.0


async def start_short(world: World) -> None:
    """Wait until every host knows all others, then keep one record."""
    await world.settle()
    world.log.n_kept = 1


class LogFaultsTest(unittest.TestCase):
    """Let one thing go wrong at a time."""

    def test_record_that_only_a_restarted_host_has_is_asked_of_it(self) -> None:
        """Guard against a search that leaves out a host not yet announced."""

        async def act() -> None:
            async with World(names=NAMES) as world:
                await start_short(world)
                world.hosts["b"].faults.cut = world.hosts["c"].faults.cut = True
                await world.kill("a")
                await asyncio.sleep(2 * SUSPECT_S)
                await world.start("a")
                await asyncio.sleep(STEP_S)
                world.submit("a", 1)
                await asyncio.sleep(1.0)
                world.heal()
                async with asyncio.timeout(VERDICT_WAIT_S):
                    self.assertEqual(await world.submit("b", 2), ACCEPTED)
                await world.settle()

        run_virtually(act())

    def test_group_of_which_the_log_kept_the_end_is_accepted_whole(self) -> None:
        """Guard against changes that count as repeats of a group's lost beginning."""

        async def act() -> None:
            async with World(names=NAMES) as world:
                await start_short(world)
                world.hosts["b"].faults.cut = world.hosts["c"].faults.cut = True
                await asyncio.sleep(2 * PEER_TIMEOUT_S)
                world.hosts["a"].faults.lose_answers = 1.0
                futures = [world.submit("a", number) for number in range(3)]
                await wait_until(lambda: len(world.log.records) == 6, "the group")
                world.heal()
                await wait_until(lambda: len(world.log.records) == 9, "a second copy")
                world.log.n_kept = 4
                async with asyncio.timeout(SETTLE_S):
                    self.assertEqual(await asyncio.gather(*futures), [ACCEPTED] * 3)
                await world.settle()
                self.assertEqual(world.find_parted(), [])

        run_virtually(act())

    def test_record_is_sent_again_when_its_answer_comes_after_the_loss(self) -> None:
        """Guard against a change without a verdict, and a state that parts."""

        async def act() -> None:
            async with World(names=NAMES, log_timeout_s=LATE_S) as world:
                await start_short(world)
                host = world.hosts["c"]
                for other in world.hosts.values():
                    other.faults.hold_reads = True
                # Reads that are under way end before the record lands.
                await asyncio.sleep(POLL_S)
                host.faults.late_appends_s = LATE_S / 2
                late = world.submit("c", 1)
                await asyncio.sleep(STEP_S)
                world.submit("b", 2)
                await asyncio.sleep(STEP_S)
                for other in world.hosts.values():
                    other.faults.hold_reads = False
                lost = host.fold.next_offset
                first = world.hosts["a"]
                await wait_until(lambda: first.fold.next_offset > lost, "the loss")
                world.part("c", "a", "b")
                await asyncio.sleep(LATE_S)
                world.heal()
                async with asyncio.timeout(SETTLE_S):
                    self.assertEqual(await late, ACCEPTED)
                await world.settle()
                self.assertEqual(world.find_parted(), [])

        run_virtually(act())

    def test_verdict_is_in_time_after_a_record_that_nobody_has(self) -> None:
        """Guard against a publish that waits longer than its operator does."""

        async def act() -> None:
            async with World(names=NAMES) as world:
                await start_short(world)
                for host in world.hosts.values():
                    host.faults.hold_reads = True
                await asyncio.sleep(POLL_S)
                world.hosts["b"].faults.lose_answers = 1.0
                lost = world.submit("b", 1)
                await asyncio.sleep(STEP_S)
                world.submit("c", 2)
                await asyncio.sleep(STEP_S)
                world.heal()
                async with asyncio.timeout(VERDICT_WAIT_S):
                    self.assertEqual(await world.submit("a", 3), ACCEPTED)
                    self.assertEqual(await lost, ACCEPTED)

        run_virtually(act())

    def test_late_answer_does_not_hold_up_the_next_change(self) -> None:
        """Guard against waiting for the log's word on what is folded already."""

        async def act() -> None:
            async with World(names=NAMES, log_timeout_s=LATE_S) as world:
                await world.settle()
                world.hosts["a"].faults.late_appends_s = LATE_S / 2
                first = world.submit("a", 1)
                async with asyncio.timeout(VERDICT_WAIT_S):
                    self.assertEqual(await first, ACCEPTED)
                    self.assertEqual(await world.submit("a", 2), ACCEPTED)

        run_virtually(act())

    def test_accepted_change_outlives_the_host_that_said_so(self) -> None:
        """Guard against a verdict that only one host can remember."""

        async def act() -> None:
            async with World(names=NAMES) as world:
                await start_short(world)
                for name in ("b", "c"):
                    world.hosts[name].faults.hold_reads = True
                await asyncio.sleep(POLL_S)
                told = world.submit("a", 1)
                await asyncio.sleep(STEP_S)
                world.submit("a", 2)
                await asyncio.sleep(STEP_S)
                was_told = told.done()
                world.part("a", "b", "c")
                await world.kill("a")
                await world.start("a")
                world.heal()
                await world.settle()
                self.assertFalse(was_told and not world.list_hosts_with(1))

        run_virtually(act())

    def test_stream_goes_on_when_the_hosts_it_waits_for_are_declared_lost(self) -> None:
        """Guard against a fleet that dead or replaced hosts stop for good."""
        for is_replaced in (True, False):
            with self.subTest(is_replaced=is_replaced):
                run_virtually(self.lose_hosts(is_replaced=is_replaced))

    async def lose_hosts(self, *, is_replaced: bool) -> None:
        """Lose two hosts with a record that the log has dropped."""
        async with World(names=(*NAMES, "d")) as world:
            await start_short(world)
            for name in ("a", "b"):
                world.hosts[name].faults.hold_reads = True
            await asyncio.sleep(POLL_S)
            world.submit("d", 1)
            await asyncio.sleep(STEP_S)
            world.submit("d", 2)
            await asyncio.sleep(STEP_S)
            for name in ("c", "d"):
                await world.kill(name)
                if is_replaced:
                    await world.start(name)
            world.heal()
            answer = world.submit("a", 3)
            await asyncio.sleep(SETTLE_S)
            self.assertFalse(answer.done())
            until = world.now() + SETTLE_S
            for host in world.hosts.values():
                host.board.declared_lost = dict.fromkeys(("c", "d"), until)
            async with asyncio.timeout(SETTLE_S):
                self.assertEqual(await answer, ACCEPTED)

    def test_random_faults_part_no_hosts_and_lose_no_change(self) -> None:
        """Guard against faults that come together, by seed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtually(play(seed)), [])


if __name__ == "__main__":
    unittest.main()
