"""Test what is kept of ended homes whose last writes a restored store lacks."""

import unittest
from dataclasses import dataclass, field, replace
from unittest import mock

from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.draw_pauses import MAKE_GOOD_S
from trefoilstage.components.escrow.home import STOCK_CHECK_INTERVAL_S, EscrowHome
from trefoilstage.components.escrow.record import (
    ACCOUNT_CODEC,
    AccountRecord,
    Holder,
)
from trefoilstage.components.escrow.restored_record import join_records
from trefoilstage.components.escrow.rosters import (
    UNKNOWN_ROSTER,
    RosterStore,
    get_roster_name,
)
from trefoilstage.components.views.store import Topic, make_position
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec

PREPAID = 200_000
HOME, OTHER, LISTED_LATER = "brest-1", "quimper-1", "lorient-1"
GRANTED_FIRST, GRANTED_LATER = 1_000, 2_000
GRANTED = GRANTED_FIRST + GRANTED_LATER


class EndedHomeTest(unittest.IsolatedAsyncioTestCase):
    """End a home whose later roster another host has read, then restore the store."""

    async def asyncSetUp(self) -> None:
        """Let the home grant to one host, which is then the only one on its roster."""
        self.cluster = EscrowCluster(prepaid=PREPAID, home=HOME)
        self.home = self.cluster.start(HOME)
        self.other = self.cluster.start(OTHER)
        self.cluster.update_peer(HOME, OTHER)
        self.cluster.start(LISTED_LATER)
        self.other._get_account(WORKSPACE)
        held = await self.cluster.hold(HOME, OTHER, WORKSPACE, "a", GRANTED_FIRST)
        self.assertTrue(held)
        self.account = self.home.list_accounts()[0]

    async def list_later_host(self) -> None:
        """Let the home list another host and grant to it."""
        self.cluster.update_peer(HOME, LISTED_LATER)
        await self.home._draw(WORKSPACE)
        held = await self.cluster.hold(
            HOME, LISTED_LATER, WORKSPACE, "b", GRANTED_LATER
        )
        self.assertTrue(held)
        # A host that is no longer the home does not update its roster.
        self.cluster.home = OTHER

    async def return_unused(self) -> None:
        """Let the home write fewer draws than before."""
        drawn = self.account.drawn
        await self.home.return_unused()
        self.assertLess(self.account.drawn, drawn)

    async def read_by_other(self) -> None:
        """Let the host that will recover the home's tokens read the account."""
        await self.other._account_store.refresh(WORKSPACE)

    async def end_and_restore(self, copy: dict[tuple[Topic, int], int]) -> None:
        """End the home, restore the store and recover the home's tokens."""
        self.cluster.start(HOME)
        await self.cluster.restore_store(copy)
        await self.recover()

    async def recover(self) -> None:
        """Let the other host recover the home's tokens, once records are complete."""
        self.cluster.timer.time += MAKE_GOOD_S
        self.cluster.update_all_peers()
        self.other._accounts[WORKSPACE].end_making_good()
        await self.cluster.recover(OTHER, WORKSPACE)

    def check_counted(self) -> None:
        """Check that the tokens which both hosts spent are not drawn again."""
        self.assertEqual(self.cluster.spent[WORKSPACE], GRANTED)
        self.assertGreaterEqual(self.cluster.count_unavailable(WORKSPACE), GRANTED)

    async def test_newer_roster_with_fewer_draws_is_kept(self) -> None:
        """Guard against a copy's roster that wins as its home had drawn more then."""
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        await self.return_unused()
        await self.read_by_other()
        await self.end_and_restore(copy)
        self.check_counted()

    async def test_older_roster_with_more_draws_is_not_written_again(self) -> None:
        """Guard against a roster read long ago that replaces the copy's newer one."""
        await self.read_by_other()
        await self.list_later_host()
        await self.return_unused()
        await self.end_and_restore(self.cluster.store.make_copy())
        self.check_counted()

    async def test_unused_tokens_are_drawn_again_without_the_roster(self) -> None:
        """Guard against a whole stock withheld, as the store lacks the later roster.

        Only the home has restarted, so that the roster follows from the known hosts.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        await self.read_by_other()
        await self.end_and_restore(copy)
        self.check_counted()
        self.assertEqual(self.cluster.count_unavailable(WORKSPACE), GRANTED)

    async def test_roster_found_by_the_known_hosts_is_stored(self) -> None:
        """Guard against a roster that is found once and then no more.

        A witness is out of reach at first, and another host has joined when it replies.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        await self.read_by_other()
        self.cluster.unreachable = {LISTED_LATER}
        await self.end_and_restore(copy)
        self.cluster.start("vannes-1")
        self.cluster.unreachable = set()
        await self.recover()
        self.assertEqual(self.cluster.count_unavailable(WORKSPACE), GRANTED)

    async def test_nothing_is_retired_before_others_wrote_what_they_know(self) -> None:
        """Guard against an ended home that its successor retires by the copy.

        The successor has not read the account before the store came back. The host
        that knows the newer state would add the retired draws a second time.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        await self.read_by_other()
        successor = self.cluster.start(HOME)
        self.cluster.home = HOME
        self.cluster.store.restore(copy)
        position = make_position(self.cluster.store.era, 0)
        for host, home in self.cluster.homes.items():
            board = self.cluster.boards[host]
            board.store.record_position(position, self.cluster.timer.time)
            home.make_good()
        await self.check_stocks(successor, 0.5)
        await self.other._draw(WORKSPACE)
        await self.cluster.run_lock_keeper(HOME)
        await self.check_stocks(successor, MAKE_GOOD_S + 1.0)
        self.check_counted()
        self.assertNotIn(
            self.account.incarnation, successor._accounts[WORKSPACE].record.holders
        )
        self.assertEqual(self.cluster.count_unavailable(WORKSPACE), GRANTED)

    async def check_stocks(self, home: EscrowHome, duration_s: float) -> None:
        """Let a home check its stocks every 0.1 s."""
        end = self.cluster.timer.time + duration_s
        while self.cluster.timer.time < end:
            self.cluster.timer.time += STOCK_CHECK_INTERVAL_S
            self.cluster.update_all_peers()
            await home._check_stocks()
            if WORKSPACE in home._account_tasks:
                await home._account_tasks[WORKSPACE]

    async def test_living_home_grants_by_the_stored_roster(self) -> None:
        """Guard against grants to hosts that only a lost roster lists.

        If the home ended before it has written that roster again, they would not be
        counted.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        self.cluster.store.restore(copy)
        self.account.begin_making_good()
        await self.home._account_store.refresh(WORKSPACE)
        later = self.cluster.boards[LISTED_LATER].incarnation
        self.assertFalse(self.account.is_listed(later))
        self.assertTrue(self.account.lacks_known)

    async def test_roster_of_a_home_of_the_previous_build(self) -> None:
        """Guard against a guess of the newer roster while hosts are replaced."""
        accounts = self.home._account_store
        put = accounts.put

        async def put_without_revision(
            account: EscrowAccount, record: AccountRecord, **options: bool
        ) -> bool:
            own = replace(record.holders[account.incarnation], revision=0)
            record = record.set_holder(account.incarnation, own)
            return await put(account, record, **options)

        with mock.patch.object(accounts, "put", put_without_revision):
            await self.home._draw(WORKSPACE)
            copy = self.cluster.store.make_copy()
            await self.list_later_host()
        await self.read_by_other()
        await self.end_and_restore(copy)
        self.check_counted()

    async def test_living_home_names_its_unknown_roster(self) -> None:
        """Guard against a home that grants nothing more, as its roster is unknown."""
        incarnation = self.account.incarnation
        unknown = replace(
            self.account.record.holders[incarnation], roster=UNKNOWN_ROSTER
        )
        written = await self.home._account_store.put(
            self.account, self.account.record.set_holder(incarnation, unknown)
        )
        self.assertTrue(written)
        held = await self.cluster.hold(HOME, OTHER, WORKSPACE, "b", GRANTED_FIRST)
        self.assertTrue(held)

    async def test_living_home_keeps_its_own_state(self) -> None:
        """Guard against a home that grants nothing after hosts dropped its revision.

        A copy that a host of the previous build wrote has fewer draws and another
        roster.
        """
        incarnation = self.account.incarnation
        own = self.account.record.holders[incarnation]
        copied = replace(own, drawn=own.drawn - 1, roster="copied", revision=0)
        self.account.begin_making_good()
        self.account.update_record(
            self.account.record.set_holder(incarnation, copied), make_position(1, 0)
        )
        self.assertEqual(self.account.record.holders[incarnation], own)

    async def test_roster_that_nobody_knows_withholds_the_tokens(self) -> None:
        """Guard against a roster guessed from hosts that have changed since.

        What nobody can account for counts as used, and callers are told so.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        await self.read_by_other()
        drawn = self.account.drawn
        self.cluster.start("vannes-1")
        await self.end_and_restore(copy)
        # The home's successor finds no promise about locked tokens.
        await self.cluster.run_lock_keeper(HOME)
        await self.recover()
        self.check_counted()
        self.assertGreaterEqual(self.cluster.count_unavailable(WORKSPACE), drawn)
        holders = self.other._accounts[WORKSPACE].record.holders
        self.assertNotIn(self.account.incarnation, holders)

    async def test_roster_that_another_host_read_is_stored_again(self) -> None:
        """Guard against tokens that nobody recovers once the roster's reader has ended.

        A host reads the roster, but a witness is out of reach until the store has come
        back from a copy that lacks it. The hosts known then differ from those listed.
        """
        copy = self.cluster.store.make_copy()
        await self.list_later_host()
        members = {
            host: self.cluster.boards[host].incarnation
            for host in (OTHER, LISTED_LATER)
        }
        await self.read_by_other()
        self.cluster.start(HOME)
        self.cluster.timer.time += 1.0
        self.cluster.update_all_peers()
        self.cluster.unreachable = {LISTED_LATER}
        await self.cluster.recover(OTHER, WORKSPACE)
        self.cluster.start("vannes-1")
        await self.end_and_restore(copy)
        reader = RosterStore(store=self.cluster.store, n_partitions=1)
        self.assertEqual(await reader.read(get_roster_name(members)), members)


class EndedHomeWithLockTest(unittest.IsolatedAsyncioTestCase):
    """End a home that unlocked tokens without a draw, with its only witness."""

    async def test_unlocked_tokens_that_another_host_read_are_not_drawn_again(
        self,
    ) -> None:
        """Guard against used tokens that a promise of the copy proves to be unused."""
        cluster = EscrowCluster(prepaid=20_000, home=HOME)
        home = cluster.start(HOME)
        cluster.start(OTHER)
        reader = cluster.start(LISTED_LATER)
        cluster.update_all_peers()
        for host in cluster.homes:
            await cluster.run_lock_keeper(host)
        self.assertTrue(await cluster.hold(HOME, OTHER, WORKSPACE, "a", 1_000))
        account = home.list_accounts()[0]
        await cluster.run_lock_keeper(HOME)
        free = account.free
        self.assertTrue(await cluster.hold(LISTED_LATER, OTHER, WORKSPACE, "b", free))
        locked, copy = account.locked, cluster.store.make_copy()
        self.assertGreater(locked, 0)
        rest = account.unused
        self.assertTrue(await cluster.hold(HOME, OTHER, WORKSPACE, "c", rest))
        self.assertEqual((account.locked, account.unused), (0, 0))
        await reader._account_store.refresh(WORKSPACE)
        for host in (HOME, OTHER):
            cluster.start(host)
        await cluster.restore_store(copy)
        for host in (HOME, OTHER):
            await cluster.run_lock_keeper(host)
        self.assertTrue(cluster.boards[HOME].untouched)
        cluster.home = LISTED_LATER
        cluster.timer.time += MAKE_GOOD_S
        cluster.update_all_peers()
        reader._accounts[WORKSPACE].end_making_good()
        for _ in cluster.homes:
            await cluster.recover(LISTED_LATER, WORKSPACE)
        self.assertLessEqual(
            cluster.spent[WORKSPACE], cluster.count_unavailable(WORKSPACE)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class PreviousHolder:
    """Represent a holder as the previous build reads and writes it."""

    host: str
    drawn: int
    spent: int
    locked: int = 0
    roster: str = ""
    used_by_former: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PreviousRecord:
    """Represent a record as the previous build reads and writes it."""

    holders: dict[str, PreviousHolder] = field(default_factory=dict)
    retired_drawn: int = 0
    retired_spent: int = 0


def make_record(**fields: int | str) -> AccountRecord:
    """Return a record with one holder."""
    holder = Holder(**{"host": HOME, "drawn": 10, "spent": 0, **fields})  # type: ignore[arg-type]
    return AccountRecord(holders={"home": holder})


class JoinRecordsTest(unittest.TestCase):
    """Join a restored record with one that a host knew before."""

    def join(self, stored: AccountRecord, known: AccountRecord) -> Holder:
        """Return the holder of the joined record."""
        return join_records(stored, known).holders["home"]

    def test_state_with_the_higher_revision_wins(self) -> None:
        """Guard against a living home's roster replaced by one read before."""
        newer = make_record(roster="new", locked=3, revision=2)
        older = make_record(roster="old", drawn=12, spent=5, locked=1, revision=1)
        for stored, known in ((newer, older), (older, newer)):
            joined = self.join(stored, known)
            self.assertEqual((joined.roster, joined.locked), ("new", 3))
            self.assertEqual((joined.drawn, joined.revision), (12, 2))

    def test_totals_tell_the_order_of_states_without_revisions(self) -> None:
        """Guard against an older roster of a host of the previous build."""
        older = make_record(roster="old", drawn=12, locked=1)
        for total in ("spent", "used_by_former"):
            newer = make_record(roster="new", locked=3, **{total: 1})
            for stored, known in ((newer, older), (older, newer)):
                with self.subTest(total=total):
                    joined = self.join(stored, known)
                    self.assertEqual((joined.roster, joined.drawn), ("new", 12))
                    self.assertEqual(joined.locked, 3)

    def test_roster_is_unknown_if_nothing_tells_the_order(self) -> None:
        """Guard against a choice of the older roster, or of tokens used since."""
        one = make_record(roster="one", drawn=12, locked=1, revision=7)
        two = make_record(roster="two", locked=3)
        for stored, known in ((one, two), (two, one)):
            joined = join_records(stored, known)
            holder = joined.holders["home"]
            self.assertEqual((holder.roster, holder.drawn), (UNKNOWN_ROSTER, 12))
            self.assertEqual(holder.locked, 1)
            self.assertEqual(self.join(joined, known).roster, UNKNOWN_ROSTER)

    def test_state_without_a_difference_is_not_written_again(self) -> None:
        """Guard against idle writes of all hosts once the store came back."""
        for revision in (0, 4):
            record = make_record(roster="old", locked=1, revision=revision)
            self.assertEqual(join_records(record, record), record)

    def test_records_of_both_builds_are_read_by_each(self) -> None:
        """Guard against a fleet that can't draw while hosts are replaced."""
        previous: Codec[PreviousRecord] = Codec(
            message_type=PreviousRecord, max_bytes=MAX_RECORD_BYTES
        )
        record = make_record(roster="old", locked=1, revision=4)
        copied = previous.decode(ACCOUNT_CODEC.encode(record))
        self.assertEqual(copied.holders["home"].roster, "old")
        read = ACCOUNT_CODEC.decode(previous.encode(copied))
        self.assertEqual(read, make_record(roster="old", locked=1))


if __name__ == "__main__":
    unittest.main()
