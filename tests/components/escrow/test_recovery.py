"""Test that the unused tokens of an ended home are recovered exactly once."""

import unittest

from tests.components.escrow.common import WORKSPACE, EscrowCluster


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    """Test the recovery of a home from the reports of its witnesses."""

    async def test_unused_tokens_of_an_ended_home_are_drawn_again(self) -> None:
        """Kill a home with a large stock; its successor draws the rest again.

        The home drew for ten requests and a stock. Its witnesses report that 10,000
        tokens were granted, so that later requests get all others.
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
            if WORKSPACE in cluster.homes["quimper-1"]._account_tasks:
                await cluster.homes["quimper-1"]._account_tasks[WORKSPACE]
            name = f"more-{number}"
            held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held, number)

    async def test_grant_that_arrives_after_the_seal_is_not_used(self) -> None:
        """Kill a home while its grant is in flight to a requester.

        The successor has counted the requester's earlier grants and drawn the rest
        again. If the late grant were used then, its tokens would be spent twice.
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
        # The successor first reads the record, then receives the new heartbeat.
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        cluster.timer.time += 1.0
        cluster.update_all_peers()
        await cluster.homes["quimper-1"]._recover(WORKSPACE)
        self.assertTrue(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "again", 9_000)
        )
        self.assertFalse(cluster.deliver(late))

    async def test_draw_counts_in_full_without_its_witness(self) -> None:
        """Kill a home and a host that it granted to; no host knows what was used."""
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
        """Restart a host that was granted tokens, then kill the home.

        The host's new incarnation has no record of the grants to the previous one,
        which the home's record counts instead.
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
        """Seal a home at a witness that has restarted without the successor knowing.

        The reply is from another incarnation, so it does not include what the
        previous one used. If that counted as zero, the tokens would be spent twice.
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

    async def test_restarted_home_is_not_treated_as_ended(self) -> None:
        """Restart a home; a host without its new heartbeat reads its new record.

        The host still knows the previous incarnation. If it treated the new one
        as ended, all hosts would refuse the home's grants until its next start.
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
        """Start a host and lose the write that lists it as a witness.

        If it got a grant and the home were killed, no host would be asked about the
        grant, and its tokens would be drawn again.
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
        cluster.store.delayed_write_share = 1.0
        for name in ("b", "c"):
            cluster.timer.time += 1.0
            refused = await cluster.request_grant(
                "brest-1", "quimper-1", WORKSPACE, name, 1_000
            )
            self.assertIsNotNone(refused)
