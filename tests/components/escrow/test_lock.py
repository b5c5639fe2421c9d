"""Test that locked tokens are recovered only if they were provably not used."""

import unittest

from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.lock import (
    LOCK_CODEC,
    LOCK_DURATION_S,
    LockRecord,
    ReserveLock,
    list_proven_untouched,
)
from trefoilstage.components.escrow.stock import StockChange
from trefoilstage.components.views.store import StoreUnavailableError, Topic
from trefoilstage.util.process_start import ProcessStart

HOSTS = ("brest-1", "quimper-1", "lorient-1")
RECORD = LockRecord(incarnation="brest-1-1", boot="boot-1", until=100.0, offset=5.0)


class ProofTest(unittest.TestCase):
    """Test what a process can prove from its predecessor's promise."""

    def list_untouched(
        self, *, boot: str = "boot-1", at: float = 99.0, offset: float = 5.0
    ) -> tuple[str, ...]:
        """Return the proven predecessors of a process with the given start."""
        start = ProcessStart(boot=boot, monotonic_s=at, offset=offset)
        return list_proven_untouched(RECORD, start)

    def test_start_before_the_promised_time_is_a_proof(self) -> None:
        self.assertEqual(self.list_untouched(), ("brest-1-1",))

    def test_start_after_the_promised_time_proves_nothing(self) -> None:
        self.assertEqual(self.list_untouched(at=100.0), ())

    def test_clock_of_another_boot_proves_nothing(self) -> None:
        """Start after a loss of power, which restarts the monotonic clock.

        The clock may have any value. The reboot shows by the boot identifier, or
        else by the clock's offset to the time of day.
        """
        self.assertEqual(self.list_untouched(boot="boot-2"), ())
        self.assertEqual(self.list_untouched(boot=""), ())
        self.assertEqual(self.list_untouched(at=50.0, offset=56.0), ())

    def test_no_promise_proves_nothing(self) -> None:
        start = ProcessStart(boot="boot-1", monotonic_s=1.0, offset=0.0)
        self.assertEqual(list_proven_untouched(None, start), ())

    def test_promise_applies_before_the_store_confirms_it(self) -> None:
        """Make a promise without a reply; it may be stored, so the lock is closed."""
        lock = ReserveLock()
        self.assertTrue(lock.is_open(10.0))
        lock.promise(10.0)
        self.assertFalse(lock.is_open(10.0 + LOCK_DURATION_S - 0.1))
        self.assertTrue(lock.is_open(10.0 + LOCK_DURATION_S))


class UnusedLockTest(unittest.IsolatedAsyncioTestCase):
    """Test that only hosts with locked tokens write promises."""

    async def list_promising_hosts(self, cluster: EscrowCluster) -> set[str]:
        """Return the hosts with a promise in the store."""
        batch = await cluster.store.list_newest(Topic.LOCKS)
        return {record.key for record in batch.records}

    async def test_host_without_locked_tokens_writes_no_promise(self) -> None:
        """Run the lock keepers of three hosts, of which one is the home of an account.

        When all hosts renewed promises 2.5 times a second, a fleet of 195 hosts made
        490 calls a second, a third of all its calls, for 80 homes at most.
        """
        cluster = EscrowCluster(prepaid=200_000, home="brest-1")
        for host in HOSTS:
            cluster.start(host)
        cluster.update_all_peers()
        for _ in range(3):
            for host in HOSTS:
                await cluster.run_lock_keeper(host)
        self.assertEqual(await self.list_promising_hosts(cluster), set())
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        )
        home = cluster.homes["brest-1"]
        self.assertGreater(home._accounts[WORKSPACE].locked, 0)
        self.assertGreater(home.get_lock_wait_s(), 0.0)
        for host in HOSTS:
            await cluster.run_lock_keeper(host)
        self.assertEqual(await self.list_promising_hosts(cluster), {"brest-1"})

    async def test_proof_about_a_predecessor_is_passed_on_without_locked_tokens(
        self,
    ) -> None:
        """Restart a home twice before its first incarnation is retired."""
        cluster = EscrowCluster(prepaid=200_000, home="brest-1")
        cluster.start("brest-1")
        cluster.start("lorient-1")
        await cluster.run_lock_keeper("brest-1")
        await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        await cluster.run_lock_keeper("brest-1")
        first = cluster.boards["brest-1"].incarnation
        for _ in range(2):
            cluster.timer.time += 1.0
            cluster.start("brest-1")
            await cluster.run_lock_keeper("brest-1")
        self.assertIn(first, cluster.boards["brest-1"].untouched or ())

    async def test_proof_is_written_again_to_a_restored_store(self) -> None:
        """Guard against locked tokens lost for good, as a copy lacks their proof."""
        cluster = EscrowCluster(prepaid=200_000, home="brest-1")
        cluster.start("brest-1")
        cluster.start("lorient-1")
        await cluster.run_lock_keeper("brest-1")
        await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        await cluster.run_lock_keeper("brest-1")
        copy = cluster.store.make_copy()
        first = cluster.boards["brest-1"].incarnation
        cluster.timer.time += 1.0
        cluster.start("brest-1")
        for _ in range(2):
            await cluster.run_lock_keeper("brest-1")
        cluster.store.restore(copy)
        cluster.keepers["brest-1"].forget_stored()
        await cluster.run_lock_keeper("brest-1")
        batch = await cluster.store.list_newest(Topic.LOCKS)
        self.assertIn(first, LOCK_CODEC.decode(batch.records[0].value or b"").untouched)


