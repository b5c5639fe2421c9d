"""Test how cached prefixes are weighed against load."""

import random
import unittest

from standins.engine_cache import hash_prefixes
from trefoilstage.components.routing.choice import (
    Candidate,
    RoutingPolicy,
    ScoredCandidate,
    select_candidate,
)
from trefoilstage.components.routing.prefix import PrefixMap, hash_blocks
from trefoilstage.configuration.schema import TargetConfig


def make_candidate(
    name: str, n_running: int = 0, n_cached_tokens: int = 0, n_reported: int = 0
) -> ScoredCandidate:
    """Return a target that runs up to 10 requests, for a prompt of 4,000 tokens."""
    config = TargetConfig(
        model="assistant", site="brest", url="http://127.0.0.1", max_concurrent=10
    )
    return ScoredCandidate(
        candidate=Candidate(name=name, config=config),
        n_running=n_running,
        n_reported=n_reported,
        n_new_tokens=4_000 - n_cached_tokens,
        n_cached_tokens=n_cached_tokens,
        n_pending_tokens=0,
    )


class ChoiceTest(unittest.TestCase):
    """Test the selection by each policy."""

    def list_selected(
        self, candidates: list[ScoredCandidate], policy: RoutingPolicy
    ) -> set[str]:
        """Return the names of the targets selected over many seeds."""
        return {
            select_candidate(
                candidates, policy, seed, random.Random(seed)
            ).candidate.name
            for seed in range(50)
        }

    def test_cached_prefix_is_preferred_at_equal_load(self) -> None:
        candidates = [
            make_candidate("a", 2),
            make_candidate("b", 2, 3_000),
            make_candidate("c", 2),
        ]
        self.assertEqual(self.list_selected(candidates, RoutingPolicy.AFFINITY), {"b"})

    def test_cached_prefix_at_an_overloaded_target_is_ignored(self) -> None:
        candidates = [
            make_candidate("a"),
            make_candidate("b", 9, 3_900),
            make_candidate("c"),
        ]
        self.assertEqual(
            self.list_selected(candidates, RoutingPolicy.AFFINITY), {"a", "c"}
        )

    def test_baseline_policies(self) -> None:
        candidates = [
            make_candidate("a", n_reported=3),
            make_candidate("b", n_reported=1),
        ]
        policy = RoutingPolicy.LEAST_REPORTED_LOAD
        self.assertEqual(self.list_selected(candidates, policy), {"b"})
        self.assertEqual(
            self.list_selected(candidates, RoutingPolicy.ROUND_ROBIN), {"a", "b"}
        )


class PrefixMapTest(unittest.TestCase):
    """Test the map of cached prefixes."""

    def test_block_hashes_match_those_of_the_engines(self) -> None:
        contents = ("x" * 700, "a question")
        self.assertEqual(list(hash_blocks(contents)), hash_prefixes(contents))

    def test_only_leading_blocks_count_and_size_is_limited(self) -> None:
        prefix_map = PrefixMap(max_blocks=4)
        prefix_map.add_blocks("a", ("1", "2", "3"))
        prefix_map.add_blocks("b", ("1",))
        prefix_map.remove_block("a", "2")
        self.assertEqual(prefix_map.count_cached_blocks("a", ("1", "2", "3")), 1)
        prefix_map.add_blocks("c", ("4", "5", "6", "7"))
        self.assertEqual(prefix_map.count_cached_blocks("a", ("1",)), 0)
        self.assertEqual(prefix_map.count_cached_blocks("c", ("4", "5")), 2)
