"""Test what is kept of ended homes whose last writes a restored store lacks."""

import unittest
from dataclasses import dataclass, field, replace
from unittest import mock

from tests.components.escrow.common import WORKSPACE, EscrowCluster
from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.home import STOCK_CHECK_INTERVAL_S, EscrowHome
from trefoilstage.components.escrow.messages import AccountKnowledge, HomeGrants
from trefoilstage.components.escrow.record import (
    ACCOUNT_CODEC,
    AccountRecord,
    Holder,
)
from trefoilstage.components.escrow.restored_record import (
    HostReport,
    RestoredRecord,
    find_later_grants,
    find_newest,
    join_records,
    make_restored,
    reconcile,
)
from trefoilstage.components.escrow.rosters import (
    UNKNOWN_ROSTER,
    RosterStore,
    get_roster_name,
)
from trefoilstage.components.views.store import Topic, make_position
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec

PREPAID = 200_000
REST_S = 4.0  # after the store came back
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
        self.cluster.timer.time += REST_S
        self.cluster.update_all_peers()
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
        for host in self.cluster.homes:
            self.cluster.notice_restored_store(host)
        await self.check_stocks(successor, 0.5)
        await self.other._draw(WORKSPACE)
        await self.cluster.run_lock_keeper(HOME)
        await self.check_stocks(successor, REST_S + 1.0)
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

    async def test_grants_to_hosts_that_only_a_lost_roster_lists(self) -> None:
        """Guard against grants that are not counted when their home ends.

        The home grants after the store came back, and ends before anybody has written
        its later roster again.
        """
        copy = self.cluster.store.make_copy()
        self.cluster.update_peer(HOME, LISTED_LATER)
        await self.home._draw(WORKSPACE)
        self.cluster.home = OTHER
        self.cluster.store.restore(copy)
        held = await self.cluster.hold(
            HOME, LISTED_LATER, WORKSPACE, "b", GRANTED_LATER
        )
        self.assertTrue(held)
        self.cluster.start(HOME)
        for host in self.cluster.homes:
            self.cluster.notice_restored_store(host)
        await self.other._draw(WORKSPACE)
        await self.recover()
        self.check_counted()
        self.assertEqual(self.cluster.count_unavailable(WORKSPACE), GRANTED)

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
        record = replace(self.account.record, era=None)
        record = record.set_holder(incarnation, copied)
        await self.cluster.store.put(
            Topic.ACCOUNTS, WORKSPACE, ACCOUNT_CODEC.encode(record)
        )
        await self.cluster.restore_store(self.cluster.store.make_copy())
        self.assertIsNone(self.account.restored)
        self.assertEqual(self.account.record.holders[incarnation].drawn, own.drawn)
        self.assertEqual(self.account.record.holders[incarnation].roster, own.roster)

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
        cluster.timer.time += REST_S
        cluster.update_all_peers()
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


def make_report(
    host: str, known: AccountRecord | None = None, position: int = -1, **grants: int
) -> HostReport:
    """Return a host's report, with a home's grants that rely on the position."""
    found = None
    if grants:
        found = HomeGrants(host=HOME, incarnation="home", position=position, **grants)
    knowledge = AccountKnowledge(
        position=position, record=known, grants=(found,) if found else ()
    )
    return HostReport(host=host, incarnation=f"{host}-1", knowledge=knowledge)


def make_copied(record: AccountRecord, offset: int) -> RestoredRecord:
    """Return a record as it is read from a store that came back once."""
    return make_restored(replace(record, era=0), make_position(1, offset))


