"""Test that locked tokens come back only when they were surely not used."""

import unittest

from tests.components.escrow.common import WORKSPACE, Bank
from trefoilstage.components.escrow.lock import (
    LOCK_S,
    LockRecord,
    ReserveLock,
    find_untouched,
)
from trefoilstage.components.escrow.stock import StockChange
from trefoilstage.components.views.store import StoreUnavailableError, Topic
from trefoilstage.util.process_start import ProcessStart

HOSTS = ("brest-1", "quimper-1", "lorient-1")
RECORD = LockRecord(incarnation="brest-1-1", boot="boot-1", until=100.0, offset=5.0)


class ProofTest(unittest.TestCase):
    """Test what a process may conclude from its predecessor's promise."""

    def find(
        self, *, boot: str = "boot-1", at: float = 99.0, offset: float = 5.0
    ) -> tuple[str, ...]:
        """Return what a process proves that starts at a moment."""
        start = ProcessStart(boot=boot, at=at, offset=offset)
        return find_untouched(RECORD, start)

    def test_start_before_the_promised_moment_is_a_proof(self) -> None:
        self.assertEqual(self.find(), ("brest-1-1",))

    def test_start_after_it_proves_nothing(self) -> None:
        self.assertEqual(self.find(at=100.0), ())

    def test_clock_of_another_boot_proves_nothing(self) -> None:
        """Start again after a loss of power; the steady clock began anew.

        It may stand anywhere. The machine's boot tells, or else that the clock
        stands elsewhere against the time of day.
        """
        self.assertEqual(self.find(boot="boot-2"), ())
        self.assertEqual(self.find(boot=""), ())
        self.assertEqual(self.find(at=50.0, offset=56.0), ())

    def test_no_promise_proves_nothing(self) -> None:
        start = ProcessStart(boot="boot-1", at=1.0, offset=0.0)
        self.assertEqual(find_untouched(None, start), ())

    def test_lost_renewal_binds(self) -> None:
        """Lose the answer to a renewal; the promise may have landed, so it binds."""
        lock = ReserveLock()
        self.assertTrue(lock.is_open(10.0))
        lock.promise(10.0)
        self.assertFalse(lock.is_open(10.0 + LOCK_S - 0.1))
        self.assertTrue(lock.is_open(10.0 + LOCK_S))


class UnusedLockTest(unittest.IsolatedAsyncioTestCase):
    """Test that only hosts with locked tokens write promises."""

    async def list_locks(self, bank: Bank) -> set[str]:
        """Return the hosts with a promise in the store."""
        listing = await bank.store.list_newest(Topic.LOCKS)
        return {record.key for record in listing.records}

    async def test_host_without_locked_tokens_promises_nothing(self) -> None:
        """Keep three hosts running, of which one is the home of an account.

        With promises by all, renewed 2.5 times a second, a fleet of 195 hosts made 490
        calls a second, a third of all that it made, for 80 homes at most.
        """
        bank = Bank(prepaid=200_000, home="brest-1")
        for host in HOSTS:
            bank.start(host)
        bank.meet_all()
        for _ in range(3):
            for host in HOSTS:
                await bank.keep_lock(host)
        self.assertEqual(await self.list_locks(bank), set())
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000))
        home = bank.homes["brest-1"]
        self.assertGreater(home._accounts[WORKSPACE].locked, 0)
        self.assertGreater(home.get_lock_wait(), 0.0)
        for host in HOSTS:
            await bank.keep_lock(host)
        self.assertEqual(await self.list_locks(bank), {"brest-1"})

    async def test_proof_about_a_predecessor_is_passed_on_without_locked_tokens(
        self,
    ) -> None:
        """Restart a home twice before its first incarnation is settled."""
        bank = Bank(prepaid=200_000, home="brest-1")
        bank.start("brest-1")
        bank.start("lorient-1")
        await bank.keep_lock("brest-1")
        await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        await bank.keep_lock("brest-1")
        first = bank.boards["brest-1"].incarnation
        for _ in range(2):
            bank.timer.time += 1.0
            bank.start("brest-1")
            await bank.keep_lock("brest-1")
        self.assertIn(first, bank.boards["brest-1"].untouched or ())


