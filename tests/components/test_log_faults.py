"""Test hosts on a log with short retention when calls, records or hosts are lost."""

import asyncio
import unittest

from bench.emulator.clock import run_in_virtual_time
from tests.components.log_faults import POLL_S, SUSPECT_S, SYNC_TIMEOUT_S, Cluster
from tests.components.random_log_faults import run_seed
from tests.components.test_stream import wait_until
from trefoilstage.components.operators.server import VERDICT_TIMEOUT_S
from trefoilstage.components.peers.log_peers import PEER_TIMEOUT_S
from trefoilstage.helpers.verdict import ACCEPTED

NAMES = ("a", "b", "c")
STEP_S = 0.05
SEEDS = range(60, 110)
# How long the log may take to respond, longer than until a record counts as lost.
LATE_RESPONSE_S = 20.0


async def start_with_short_log(cluster: Cluster) -> None:
    """Wait until every host lists all others, then limit the log to one record."""
    await cluster.wait_until_in_sync()
    cluster.log.n_kept = 1


class LogFaultsTest(unittest.TestCase):
    """Inject one fault per test, then random ones by seed."""

    def test_record_held_only_by_a_restarted_host_is_requested_from_it(self) -> None:
        """Guard against a search for records that omits a host not announced yet."""

        async def inject_faults() -> None:
            async with Cluster(names=NAMES) as cluster:
                await start_with_short_log(cluster)
                cluster.hosts["b"].faults.cut = cluster.hosts["c"].faults.cut = True
                await cluster.kill("a")
                await asyncio.sleep(2 * SUSPECT_S)
                await cluster.start("a")
                await asyncio.sleep(STEP_S)
                cluster.submit("a", 1)
                await asyncio.sleep(1.0)
                cluster.heal()
                async with asyncio.timeout(VERDICT_TIMEOUT_S):
                    self.assertEqual(await cluster.submit("b", 2), ACCEPTED)
                await cluster.wait_until_in_sync()

        run_in_virtual_time(inject_faults())

    def test_group_whose_first_records_were_dropped_is_accepted_whole(self) -> None:
        """Guard against resent changes that are rejected as duplicates.

        The log drops the first records of a group and keeps the last one.
        """

        async def inject_faults() -> None:
            async with Cluster(names=NAMES) as cluster:
                await start_with_short_log(cluster)
                cluster.hosts["b"].faults.cut = cluster.hosts["c"].faults.cut = True
                await asyncio.sleep(2 * PEER_TIMEOUT_S)
                cluster.hosts["a"].faults.lost_response_share = 1.0
                futures = [cluster.submit("a", number) for number in range(3)]
                await wait_until(lambda: len(cluster.log.records) == 6, "the group")
                cluster.heal()
                await wait_until(lambda: len(cluster.log.records) == 9, "a second copy")
                cluster.log.n_kept = 4
                async with asyncio.timeout(SYNC_TIMEOUT_S):
                    self.assertEqual(await asyncio.gather(*futures), [ACCEPTED] * 3)
                await cluster.wait_until_in_sync()
                self.assertEqual(cluster.find_divergence(), [])

        run_in_virtual_time(inject_faults())

    def test_record_is_resent_when_the_response_arrives_after_its_loss(self) -> None:
        """Guard against a change without a verdict and a diverging state."""

        async def inject_faults() -> None:
            async with Cluster(names=NAMES, log_timeout_s=LATE_RESPONSE_S) as cluster:
                await start_with_short_log(cluster)
                host = cluster.hosts["c"]
                for other in cluster.hosts.values():
                    other.faults.hold_reads = True
                # Reads in flight must end before the record is appended.
                await asyncio.sleep(POLL_S)
                host.faults.late_appends_s = LATE_RESPONSE_S / 2
                late = cluster.submit("c", 1)
                await asyncio.sleep(STEP_S)
                cluster.submit("b", 2)
                await asyncio.sleep(STEP_S)
                for other in cluster.hosts.values():
                    other.faults.hold_reads = False
                lost_offset = host.fold.next_offset
                first = cluster.hosts["a"]
                await wait_until(
                    lambda: first.fold.next_offset > lost_offset, "the loss"
                )
                cluster.disconnect("c", "a", "b")
                await asyncio.sleep(LATE_RESPONSE_S)
                cluster.heal()
                async with asyncio.timeout(SYNC_TIMEOUT_S):
                    self.assertEqual(await late, ACCEPTED)
                await cluster.wait_until_in_sync()
                self.assertEqual(cluster.find_divergence(), [])

        run_in_virtual_time(inject_faults())

    def test_verdict_is_in_time_after_a_record_that_no_host_has(self) -> None:
        """Guard against a publish that takes longer than its operator waits."""

        async def inject_faults() -> None:
            async with Cluster(names=NAMES) as cluster:
                await start_with_short_log(cluster)
                for host in cluster.hosts.values():
                    host.faults.hold_reads = True
                await asyncio.sleep(POLL_S)
                cluster.hosts["b"].faults.lost_response_share = 1.0
                lost = cluster.submit("b", 1)
                await asyncio.sleep(STEP_S)
                cluster.submit("c", 2)
                await asyncio.sleep(STEP_S)
                cluster.heal()
                async with asyncio.timeout(VERDICT_TIMEOUT_S):
                    self.assertEqual(await cluster.submit("a", 3), ACCEPTED)
                    self.assertEqual(await lost, ACCEPTED)

        run_in_virtual_time(inject_faults())

    def test_late_response_does_not_delay_the_next_change(self) -> None:
        """Guard against waiting for the response to a record that was read back."""

        async def inject_faults() -> None:
            async with Cluster(names=NAMES, log_timeout_s=LATE_RESPONSE_S) as cluster:
                await cluster.wait_until_in_sync()
                cluster.hosts["a"].faults.late_appends_s = LATE_RESPONSE_S / 2
                first = cluster.submit("a", 1)
                async with asyncio.timeout(VERDICT_TIMEOUT_S):
                    self.assertEqual(await first, ACCEPTED)
                    self.assertEqual(await cluster.submit("a", 2), ACCEPTED)

        run_in_virtual_time(inject_faults())

    def test_accepted_change_outlives_the_host_that_reported_it(self) -> None:
        """Guard against a verdict that is lost with the only host that knows it."""

        async def inject_faults() -> None:
            async with Cluster(names=NAMES) as cluster:
                await start_with_short_log(cluster)
                for name in ("b", "c"):
                    cluster.hosts[name].faults.hold_reads = True
                await asyncio.sleep(POLL_S)
                verdict = cluster.submit("a", 1)
                await asyncio.sleep(STEP_S)
                cluster.submit("a", 2)
                await asyncio.sleep(STEP_S)
                was_reported = verdict.done()
                cluster.disconnect("a", "b", "c")
                await cluster.kill("a")
                await cluster.start("a")
                cluster.heal()
                await cluster.wait_until_in_sync()
                self.assertFalse(was_reported and not cluster.list_hosts_with(1))

        run_in_virtual_time(inject_faults())

    def test_stream_resumes_when_the_hosts_it_waits_for_are_declared_lost(self) -> None:
        """Guard against lost or replaced hosts that block the stream permanently."""
        for is_replaced in (True, False):
            with self.subTest(is_replaced=is_replaced):
                run_in_virtual_time(self.lose_hosts(is_replaced=is_replaced))

    async def lose_hosts(self, *, is_replaced: bool) -> None:
        """Lose two hosts with a record that the log has dropped."""
        async with Cluster(names=(*NAMES, "d")) as cluster:
            await start_with_short_log(cluster)
            for name in ("a", "b"):
                cluster.hosts[name].faults.hold_reads = True
            await asyncio.sleep(POLL_S)
            cluster.submit("d", 1)
            await asyncio.sleep(STEP_S)
            cluster.submit("d", 2)
            await asyncio.sleep(STEP_S)
            for name in ("c", "d"):
                await cluster.kill(name)
                if is_replaced:
                    await cluster.start(name)
            cluster.heal()
            verdict = cluster.submit("a", 3)
            await asyncio.sleep(SYNC_TIMEOUT_S)
            self.assertFalse(verdict.done())
            until = cluster.now() + SYNC_TIMEOUT_S
            for host in cluster.hosts.values():
                host.board.declared_lost = dict.fromkeys(("c", "d"), until)
            async with asyncio.timeout(SYNC_TIMEOUT_S):
                self.assertEqual(await verdict, ACCEPTED)

    def test_random_faults_cause_no_divergence_and_lose_no_change(self) -> None:
        """Guard against failures under combined faults, by seed."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_in_virtual_time(run_seed(seed)), [])


if __name__ == "__main__":
    unittest.main()
