"""Test that prepaid tokens are never spent twice and rarely withheld from callers."""

import asyncio
import random
import unittest
from unittest import mock

from tests.components.escrow.common import (
    OTHER_WORKSPACE,
    WORKSPACE,
    EscrowCluster,
    make_configuration,
    pick_faults,
)
from trefoilstage.components.escrow import hold_refusals
from trefoilstage.components.escrow.messages import HoldTokens
from trefoilstage.helpers.verdict import Reason

HOSTS = ("brest-1", "quimper-1", "lorient-1")
PREPAID = 200_000
# The relative frequency of each action.
WEIGHTS = {
    "hold": 46,
    "deliver": 24,
    "settle": 8,
    "restart": 2,
    "heartbeat": 10,
    "return_unused": 2,
    "recover": 3,
    "change_home": 1,
    "change_faults": 2,
    "land_late_writes": 2,
    "run_lock_keeper": 8,
    "restart_all": 1,
}
N_SEEDS = 60
N_STEPS = 400
STEPS_PER_COPY = 20


class OverspendFuzz(unittest.IsolatedAsyncioTestCase):
    """Run three homes of the same accounts through random faults."""

    async def test_no_fault_spends_more_than_was_prepaid(self) -> None:
        """Hold tokens while the store fails and hosts restart.

        A workspace has 200,000 tokens. Hosts hold and settle tokens, become home in
        turn, are killed and restarted, and return tokens; the store is down, refuses
        calls, loses replies and applies writes late. At each step, the tokens really
        spent must not exceed the prepaid ones, nor what the store counts as drawn
        less what the live homes may still grant.
        """
        for seed in range(N_SEEDS):
            with self.subTest(seed=seed):
                await self._run_seed(seed)

    async def test_no_restored_store_spends_more_than_was_prepaid(self) -> None:
        """Guard against draws that a copy of the store lacks and others draw again."""
        for seed in range(N_SEEDS):
            with self.subTest(seed=seed):
                await self._run_seed(seed, restores=True)

    async def _run_seed(self, seed: int, *, restores: bool = False) -> None:
        generator = random.Random(seed)
        cluster = EscrowCluster(prepaid=PREPAID, home=generator.choice(HOSTS))
        cluster.store.generator = random.Random(seed + 1_000)
        for host in HOSTS:
            cluster.start(host)
        copy, n_starts = cluster.store.make_copy(), cluster.n_starts
        self.gone: dict[str, int] = {}
        for step in range(N_STEPS):
            if restores and step % STEPS_PER_COPY == 0:
                # Draws of a home that ended since the copy are known to nobody.
                if cluster.n_starts == n_starts and step:
                    cluster.store.is_down = False
                    cluster.store.refused_call_share = 0.0
                    cluster.store.lost_reply_share = 0.0
                    cluster.store.delayed_write_share = 0.0
                    await cluster.restore_store(copy)
                copy, n_starts = cluster.store.make_copy(), cluster.n_starts
            await self._run_step(cluster, generator, f"request-{step}")
            for workspace, spent in cluster.spent.items():
                self.assertLessEqual(spent, PREPAID, (seed, step, workspace))
                counted = cluster.count_unavailable(workspace)
                self.assertLessEqual(spent, counted, (seed, step, workspace))

    async def _run_step(
        self, cluster: EscrowCluster, generator: random.Random, request: str
    ) -> None:
        cluster.timer.time += generator.choice([0.01, 0.1, 0.5])
        host, other = generator.choice(HOSTS), generator.choice(HOSTS)
        workspace = generator.choice([WORKSPACE, OTHER_WORKSPACE])
        action = generator.choices(list(WEIGHTS), weights=list(WEIGHTS.values()))[0]
        if action == "hold":
            tokens = generator.randrange(1, 9_000)
            refused = await cluster.request_grant(
                host, other, workspace, request, tokens
            )
            self._check_gone_for_good(cluster, host, workspace, tokens, refused)
        elif action == "return_unused":
            await cluster.homes[host].return_unused()
        elif action == "recover":
            await cluster.recover(host, workspace)
        elif action == "run_lock_keeper":
            await cluster.run_lock_keeper(host)
        elif action == "restart_all":
            await self._restart_all(cluster, generator)
        else:
            apply_action(cluster, generator, action, host, other)

    def _check_gone_for_good(
        self,
        cluster: EscrowCluster,
        host: str,
        workspace: str,
        tokens: int,
        refused: Reason | None,
    ) -> None:
        """Check that no home grants what another one called gone for good."""
        account = cluster.homes[host]._accounts[workspace]
        gone = self.gone.get(workspace, PREPAID + 1)
        if refused is None:
            self.assertLess(tokens, gone)
        elif refused is Reason.BUDGET_EXHAUSTED and account.is_gone_for_good(tokens):
            self.gone[workspace] = min(gone, tokens)

    async def _restart_all(
        self, cluster: EscrowCluster, generator: random.Random
    ) -> None:
        cluster.timer.time += generator.choice([0.5, 1.5, 4.0])
        for host in HOSTS:
            cluster.start(host)
        cluster.store.is_down, cluster.store.refused_call_share = False, 0.0
        for host in HOSTS:
            await cluster.run_lock_keeper(host)
        cluster.update_all_peers()
        # The next homes read the accounts, then recover the tokens of the ended ones.
        requester, *others = HOSTS
        for host in others:
            for workspace in (WORKSPACE, OTHER_WORKSPACE):
                name = f"after-{cluster.n_starts}-{workspace}"
                await cluster.request_grant(host, requester, workspace, name, 1)
                for _ in range(len(HOSTS)):
                    await cluster.recover(host, workspace)