class LockedStockTest(unittest.IsolatedAsyncioTestCase):
    """Test what callers get from a locked stock in outages and after losses."""

    async def start(self) -> Bank:
        """Return hosts whose home has drawn for 1,000 tokens asked every 0.1 s."""
        bank = Bank(prepaid=200_000, home="brest-1")
        for host in HOSTS:
            bank.start(host)
            await bank.keep_lock(host)
        bank.meet_all()
        await self.ask(bank, 20, "early")
        return bank

    async def ask(self, bank: Bank, n_requests: int, name: str) -> int:
        """Return how many of some requests the home holds tokens for."""
        n_held = 0
        for number in range(n_requests):
            bank.timer.time += 0.1
            bank.meet_all()
            if number % 4 == 0:
                await bank.keep_lock("brest-1")
            await bank.homes["brest-1"]._tick()
            draw = bank.homes["brest-1"]._draws.get(WORKSPACE)
            if draw is not None:
                await draw
            held = await bank.hold(
                "brest-1", "lorient-1", WORKSPACE, f"{name}-{number}", 1_000
            )
            n_held += held
        return n_held

    def count_drawn(self, bank: Bank) -> int:
        """Return what the store says is drawn."""
        home = bank.homes["quimper-1"]
        return home._accounts[WORKSPACE].record.drawn

    async def restart_all(self, bank: Bank, down_s: float) -> None:
        """Kill all hosts at once and let another one become the home."""
        bank.timer.time += down_s
        for host in HOSTS:
            bank.start(host)
        for host in HOSTS:
            await bank.keep_lock(host)
        bank.meet_all()
        bank.home = "quimper-1"
        await bank.homes["quimper-1"]._tick()
        await bank.homes["quimper-1"]._draws[WORKSPACE]
        bank.timer.time += 1.0
        bank.meet_all()
        await bank.homes["quimper-1"]._recover(WORKSPACE)

    async def test_locked_tokens_come_back_when_all_hosts_end(self) -> None:
        """Kill all hosts while the store answers; they are back after 1.5 s.

        The home had drawn for 9 s ahead and nobody is left to say what it granted.
        Its successor starts before the home could have used what was locked, so
        only what lay ready is lost.
        """
        bank = await self.start()
        spent = bank.spent[WORKSPACE]
        account = bank.homes["brest-1"]._accounts[WORKSPACE]
        self.assertGreater(account.locked, 0.1 * 200_000)
        ready = account.unused - account.locked
        await self.restart_all(bank, 1.5)
        stock = bank.homes["quimper-1"]._accounts[WORKSPACE].unused
        lost = self.count_drawn(bank) - stock - spent
        self.assertEqual(lost, ready)

    async def test_tokens_used_in_an_outage_do_not_come_back(self) -> None:
        """Cut the store off, use the locked tokens, then kill all hosts.

        The home's promised moment passed in the outage. Were the tokens given back,
        another home would draw and spend them a second time.
        """
        bank = await self.start()
        bank.store.down = True
        board = bank.boards["brest-1"].store
        board.note_failure(bank.timer.time, "down")
        board.note_failure(bank.timer.time + 0.6, "down")
        n_held = await self.ask(bank, 60, "outage")
        self.assertGreater(n_held, 20)
        bank.store.down = False
        await self.restart_all(bank, 1.5)
        account = bank.homes["quimper-1"]._accounts[WORKSPACE]
        counted = account.record.drawn - account.unused
        self.assertGreaterEqual(counted, bank.spent[WORKSPACE])

    async def test_locked_tokens_wait_at_the_start_of_an_outage(self) -> None:
        """Ask for more than lies ready just after the store went silent.

        The request is refused, and told for how long the lock stays closed; after
        that it is served.
        """
        bank = await self.start()
        bank.store.down = True
        home = bank.homes["brest-1"]
        bank.boards["brest-1"].store.out_of_reach = True
        refused = await bank.send("brest-1", "lorient-1", WORKSPACE, "big", 20_000)
        self.assertIsNotNone(refused)
        wait_s = home.get_lock_wait()
        self.assertGreater(wait_s, 0.0)
        bank.timer.time += wait_s
        self.assertTrue(
            await bank.hold("brest-1", "lorient-1", WORKSPACE, "big-2", 20_000)
        )

    async def test_promise_is_not_renewed_while_locked_tokens_are_in_use(self) -> None:
        """Let the store come back after the lock had opened and tokens were used.

        A promise now would cover tokens that are spent. The home first writes what
        is still unused, then promises.
        """
        bank = await self.start()
        home, lock = bank.homes["brest-1"], bank.keepers["brest-1"]._lock
        bank.store.down = True
        bank.boards["brest-1"].store.out_of_reach = True
        bank.timer.time = lock.until + 0.1
        held = await bank.hold("brest-1", "lorient-1", WORKSPACE, "big", 20_000)
        self.assertTrue(held)
        bank.store.down = False
        bank.boards["brest-1"].store.note_answer(bank.timer.time)
        await bank.keepers["brest-1"].renew()
        self.assertTrue(lock.is_open(bank.timer.time))
        await home._tick()
        await home._draws[WORKSPACE]
        await bank.keepers["brest-1"].renew()
        self.assertFalse(lock.is_open(bank.timer.time))

    async def test_lock_that_may_have_grown_binds(self) -> None:
        """Lose the answer to a write that locks more than before.

        It may have landed, and a successor would then give back all of it. So the
        home must not grant from the greater part either.
        """
        bank = await self.start()
        account = bank.homes["brest-1"]._accounts[WORKSPACE]
        change = StockChange(tokens=0, locked=account.unused)
        bank.store.late_share = 1.0
        with self.assertRaises(StoreUnavailableError):
            await bank.homes["brest-1"]._records.change(account, change, account.served)
        self.assertEqual(account.get_available(bank.timer.time), 0)

    async def test_lost_return_stays_set_aside_after_a_conflict(self) -> None:
        """Lose the answer to a return that landed, then write at the same place.

        The second write meets the first one's record. Until the account is read
        again the home must not grant what it gave back: another home may have it.
        """
        bank = Bank(prepaid=10_000, home="brest-1")
        bank.start("lorient-1")
        home = bank.start("brest-1")
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000))
        bank.settle("a", 1_000)
        bank.store.lose_share = 1.0
        await home.return_all()
        bank.store.lose_share = 0.0
        account = home._accounts[WORKSPACE]
        # The end is known to the home as it was before the return.
        home._records._ends[0] = account.pending_at
        await home._records.put(account, account.record)
        self.assertLessEqual(account.unused, 1_000)


if __name__ == "__main__":
    unittest.main()
