"""Test what a home states besides its draws when the store comes back from a copy."""

import unittest
from dataclasses import replace

from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.messages import RestoredAccount
from trefoilstage.components.escrow.record import Holder
from trefoilstage.components.escrow.rosters import get_roster_name
from trefoilstage.components.escrow.stock import StockChange
from trefoilstage.components.views.store import Topic, make_position

PREPAID = 200_000
REST_S = 4.0  # after the store came back
HOME, OTHER, LISTED_LATER = "brest-1", "quimper-1", "lorient-1"


class RestoredRosterTest(unittest.IsolatedAsyncioTestCase):
    """Test a home whose last write replaced its roster and drew nothing."""

    async def asyncSetUp(self) -> None:
        """Grant to one host, make a copy, then list and grant to another one."""
        self.cluster = EscrowCluster(prepaid=PREPAID, home=HOME)
        self.home = self.cluster.start(HOME)
        self.cluster.start(OTHER)
        self.cluster.update_peer(HOME, OTHER)
        self.cluster.start(LISTED_LATER)
        self.assertTrue(await self.cluster.hold(HOME, OTHER, WORKSPACE, "a", 1_000))
        self.account = self.home.list_accounts()[0]
        self.copy = self.cluster.store.make_copy()
        drawn = self.account.drawn
        self.cluster.update_peer(HOME, LISTED_LATER)
        await self.home._draw(WORKSPACE)
        self.assertTrue(
            await self.cluster.hold(HOME, LISTED_LATER, WORKSPACE, "b", 2_000)
        )
        self.assertEqual(drawn, self.account.drawn)
        # A host that is no longer the home does not update its roster.
        self.cluster.home = OTHER

    async def end_home(self) -> None:
        """End the home, let another host recover its tokens, and check the count."""
        self.cluster.timer.time += REST_S
        self.cluster.start(HOME)
        self.cluster.update_all_peers()
        await self.cluster.hold(OTHER, LISTED_LATER, WORKSPACE, "c", 1)
        await self.cluster.recover(OTHER, WORKSPACE)
        self.assertLessEqual(
            self.cluster.spent[WORKSPACE], self.cluster.count_unavailable(WORKSPACE)
        )

    async def test_roster_that_a_copy_lacks_is_written_again(self) -> None:
        """Guard against grants whose witness is not asked when the home has ended.

        The copy has all draws, but the roster before the last one. Tokens granted to a
        host that only the last one lists would be drawn again.
        """
        await self.cluster.restore_store(self.copy)
        await self.end_home()

    async def test_roster_lacking_in_two_copies_is_written_again(self) -> None:
        """Guard against a lost roster that a second restoration makes the home forget.

        The home reads the first restored record but cannot write.
        """
        self.cluster.store.delayed_write_share = 1.0
        await self.cluster.restore_store(self.copy)
        self.cluster.store.delayed_write_share = 0.0
        await self.cluster.restore_store(self.copy)
        await self.end_home()

    async def test_roster_of_an_ended_home_that_another_host_read(self) -> None:
        """Guard against grants that are drawn again though a host knows their witness.

        The home ends before the store comes back. The host that recovers its tokens
        has read the roster that the copy lacks.
        """
        other = self.cluster.homes[OTHER]
        other._get_account(WORKSPACE)
        await other._account_store.refresh(WORKSPACE)
        self.cluster.start(HOME)
        await self.cluster.restore_store(self.copy)
        self.cluster.timer.time += REST_S
        self.cluster.update_all_peers()
        await self.cluster.recover(OTHER, WORKSPACE)
        self.assertLessEqual(
            self.cluster.spent[WORKSPACE], self.cluster.count_unavailable(WORKSPACE)
        )

    async def test_lost_roster_is_remembered_until_it_is_written(self) -> None:
        """Guard against a lost roster that is forgotten when the account is written.

        The home reads the copy, and a write of a host that knows no more than that,
        before its own roster is written.
        """
        latest = self.account.record
        former = latest.holders[self.account.incarnation]
        roster = get_roster_name({OTHER: self.cluster.boards[OTHER].incarnation})
        copied = latest.set_holder(
            self.account.incarnation, replace(former, roster=roster)
        )
        other = copied.set_holder("other", Holder(host=OTHER, drawn=1, spent=0))
        for number, record in enumerate((copied, other)):
            self.account.update_record(record, make_position(1, number))
            self.assertIsNotNone(self.account.restored)
            known = self.account.report(
                RestoredAccount(read_at=make_position(1, number), written_at=-1)
            )
            self.assertEqual(known.record, latest)
            self.assertIn(LISTED_LATER, known.roster)
        self.account.record_own_write(replace(latest, era=1), make_position(1, 2))
        self.assertIsNone(self.account.restored)
        self.assertIn(LISTED_LATER, self.account.listed_requesters)