def apply_action(
    cluster: EscrowCluster, generator: random.Random, action: str, host: str, other: str
) -> None:
    """Carry out one of the synchronous actions."""
    if action == "deliver" and cluster.in_flight:
        cluster.deliver(generator.choice(cluster.in_flight))
    elif action == "settle" and cluster.running:
        ended = generator.choice(sorted(cluster.running))
        cluster.settle(ended, generator.randrange(cluster.running[ended].tokens + 1))
    elif action == "restart":
        cluster.start(host)
    elif action == "heartbeat":
        cluster.update_peer(host, other)
    elif action == "change_home":
        cluster.home = host
    elif action == "change_faults":
        pick_faults(cluster.store, generator)
        cluster.unreachable = {host} if generator.random() < 0.3 else set()
    elif action == "land_late_writes":
        cluster.store.apply_delayed_write()


class HomeTest(unittest.IsolatedAsyncioTestCase):
    """Test which holds one or two homes grant."""

    async def test_whole_budget_can_be_spent(self) -> None:
        """Spend a whole budget through one home in small requests."""
        cluster = EscrowCluster(prepaid=100_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("brest-1")
        for number in range(100):
            held = await cluster.hold(
                "brest-1", "lorient-1", WORKSPACE, f"request-{number}", 1_000
            )
            self.assertTrue(held, number)
        refused = await cluster.homes["brest-1"].hold(
            WORKSPACE, "one-more", 1_000, cluster.boards["lorient-1"].incarnation
        )
        self.assertIs(refused, Reason.BUDGET_EXHAUSTED)

    async def test_tokens_that_running_requests_hold_are_named(self) -> None:
        """Guard against 30 s for a request that the end of another one will serve."""
        cluster = EscrowCluster(prepaid=100_000, home=HOSTS[0])
        for host in HOSTS:
            cluster.start(host)
        cluster.update_all_peers()
        # The other home draws 1,000 more to keep them ready, and reports none as spent.
        await cluster.hold(HOSTS[1], HOSTS[2], WORKSPACE, "other", 40_000)
        await cluster.hold(HOSTS[0], HOSTS[2], WORKSPACE, "running", 50_000)
        request = HoldTokens(
            workspace=WORKSPACE,
            request="next",
            tokens=20_000,
            requester=cluster.boards[HOSTS[2]].incarnation,
        )
        with mock.patch.object(hold_refusals, "log_event") as log:
            reply = await cluster.homes[HOSTS[0]]._handle_hold(request)
        fields = log.call_args.kwargs
        self.assertEqual((fields["held"], fields["held_by_live"]), (50_000, 50_000))
        self.assertEqual(fields["unreported_by_others"], 41_000)
        self.assertEqual(fields["obtainable"], 100_000)
        self.assertIs(reply.refused, Reason.BUDGET_DRAWN)
        self.assertEqual(reply.held, 50_000)

    async def test_tokens_lost_with_all_hosts_are_gone_for_good(self) -> None:
        """Guard against retries all day after a loss of power.

        The home had spent 90% of the budget and held the rest for a request, of which
        nobody knows whether it ran.
        """
        cluster = EscrowCluster(prepaid=100_000, home=HOSTS[0])
        for host in HOSTS:
            cluster.start(host)
        cluster.update_all_peers()
        await cluster.hold(HOSTS[0], HOSTS[2], WORKSPACE, "first", 90_000)
        cluster.settle("first", 90_000)
        await cluster.hold(HOSTS[0], HOSTS[2], WORKSPACE, "last", 10_000)
        for host in HOSTS:
            cluster.start(host)
        cluster.home = HOSTS[1]

        async def request(name: str) -> Reason | None:
            cluster.timer.time += 1.0
            cluster.update_all_peers()
            return await cluster.request_grant(
                HOSTS[1], HOSTS[2], WORKSPACE, name, 5_000
            )

        # The ended home's tokens may be recovered until it is retired.
        self.assertIs(await request("before"), Reason.BUDGET_DRAWN)
        for _ in HOSTS:
            await cluster.recover(HOSTS[1], WORKSPACE)
        self.assertIs(await request("after"), Reason.BUDGET_EXHAUSTED)

    async def test_last_tokens_serve_short_requests(self) -> None:
        """Make long and short requests with 12,000 tokens left of 200,000.

        A request of 9,000 tokens would leave too little for a dozen short ones in the
        same second, so it is refused. The short ones get tokens, and so does a long
        one that takes at most half.
        """
        cluster = EscrowCluster(prepaid=200_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, "most", 188_000)
        self.assertTrue(held)
        held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, "long", 9_000)
        self.assertFalse(held)
        held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, "half", 6_000)
        self.assertTrue(held)
        for number in range(6):
            name = f"short-{number}"
            held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, name, 1_000)
            self.assertTrue(held, number)

    async def test_stock_serves_through_an_outage(self) -> None:
        """Take the store down while callers continue.

        The home has had a demand of 10,000 tokens per second for 5 s and has drawn
        its stock. Then the store is down for 6 s. Each caller still gets tokens,
        because the stock covers the demand of an outage.
        """
        cluster = EscrowCluster(prepaid=2_000_000, home="brest-1")
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        for number in range(110):
            cluster.update_all_peers()
            if number == 50:
                await home._check_stocks()
                await home._account_tasks[WORKSPACE]
                cluster.store.is_down = True
            cluster.timer.time += 0.1
            held = await cluster.hold(
                "brest-1", "lorient-1", WORKSPACE, f"request-{number}", 1_000
            )
            self.assertTrue(held, number)

    async def test_tokens_of_an_unconfirmed_return_are_not_held(self) -> None:
        """Lose the reply to a return of tokens, then request tokens.

        The write is delayed and may be stored at any time; then another host can
        draw the same tokens. A request for them is therefore refused until then.
        """
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "first", 10_000)
        )
        cluster.settle("first", 1_000)
        cluster.store.delayed_write_share = 1.0
        await home.return_unused()
        self.assertFalse(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "second", 5_000)
        )
        cluster.store.apply_delayed_write()
        cluster.store.delayed_write_share = 0.0
        cluster.start("quimper-1")
        self.assertTrue(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "third", 8_000)
        )

    async def test_unread_account_is_not_overwritten(self) -> None:
        """Draw on an account that the host has not read, after writing another one.

        Both are in one partition. If the host took the unread account for empty, its
        write would drop the draw of another host, and the tokens would be spent twice.
        """
        cluster = EscrowCluster(prepaid=10_000)
        cluster.start("lorient-1")
        cluster.start("brest-1")
        cluster.start("quimper-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 9_000)
        )
        self.assertTrue(
            await cluster.hold("quimper-1", "lorient-1", OTHER_WORKSPACE, "b", 1_000)
        )
        self.assertFalse(
            await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "c", 9_000)
        )

    async def test_lowered_budget_applies_immediately(self) -> None:
        """Lower the prepaid tokens below what is drawn; further holds are refused."""
        cluster = EscrowCluster(prepaid=100_000, home="brest-1")
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 10_000)
        )
        await home._check_stocks()
        cluster.boards["brest-1"].configuration = make_configuration(10_000, version=2)
        self.assertFalse(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "b", 1_000)
        )

    async def test_top_up_is_used(self) -> None:
        """Raise the prepaid tokens of an exhausted budget; the next hold is granted."""
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        cluster.start("brest-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 10_000)
        )
        self.assertFalse(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "b", 1_000)
        )
        cluster.boards["brest-1"].configuration = make_configuration(20_000, version=2)
        cluster.timer.time += 1.0
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "c", 1_000)
        )

    async def draw_then_restore(self) -> EscrowCluster:
        """Let one home draw after a copy, and another one follow it after a drill.

        The second home has read nothing of the first one's draws, and is first to
        notice that the store came back.
        """
        cluster = EscrowCluster(prepaid=20_000, home=HOSTS[0])
        for host in HOSTS:
            cluster.start(host)
            cluster.homes[host]._get_account(WORKSPACE)
        copy = cluster.store.make_copy()
        cluster.update_all_peers()
        self.assertTrue(
            await cluster.hold(HOSTS[0], HOSTS[1], WORKSPACE, "request-1", 3_000)
        )
        cluster.store.restore(copy)
        cluster.home = HOSTS[1]
        return cluster

    async def request_after(self, cluster: EscrowCluster, tokens: int) -> Reason | None:
        """Request tokens of the second home."""
        return await cluster.request_grant(
            HOSTS[1], HOSTS[0], WORKSPACE, f"request-{tokens}", tokens
        )

    async def test_nobody_draws_what_a_copy_calls_free(self) -> None:
        """Guard against tokens that look free in a copy and are drawn a second time.

        No follower has noticed yet that the store came back.
        """
        cluster = await self.draw_then_restore()
        self.assertIsNotNone(await self.request_after(cluster, 18_000))
        self.assertIsNone(await self.request_after(cluster, 8_000))

    async def test_what_was_held_in_a_drill_is_reported_as_spent(self) -> None:
        """Guard against 429 for a budget that is used up, as nobody knows it."""
        cluster = EscrowCluster(prepaid=20_000, home=HOSTS[0])
        for host in HOSTS:
            cluster.start(host)
            cluster.homes[host]._get_account(WORKSPACE)
        cluster.update_all_peers()
        await cluster.hold(HOSTS[0], HOSTS[2], WORKSPACE, "running", 19_000)
        cluster.store.restore(cluster.store.make_copy())
        cluster.home = HOSTS[1]
        await self.request_after(cluster, 500)
        cluster.settle("running", 19_000)
        former = cluster.homes[HOSTS[0]]._accounts[WORKSPACE]
        for _ in range(3):
            cluster.notice_restored_store(HOSTS[0])
            cluster.timer.time += 1.0
            cluster.update_all_peers()
            await cluster.homes[HOSTS[0]]._check_stocks()
            await asyncio.gather(*cluster.homes[HOSTS[0]]._account_tasks.values())
        self.assertEqual(former.record.holders[former.incarnation].spent, 19_000)

    async def test_stock_that_others_counted_without_is_not_granted(self) -> None:
        """Guard against a suspended home that wakes with draws that a copy lacks."""
        cluster = EscrowCluster(prepaid=PREPAID, home=HOSTS[0])
        for host in HOSTS:
            cluster.start(host)
            cluster.homes[host]._get_account(WORKSPACE)
        cluster.update_all_peers()
        copy = cluster.store.make_copy()
        await cluster.homes[HOSTS[0]]._draw(WORKSPACE)
        cluster.store.restore(copy)
        cluster.unreachable = {HOSTS[0]}
        cluster.timer.time += 2.0
        cluster.home = HOSTS[1]
        cluster.update_peer(HOSTS[1], HOSTS[2])
        cluster.update_peer(HOSTS[2], HOSTS[1])
        held = await cluster.hold(HOSTS[1], HOSTS[2], WORKSPACE, "first", PREPAID)
        self.assertTrue(held)
        cluster.unreachable = set()
        await cluster.hold(HOSTS[0], HOSTS[2], WORKSPACE, "second", 500)
        self.assertEqual(cluster.spent[WORKSPACE], PREPAID)

    async def test_nobody_draws_before_a_host_that_is_there_has_reported(self) -> None:
        """Guard against a second draw while the home of before is out of reach."""
        cluster = await self.draw_then_restore()
        cluster.unreachable = {HOSTS[0]}
        for tokens in (18_000, 8_000):
            refused = await self.request_after(cluster, tokens)
            self.assertIs(refused, Reason.BUDGET_UNCONFIRMED)
        cluster.unreachable = set()
        self.assertIsNone(await self.request_after(cluster, 8_000))

    async def test_account_that_lacks_nothing_is_not_read_again_and_again(self) -> None:
        """Guard against calls of all homes to a store that just came back."""
        cluster = EscrowCluster(prepaid=PREPAID, home=HOSTS[0])
        home = cluster.start(HOSTS[0])
        await cluster.hold(HOSTS[0], HOSTS[0], WORKSPACE, "request-1", 10)
        await cluster.restore_store(cluster.store.make_copy())
        with mock.patch.object(home, "_start_draw") as start_draw:
            await home._check_stocks()
            workspaces = [call.args[0] for call in start_draw.call_args_list]
            self.assertNotIn(WORKSPACE, workspaces)

    async def test_settlement_may_arrive_before_its_hold(self) -> None:
        """Settle a hold whose message is delayed; it must not be held permanently."""
        cluster = EscrowCluster(prepaid=10_000, home="brest-1")
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        self.assertTrue(
            await cluster.hold("brest-1", "lorient-1", WORKSPACE, "a", 1_000)
        )
        account = home.list_accounts()[0]
        account.settle("late", 0)
        requester = cluster.boards["lorient-1"].incarnation
        self.assertFalse(account.hold("late", 1_000, requester, 0.0))

    async def test_delayed_draw_cannot_overwrite_another(self) -> None:
        """Delay a draw, draw at another host, then let the delayed write arrive.

        The delayed record lacks the other host's draw and would overwrite it; the
        same tokens would then be drawn again.
        """
        cluster = EscrowCluster(prepaid=10_000)
        cluster.start("lorient-1")
        cluster.start("quimper-1")
        cluster.start("brest-1")
        cluster.update_all_peers()
        cluster.store.delayed_write_share = 1.0
        held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "a", 1_000)
        self.assertFalse(held)
        cluster.store.delayed_write_share = 0.0
        held = await cluster.hold("brest-1", "lorient-1", WORKSPACE, "b", 9_000)
        self.assertTrue(held)
        cluster.store.apply_delayed_write()
        cluster.timer.time += 1.0
        held = await cluster.hold("quimper-1", "lorient-1", WORKSPACE, "c", 9_000)
        self.assertFalse(held)

    async def test_hold_is_refused_immediately_without_the_store(self) -> None:
        """Request a hold from a home without stock while the store is out of reach."""
        cluster = EscrowCluster(prepaid=10_000)
        cluster.start("lorient-1")
        home = cluster.start("brest-1")
        cluster.store.is_down = True
        cluster.boards["brest-1"].store.out_of_reach = True
        refused = await home.hold(WORKSPACE, "a", 1_000, "lorient-1-1")
        self.assertIs(refused, Reason.BUDGET_UNCONFIRMED)


if __name__ == "__main__":
    unittest.main()
