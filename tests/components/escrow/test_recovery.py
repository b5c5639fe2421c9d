"""Test that an ended home's tokens come back, each once."""

import unittest

from tests.components.escrow.common import WORKSPACE, Bank


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    """Test what other homes learn from the hosts that an ended one granted to."""

    async def test_ended_home_strands_nothing(self) -> None:
        """Kill a home that has drawn far ahead; its successor draws the rest again.

        The home drew for ten callers' requests and a stock. Its witnesses say that
        10,000 tokens were granted, so the caller gets all the others.
        """
        bank = Bank(prepaid=100_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("quimper-1")
        bank.start("brest-1")
        bank.meet_all()
        for number in range(10):
            name = f"request-{number}"
            held = await bank.hold("brest-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held)
        bank.start("brest-1")
        bank.meet_all()
        bank.home = "quimper-1"
        for number in range(90):
            bank.timer.time += 0.1
            bank.meet_all()
            await bank.homes["quimper-1"]._tick()
            if WORKSPACE in bank.homes["quimper-1"]._draws:
                await bank.homes["quimper-1"]._draws[WORKSPACE]
            name = f"more-{number}"
            held = await bank.hold("quimper-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held, number)

    async def test_grant_that_arrives_after_the_seal_is_not_used(self) -> None:
        """Kill a home whose grant is still on its way to a caller's host.

        The successor has counted what the host got so far and drawn the rest again.
        Used after that, the late grant would be spent twice.
        """
        bank = Bank(prepaid=10_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("quimper-1")
        bank.start("brest-1")
        bank.meet_all()
        refused = await bank.send("brest-1", "lorient-1", WORKSPACE, "late", 9_000)
        self.assertIsNone(refused)
        late = bank.on_way[-1]
        bank.start("brest-1")
        bank.meet_all()
        bank.home = "quimper-1"
        self.assertFalse(
            await bank.hold("quimper-1", "lorient-1", WORKSPACE, "first", 9_000)
        )
        # The successor first reads the record, then hears the home's new start.
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        bank.timer.time += 1.0
        bank.meet_all()
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        self.assertTrue(
            await bank.hold("quimper-1", "lorient-1", WORKSPACE, "again", 9_000)
        )
        self.assertFalse(bank.deliver(late))

    async def test_lost_witness_leaves_the_draw_counted(self) -> None:
        """Kill a home and a host that it granted to; nobody knows what was used."""
        bank = Bank(prepaid=10_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("quimper-1")
        bank.start("brest-1")
        bank.meet_all()
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000))
        bank.start("brest-1")
        bank.start("lorient-1")
        bank.meet_all()
        bank.home = "quimper-1"
        await bank.homes["quimper-1"]._tick()
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        self.assertFalse(
            await bank.hold("quimper-1", "lorient-1", WORKSPACE, "b", 5_000)
        )

    async def test_former_witness_is_counted(self) -> None:
        """Restart a host that was granted tokens, then kill its home.

        The home serves the host's new incarnation, which knows nothing of the old
        one's grants. What the old one got stands in the home's record.
        """
        bank = Bank(prepaid=10_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("quimper-1")
        bank.start("brest-1")
        bank.meet_all()
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 6_000))
        bank.start("lorient-1")
        bank.meet_all()
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "b", 1_000))
        bank.start("brest-1")
        bank.meet_all()
        bank.home = "quimper-1"
        await bank.homes["quimper-1"]._tick()
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        held = await bank.hold("quimper-1", "lorient-1", WORKSPACE, "c", 3_001)
        self.assertFalse(held)
        held = await bank.hold("quimper-1", "lorient-1", WORKSPACE, "d", 3_000)
        self.assertTrue(held)

    async def test_restarted_witness_knows_nothing(self) -> None:
        """Ask a witness that has restarted without the asker knowing it.

        Its answer names another incarnation, so it says nothing of what the earlier
        one used. Counted as zero, those tokens would be spent twice.
        """
        bank = Bank(prepaid=10_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("quimper-1")
        bank.start("brest-1")
        bank.meet_all()
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000))
        bank.start("brest-1")
        bank.start("lorient-1")
        bank.meet("quimper-1", "brest-1")
        bank.home = "quimper-1"
        await bank.homes["quimper-1"]._tick()
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        bank.meet_all()
        held = await bank.hold("quimper-1", "lorient-1", WORKSPACE, "b", 5_000)
        self.assertFalse(held)

    async def test_home_that_is_newer_than_what_was_heard_goes_on(self) -> None:
        """Restart a home; a host that has not heard it since reads its new record.

        The host still knows the incarnation before. Took it the new one for ended,
        all hosts would refuse the new home's grants until its next start.
        """
        bank = Bank(prepaid=10_000, home="brest-1")
        for host in ("lorient-1", "quimper-1", "brest-1"):
            bank.start(host)
        bank.meet_all()
        bank.start("brest-1")
        bank.meet("brest-1", "lorient-1")
        bank.timer.time += 1.0
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000))
        await bank.send("quimper-1", "lorient-1", WORKSPACE, "b", 1)
        await bank.homes["quimper-1"]._recover(WORKSPACE)
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "c", 1_000))

    async def test_host_that_the_store_does_not_name_gets_nothing(self) -> None:
        """Let a host come up, and lose the write that names it as a witness.

        Were it granted tokens now and the home killed, nobody would be asked about
        them, and they would be drawn again.
        """
        bank = Bank(prepaid=100_000, home="brest-1")
        bank.start("lorient-1")
        bank.start("brest-1")
        bank.meet_all()
        self.assertTrue(await bank.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000))
        bank.start("quimper-1")
        bank.meet_all()
        bank.store.late_share = 1.0
        for name in ("b", "c"):
            bank.timer.time += 1.0
            refused = await bank.send("brest-1", "quimper-1", WORKSPACE, name, 1_000)
            self.assertIsNotNone(refused)
