"""Test that an ended home's tokens come back, each once."""

import unittest

from tests.components.escrow.common import WORKSPACE, EscrowCluster


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    """Test what other homes learn from the hosts that an ended one granted to."""

    async def test_unused_tokens_of_an_ended_home_are_drawn_again(self) -> None:
        """Kill a home that has drawn far ahead; its successor draws the rest again.

        The home drew for ten callers' requests and a stock. Its witnesses say that
        10,000 tokens were granted, so the caller gets all the others.
        """
        cluster = EscrowCluster(prepaid=100_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        for number in range(10):
            name = f"request-{number}"
            held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held)
        cluster.start("brest-1")
        cluster.update_all_peers()
        cluster.home = "quimper-1"
        for number in range(90):
            cluster.timer.time += 0.1
            cluster.update_all_peers()
            await cluster.homes["quimper-1"]._check_stocks()
            if WORKSPACE in cluster.homes["quimper-1"]._draws:
                await cluster.homes["quimper-1"]._draws[WORKSPACE]
            name = f"more-{number}"
            held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held, number)

    async def test_grant_that_arrives_after_the_seal_is_not_used(self) -> None:
        """Kill a home whose grant is still on its way to a caller's host.

        The successor has counted what the host got so far and drawn the rest again.
        Used after that, the late grant would be spent twice.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        refused = await cluster.request_grant(
            "brest-1", "lorient-1", WORKSPACE, "late", 9_000
        )
        self.assertIsNone(refused)
        late = cluster.in_flight[-1]
        cluster.start("brest-1")
        cluster.update_all_peers()
        cluster.home = "quimper-1"
        self.assertFalse(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "first", 9_000)
        )
        # The successor first reads the record, then hears the home's new start.
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        cluster.timer.time += 1.0
        cluster.update_all_peers()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        self.assertTrue(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "again", 9_000)
        )
        self.assertFalse(cluster.deliver(late))

    async def test_draw_counts_in_full_without_its_witness(self) -> None:
        """Kill a home and a host that it granted to; nobody knows what was used."""
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000)
        )
        cluster.start("brest-1")
        cluster.start("lorient-1")
        cluster.update_all_peers()
        cluster.home = "quimper-1"
        await cluster.homes["quimper-1"]._check_stocks()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        self.assertFalse(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "b", 5_000)
        )

    async def test_grants_to_a_previous_incarnation_are_counted(self) -> None:
        """Restart a host that was granted tokens, then kill its home.

        The home serves the host's new incarnation, which knows nothing of the old
        one's grants. What the old one got stands in the home's record.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 6_000)
        )
        cluster.start("lorient-1")
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "b", 1_000)
        )
        cluster.start("brest-1")
        cluster.update_all_peers()
        cluster.home = "quimper-1"
        await cluster.homes["quimper-1"]._check_stocks()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "c", 3_001)
        self.assertFalse(held)
        held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "d", 3_000)
        self.assertTrue(held)

    async def test_reply_of_a_restarted_witness_is_not_counted(self) -> None:
        """Ask a witness that has restarted without the asker knowing it.

        Its answer names another incarnation, so it says nothing of what the earlier
        one used. Counted as zero, those tokens would be spent twice.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000)
        )
        cluster.start("brest-1")
        cluster.start("lorient-1")
        cluster.update_peer("quimper-1", "brest-1")
        cluster.home = "quimper-1"
        await cluster.homes["quimper-1"]._check_stocks()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        cluster.update_all_peers()
        held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "b", 5_000)
        self.assertFalse(held)

    async def test_restarted_home_is_not_taken_for_ended(self) -> None:
        """Restart a home; a host that has not heard it since reads its new record.

        The host still knows the incarnation before. Took it the new one for ended,
        all hosts would refuse the new home's grants until its next start.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        for host in ("lorient-1", "quimper-1", "brest-1"):
            cluster.start(host)
        cluster.update_all_peers()
        cluster.start("brest-1")
        cluster.update_peer("brest-1", "lorient-1")
        cluster.timer.time += 1.0
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        )
        await cluster.request_grant("quimper-1", "lorient-1", WORKSPACE, "b", 1)
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "c", 1_000)
        )

    async def test_host_missing_from_the_stored_roster_gets_no_grant(self) -> None:
        """Let a host come up, and lose the write that names it as a witness.

        Were it granted tokens now and the home killed, nobody would be asked about
        them, and they would be drawn again.
        """
        cluster = EscrowCluster(prepaid=100_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        )
        cluster.start("quimper-1")
        cluster.update_all_peers()
        cluster.store.late_share = 1.0
        for name in ("b", "c"):
            cluster.timer.time += 1.0
            refused = await cluster.request_grant(
                "brest-1", "quimper-1", WORKSPACE, name, 1_000
            )
            self.assertIsNotNone(refused)