class LockedStockTest(unittest.IsolatedAsyncioTestCase):
    """Test a stock with locked tokens in outages and after restarts of all hosts."""

    async def start_hosts(self) -> EscrowCluster:
        """Return hosts whose home has drawn for 1,000 tokens requested every 0.1 s."""
        cluster = EscrowCluster(prepaid=200_000, home="brest-1")
        for host in HOSTS:
            cluster.start(host)
            await cluster.run_lock_keeper(host)
        cluster.update_all_peers()
        await self.request_holds(cluster, 20, "early")
        return cluster

    async def request_holds(
        self, cluster: EscrowCluster, n_requests: int, prefix: str
    ) -> int:
        """Make requests and return how many the home holds tokens for."""
        n_held = 0
        for number in range(n_requests):
            cluster.timer.time += 0.1
            cluster.update_all_peers()
            if number % 4 == 0:
                await cluster.run_lock_keeper("brest-1")
            await cluster.homes["brest-1"]._check_stocks()
            draw = cluster.homes["brest-1"]._account_tasks.get(WORKSPACE)
            if draw is not None:
                await draw
            held = await cluster.hold(
                "brest-1", "lorient-1", WORKSPACE, f"{prefix}-{number}", 1_000
            )
            n_held += held
        return n_held

    def count_drawn(self, cluster: EscrowCluster) -> int:
        """Return the tokens drawn by the record that the successor has read."""
        home = cluster.homes["quimper-1"]
        return home._accounts[WORKSPACE].record.drawn

    async def restart_all(self, cluster: EscrowCluster, down_s: float) -> None:
        """Kill all hosts simultaneously and let another one become the home."""
        cluster.timer.time += down_s
        for host in HOSTS:
            cluster.start(host)
        for host in HOSTS:
            await cluster.run_lock_keeper(host)
        cluster.update_all_peers()
        cluster.home = "quimper-1"
        await cluster.homes["quimper-1"]._check_stocks()
        await cluster.homes["quimper-1"]._account_tasks[WORKSPACE]
        cluster.timer.time += 1.0
        cluster.update_all_peers()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)

    async def test_locked_tokens_are_recovered_when_all_hosts_end(self) -> None:
        """Kill all hosts while the store responds; they restart after 1.5 s.

        The home had drawn for 9 s ahead, and no witness is left. Its successor starts
        before the home could have used its locked tokens, so only the ready ones are
        lost.
        """
        cluster = await self.start_hosts()
        spent = cluster.spent[WORKSPACE]
        account = cluster.homes["brest-1"]._accounts[WORKSPACE]
        self.assertGreater(account.locked, 0.1 * 200_000)
        ready = account.unused - account.locked
        await self.restart_all(cluster, 1.5)
        stock = cluster.homes["quimper-1"]._accounts[WORKSPACE].unused
        lost = self.count_drawn(cluster) - stock - spent
        self.assertEqual(lost, ready)

    async def test_tokens_used_in_an_outage_are_not_recovered(self) -> None:
        """Take the store down, use the locked tokens, then kill all hosts.

        The home's promise expired in the outage. If the tokens were recovered, another
        home would draw them and they would be spent a second time.
        """
        cluster = await self.start_hosts()
        cluster.store.is_down = True
        board = cluster.boards["brest-1"].store
        board.record_failure(cluster.timer.time, "down")
        board.record_failure(cluster.timer.time + 0.6, "down")
        n_held = await self.request_holds(cluster, 60, "outage")
        self.assertGreater(n_held, 20)
        cluster.store.is_down = False
        await self.restart_all(cluster, 1.5)
        account = cluster.homes["quimper-1"]._accounts[WORKSPACE]
        counted = account.record.drawn - account.unused
        self.assertGreaterEqual(counted, cluster.spent[WORKSPACE])

    async def test_locked_tokens_are_unavailable_when_an_outage_starts(self) -> None:
        """Request more than the ready tokens just after an outage has started.

        The hold is refused while the lock is closed, and granted after the wait that
        the home reports.
        """
        cluster = await self.start_hosts()
        cluster.store.is_down = True
        home = cluster.homes["brest-1"]
        cluster.boards["brest-1"].store.out_of_reach = True
        refused = await cluster.request_grant(
            "brest-1", "lorient-1", WORKSPACE, "big", 20_000
        )
        self.assertIsNotNone(refused)
        wait_s = home.get_lock_wait_s()
        self.assertGreater(wait_s, 0.0)
        cluster.timer.time += wait_s
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "big-2", 20_000)
        )

    async def test_promise_is_not_renewed_while_locked_tokens_are_in_use(self) -> None:
        """End an outage after the lock has opened and locked tokens were used.

        A renewed promise would cover tokens that are spent. The home first writes
        its remaining stock, then makes a new promise.
        """
        cluster = await self.start_hosts()
        home, lock = cluster.homes["brest-1"], cluster.keepers["brest-1"]._lock
        cluster.store.is_down = True
        cluster.boards["brest-1"].store.out_of_reach = True
        cluster.timer.time = lock.until + 0.1
        held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, "big", 20_000)
        self.assertTrue(held)
        cluster.store.is_down = False
        cluster.boards["brest-1"].store.record_response(cluster.timer.time)
        await cluster.keepers["brest-1"].renew()
        self.assertTrue(lock.is_open(cluster.timer.time))
        await home._check_stocks()
        await home._account_tasks[WORKSPACE]
        await cluster.keepers["brest-1"].renew()
        self.assertFalse(lock.is_open(cluster.timer.time))

    async def test_unconfirmed_increase_of_the_lock_applies(self) -> None:
        """Lose the reply to a write that locks more tokens than before.

        The write may be stored, and a successor would then recover all of them. The
        home must therefore not grant any of them.
        """
        cluster = await self.start_hosts()
        account = cluster.homes["brest-1"]._accounts[WORKSPACE]
        change = StockChange(tokens=0, locked=account.unused)
        cluster.store.delayed_write_share = 1.0
        with self.assertRaises(StoreUnavailableError):
            await cluster.homes["brest-1"]._account_store.change(
                account, change, account.listed_requesters
            )
        self.assertEqual(account.get_available(cluster.timer.time), 0)

    async def test_unconfirmed_return_stays_reserved_after_a_conflict(self) -> None:
        """Lose the reply to a stored return, then write at the same offset.

        The second write conflicts with the first. Until the account is read again,
        the home must not grant the returned tokens: another home may have drawn them.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000)
        )
        cluster.settle("a", 1_000)
        cluster.store.lost_reply_share = 1.0
        await home.return_unused()
        cluster.store.lost_reply_share = 0.0
        account = home._accounts[WORKSPACE]
        # Reset the home's end offset to the one before the return.
        home._account_store._end_offsets[0] = account.pending_at
        await home._account_store.put(account, account.record)
        self.assertLessEqual(account.unused, 1_000)


if __name__ == "__main__":
    unittest.main()
