"""Test the choice of the source from which a target fetches KV cache."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import Engine
from trefoilstage.components.forwarding.placement import (
    PromptNeed,
    TargetOption,
    rank_by_prompt,
)
from trefoilstage.components.forwarding.prefix_fetch import (
    SET_UP_S,
    SOURCE_EJECTION_S,
    FetchSource,
    PrefixFetch,
    TransferCost,
    TransferTracker,
    get_transfer_cost,
    plan_fetch,
)
from trefoilstage.components.forwarding.work import Work

TOKENS_PER_S = 48_300.0  # 20.7 us a token
FAST = TransferCost(bytes_per_token=18_432, bytes_per_s=740_000 * 125_000)
SLOW = TransferCost(bytes_per_token=327_680, bytes_per_s=1_100_000 * 125_000)
RECEIVER = make_target("i-0")
N_KEPT = 5_382


def make_source(name: str, n_kept_tokens: int = N_KEPT) -> FetchSource:
    """Return a source that keeps some tokens of the prompt."""
    return FetchSource(target=make_target(name), n_kept_tokens=n_kept_tokens)


class PlanTest(unittest.TestCase):
    """Test the plan for a prompt at one target."""

    def setUp(self) -> None:
        """Create a host without fetches under way."""
        self.transfers = TransferTracker()

    def plan(
        self,
        sources: Sequence[FetchSource],
        *,
        n_cached: int = 0,
        cost: TransferCost = FAST,
        speed: float = TOKENS_PER_S,
        now: float = 10.0,
    ) -> PrefixFetch | None:
        """Return the fetch by the receiver."""
        return plan_fetch(
            RECEIVER,
            n_cached,
            prefill_tokens_per_s=speed,
            cost=cost,
            sources=sources,
            transfers=self.transfers,
            now=now,
        )

    def plan_known(self, sources: Sequence[FetchSource], now: float) -> PrefixFetch:
        """Return the fetch by the receiver, which there must be."""
        fetch = self.plan(sources, now=now)
        assert fetch is not None
        return fetch

    def test_source_that_keeps_most_beyond_the_target_is_chosen(self) -> None:
        sources = [make_source("i-1", 2_000), make_source("i-2"), make_source("i-0")]
        fetch = self.plan(sources, n_cached=1_000)
        assert fetch is not None
        self.assertEqual((fetch.source.name, fetch.n_tokens), ("i-2", N_KEPT - 1_000))
        data_s = fetch.n_tokens * 18_432 / (740_000 * 125_000)
        self.assertAlmostEqual(fetch.total_s, data_s + SET_UP_S)

    def test_fetch_that_saves_little_is_not_planned(self) -> None:
        """Guard against set-ups that take longer than processing."""
        for n_kept, is_planned in ((1_255, False), (1_256, True)):
            fetch = self.plan([make_source("i-1", n_kept)], n_cached=1_000)
            self.assertEqual(fetch is not None, is_planned)

    def test_slow_links_are_not_used(self) -> None:
        """Guard against queues of transfers where each costs a fourth of processing."""
        sources = [make_source("i-1", 50_000)]
        self.assertIsNone(self.plan(sources, cost=SLOW, speed=101_000.0))
        # The same link is used by an engine that is slow enough.
        self.assertIsNotNone(self.plan(sources, cost=SLOW, speed=20_000.0))

    def test_target_itself_and_other_software_are_no_sources(self) -> None:
        """Guard against cache of another version, service or start of the target."""
        entries = (
            make_target("i-0", started_ms=7),
            make_target("i-1", version="v2"),
            make_target("i-2", service="other"),
        )
        sources = [FetchSource(target=item, n_kept_tokens=N_KEPT) for item in entries]
        self.assertIsNone(self.plan(sources))

    def test_former_target_at_the_same_address_is_no_source(self) -> None:
        """Guard against a target that is named as its own source.

        A target that replaces another at its address is listed beside it for a while.
        """
        former = replace(make_target("i-9"), address=RECEIVER.address)
        source = FetchSource(target=former, n_kept_tokens=N_KEPT)
        self.assertIsNone(self.plan([source]))

    def test_transfers_under_way_at_both_ends_delay_a_fetch(self) -> None:
        """Guard against a source that many prompts of this host fetch from at once."""
        sources = [make_source("i-1")]
        first = self.plan_known(sources, 10.0)
        self.transfers.add(first, "i-8@0", 10.0)
        self.transfers.add(replace(first, source=make_target("i-9")), "i-0@0", 10.0)
        delayed = self.plan_known(sources, 10.5)
        self.assertAlmostEqual(delayed.total_s, 3 * first.own_s)
        self.assertEqual(self.plan_known(sources, 11.1).total_s, first.own_s)
        free = self.plan_known([*sources, make_source("i-2")], 10.5)
        self.assertEqual(free.source.name, "i-2")

    def test_fetch_that_takes_longer_than_processing_is_not_planned(self) -> None:
        """Guard against prompts that wait for a long queue of transfers."""
        sources = [make_source("i-1")]
        fetch = self.plan_known(sources, 10.0)
        n_possible = int(N_KEPT / TOKENS_PER_S / fetch.own_s)
        for _ in range(n_possible):
            self.assertIsNotNone(self.plan(sources))
            self.transfers.add(fetch, "i-8@0", 10.0)
        self.assertIsNone(self.plan(sources))

    def test_source_of_a_failed_or_late_fetch_is_ejected_for_a_time(self) -> None:
        """Guard against a dark source that makes one prompt after another late."""
        fetch = self.plan_known([make_source("i-1")], 10.0)
        for delay_s, failed, is_ejected in (
            (0.5, False, False),
            (0.5, True, True),
            (2.1, False, True),
        ):
            transfers = TransferTracker()
            pending = transfers.add(fetch, "i-0@0", 10.0)
            ended_at = 10.0 + delay_s
            self.assertEqual(
                transfers.end(pending, ended_at, failed=failed), is_ejected
            )
            self.assertEqual(transfers.is_usable("i-1@0", ended_at), not is_ejected)
            later = ended_at + SOURCE_EJECTION_S
            self.assertTrue(transfers.is_usable("i-1@0", later))
            self.assertFalse(transfers.pending)

    def test_source_is_not_used_while_a_late_fetch_is_pending(self) -> None:
        """Guard against prompts sent after one that hangs, before it has failed."""
        fetch = self.plan_known([make_source("i-1")], 10.0)
        self.transfers.add(fetch, "i-0@0", 10.0)
        self.assertTrue(self.transfers.is_usable("i-1@0", 12.0))
        self.assertFalse(self.transfers.is_usable("i-1@0", 12.1))

    def test_cost_is_unknown_without_both_fields(self) -> None:
        for kv_bytes, per_s, is_known in ((0.0, 1.0, 0), (1.0, 0.0, 0), (1.0, 1.0, 1)):
            engine = Engine(
                slots=1,
                kv_tokens=1,
                tokens_per_event=1,
                kv_bytes_per_token=kv_bytes,
                transfer_bytes_per_s=per_s,
            )
            self.assertEqual(get_transfer_cost(engine) is not None, bool(is_known))
        self.assertIsNone(get_transfer_cost(None))


class RankingTest(unittest.TestCase):
    """Test how a possible fetch changes the ranking of targets."""

    def rank(
        self, keeper_queue: int, *, can_fetch: bool, total_s: float = 0.006
    ) -> list[str]:
        """Rank an idle target that may fetch, and the one that keeps the prefix."""
        keeper = make_target("keeper")
        fetch = PrefixFetch(
            source=keeper, n_tokens=N_KEPT, own_s=0.006, total_s=total_s
        )
        options = [
            TargetOption(
                target=make_target("idle"),
                work=Work(),
                fetch=fetch if can_fetch else None,
            ),
            TargetOption(
                target=keeper,
                work=Work(prompt_tokens=keeper_queue),
                n_cached_tokens=N_KEPT,
            ),
        ]
        need = PromptNeed(subject="s", n_tokens=12_000, objective_s=1.0)
        return [option.target.name for option in rank_by_prompt(options, need)]

    def test_load_decides_where_a_fetch_is_possible(self) -> None:
        """Guard against prompts that queue at the target that keeps their subject."""
        self.assertEqual(self.rank(6_000, can_fetch=False)[0], "keeper")
        self.assertEqual(self.rank(6_000, can_fetch=True)[0], "idle")

    def test_transfer_counts_as_a_wait(self) -> None:
        """Guard against a target that is idle, but waits for other transfers."""
        self.assertEqual(self.rank(3_000, can_fetch=True)[0], "idle")
        slow = self.rank(3_000, can_fetch=True, total_s=0.1)
        self.assertEqual(slow[0], "keeper")

    def test_target_that_keeps_the_prefix_comes_first_between_equals(self) -> None:
        self.assertEqual(self.rank(0, can_fetch=True)[0], "keeper")


if __name__ == "__main__":
    unittest.main()