class ReconcileTest(unittest.TestCase):
    """Reconcile a restored record with what hosts report."""

    def reconcile(
        self,
        restored: RestoredRecord,
        reports: list[HostReport],
        roster: dict[str, str] | None = None,
    ) -> AccountRecord:
        """Return the reconciled record; the home's roster has the members given."""
        position, newest = find_newest(restored, reports)
        later = find_later_grants(reports, position)
        rosters = {"": {}, "old": roster}
        return reconcile(newest, later, rosters, adds_holders=True)[0]

    def test_newest_known_record_wins(self) -> None:
        """Guard against draws of a copy or of a stale reader that were returned."""
        copy, stale = make_record(drawn=12), make_record(drawn=14)
        newest = make_record(drawn=11, roster="new")
        reports = [
            make_report(OTHER, newest, position=9),
            make_report(LISTED_LATER, stale, position=3),
        ]
        self.assertEqual(self.reconcile(make_copied(copy, 5), reports), newest)
        copied = make_copied(newest, 10)
        self.assertEqual(self.reconcile(copied, reports), copied.record)

    def test_record_written_in_a_later_era_is_newer(self) -> None:
        """Guard against draws that were lost in an earlier drill and are made again."""
        lost, kept = make_record(drawn=14), make_record(drawn=11)
        reports = [
            make_report(OTHER, lost, position=9),
            make_report(LISTED_LATER, kept, position=make_position(1, 6)),
        ]
        restored = make_restored(replace(make_record(), era=1), make_position(2, 5))
        self.assertEqual(self.reconcile(restored, reports), kept)

    def test_later_state_of_a_holder_in_a_record_of_the_previous_build(self) -> None:
        """Guard against draws that a copy lacks, if hosts of two builds run."""
        stored = make_record(roster="old", drawn=10, revision=1)
        known = make_record(roster="new", drawn=18, revision=2)
        reports = [make_report(OTHER, known, position=9)]
        record = self.reconcile(make_restored(stored, make_position(1, 5)), reports)
        self.assertEqual(record, known)

    def test_grants_that_no_record_covers_are_counted(self) -> None:
        """Guard against draws of a lost home that only its witnesses know of."""
        reports = [
            make_report(OTHER, used=9, drawn=18, position=8),
            make_report(LISTED_LATER, used=7, drawn=15, position=7),
        ]
        members = {OTHER: f"{OTHER}-1"}
        record = self.reconcile(
            make_copied(make_record(roster="old", locked=4), 5), reports, members
        )
        listed = {**members, LISTED_LATER: f"{LISTED_LATER}-1"}
        home = record.holders["home"]
        self.assertEqual((home.drawn, home.locked), (18, 0))
        self.assertEqual(home.roster, get_roster_name(listed))

    def test_home_that_joined_since_is_added(self) -> None:
        """Guard against draws of a lost home that the copy does not name."""
        reports = [make_report(OTHER, used=9, drawn=18, position=8)]
        record = self.reconcile(make_copied(AccountRecord(), 5), reports)
        self.assertEqual(record.holders["home"].drawn, 18)

    def test_retired_home_is_not_counted_twice(self) -> None:
        """Guard against 402 with tokens left: usage in the retired total and again."""
        reports = [make_report(OTHER, used=9, drawn=18, position=4)]
        retired = AccountRecord(retired_drawn=9, retired_spent=9)
        copied = make_copied(retired, 5)
        self.assertEqual(self.reconcile(copied, reports), copied.record)
        self.assertEqual(self.reconcile(copied, reports).drawn, 9)

    def test_roster_is_unknown_if_a_witness_has_restarted(self) -> None:
        """Guard against the usage of a witness that ended, which nobody reports."""
        reports = [make_report(OTHER, used=9, drawn=18, position=8)]
        record = self.reconcile(
            make_copied(make_record(roster="old"), 5), reports, {OTHER: "former"}
        )
        self.assertEqual(record.holders["home"].roster, UNKNOWN_ROSTER)
        self.assertEqual(record.holders["home"].drawn, 18)

    def test_records_of_both_builds_are_read_by_each(self) -> None:
        """Guard against a fleet that can't draw while hosts are replaced."""
        previous: Codec[PreviousRecord] = Codec(
            message_type=PreviousRecord, max_bytes=MAX_RECORD_BYTES
        )
        record = make_record(roster="old", locked=1, revision=4)
        copied = previous.decode(ACCOUNT_CODEC.encode(record))
        self.assertEqual(copied.holders["home"].roster, "old")
        self.assertIsNone(ACCOUNT_CODEC.decode(previous.encode(copied)).era)
        read = ACCOUNT_CODEC.decode(previous.encode(copied))
        self.assertEqual(read, make_record(roster="old", locked=1))


if __name__ == "__main__":
    unittest.main()