class ReportedAccountTest(unittest.IsolatedAsyncioTestCase):
    """Test a home between its report on a restored account and the reconciliation."""

    async def asyncSetUp(self) -> None:
        """Let a home draw, and the store come back from a copy without the draw."""
        self.cluster = EscrowCluster(prepaid=PREPAID, home=HOME)
        self.home = self.cluster.start(HOME)
        self.home._get_account(WORKSPACE)
        copy = self.cluster.store.make_copy()
        await self.home._draw(WORKSPACE)
        self.account = self.home.list_accounts()[0]
        self.cluster.store.restore(copy)

    async def test_late_reply_to_a_draw_adds_nothing(self) -> None:
        """Guard against a draw that is used although others counted without it."""
        self.account.start_change(StockChange(tokens=7, locked=0), make_position(0, 1))
        self.account.report(RestoredAccount(read_at=make_position(1, 0), written_at=-1))
        drawn, known = self.account.drawn, self.account.record
        own = known.holders[self.account.incarnation]
        later = known.set_holder(
            self.account.incarnation, replace(own, drawn=drawn + 7)
        )
        self.account.record_own_write(later, make_position(0, 1))
        self.assertEqual(self.account.drawn, drawn)
        self.assertTrue(self.account.pending)

    async def test_unconfirmed_return_stays_reserved(self) -> None:
        """Guard against returned tokens that are granted, and were drawn by others."""
        self.account.start_change(StockChange(tokens=-7, locked=0), make_position(0, 1))
        unused = self.account.unused
        await self.home._account_store.refresh(WORKSPACE)
        self.assertIsNotNone(self.account.restored)
        self.assertEqual(self.account.unused, unused)

    async def test_restored_record_is_not_written_over(self) -> None:
        """Guard against a draw that is based on a record from before a copy."""
        store = self.home._account_store
        await store.refresh(WORKSPACE)
        self.assertFalse(await store.put(self.account, self.account.record))
        found = self.cluster.store.partitions[Topic.ACCOUNTS, 0]
        self.assertEqual(found.list_newest(), [])


class RestoredLockedTokensTest(unittest.IsolatedAsyncioTestCase):
    """Test a home whose last write unlocked tokens and drew nothing."""

    async def test_tokens_that_a_copy_calls_locked_are_not_drawn_again(self) -> None:
        """Guard against used tokens that a promise of the copy proves to be unused.

        The copy has all draws, and tokens as locked that were granted since. All hosts
        end before the home's promise expires.
        """
        cluster = EscrowCluster(prepaid=20_000, home=HOME)
        home = cluster.start(HOME)
        cluster.start(OTHER)
        cluster.start(LISTED_LATER)
        cluster.update_all_peers()
        for host in cluster.homes:
            await cluster.run_lock_keeper(host)
        self.assertTrue(await cluster.hold(HOME, OTHER, WORKSPACE, "a", 1_000))
        account = home.list_accounts()[0]
        self.assertGreater(account.locked, 0)
        await cluster.run_lock_keeper(HOME)
        free = account.free
        self.assertTrue(await cluster.hold(OTHER, LISTED_LATER, WORKSPACE, "b", free))
        copy = cluster.store.make_copy()
        rest = account.unused
        self.assertTrue(await cluster.hold(HOME, OTHER, WORKSPACE, "c", rest))
        self.assertEqual((account.locked, account.unused), (0, 0))
        await cluster.restore_store(copy)
        for host in list(cluster.homes):
            cluster.start(host)
        for host in cluster.homes:
            await cluster.run_lock_keeper(host)
        cluster.home = OTHER
        cluster.update_all_peers()
        await cluster.hold(OTHER, LISTED_LATER, WORKSPACE, "d", 1)
        for _ in cluster.homes:
            await cluster.recover(OTHER, WORKSPACE)
        self.assertLessEqual(
            cluster.spent[WORKSPACE], cluster.count_unavailable(WORKSPACE)
        )


if __name__ == "__main__":
    unittest.main()
