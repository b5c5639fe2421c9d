"""Test the choice between a cached prefix and a lower load."""

import random
import unittest

from standins.engine_cache import hash_prefixes
from trefoilstage.components.routing.choice import (
    Candidate,
    Option,
    RoutingPolicy,
    pick_option,
)
from trefoilstage.components.routing.prefix import PrefixMap, hash_blocks
from trefoilstage.configuration.schema import TargetConfig


def make_option(name: str, load: int = 0, cached: int = 0, reported: int = 0) -> Option:
    """Return an option for a prompt of 4,000 tokens at a target with room for 10."""
    config = TargetConfig(
        model="assistant", site="brest", url="http://127.0.0.1", max_concurrent=10
    )
    return Option(
        candidate=Candidate(name=name, config=config),
        load=load,
        reported=reported,
        n_new_tokens=4_000 - cached,
        n_cached_tokens=cached,
        pending_prompt=0,
    )


class ChoiceTest(unittest.TestCase):
    """Pick options by each policy."""

    def pick(self, options: list[Option], policy: RoutingPolicy) -> set[str]:
        """Return the names picked over many seeds."""
        return {
            pick_option(options, policy, seed, random.Random(seed)).candidate.name
            for seed in range(50)
        }

    def test_a_cached_prefix_wins_over_equal_load(self) -> None:
        options = [make_option("a", 2), make_option("b", 2, 3_000), make_option("c", 2)]
        self.assertEqual(self.pick(options, RoutingPolicy.AFFINITY), {"b"})

    def test_a_target_far_above_the_others_gets_no_more_of_its_prefix(self) -> None:
        options = [make_option("a"), make_option("b", 9, 3_900), make_option("c")]
        self.assertEqual(self.pick(options, RoutingPolicy.AFFINITY), {"a", "c"})

    def test_baselines(self) -> None:
        options = [make_option("a", reported=3), make_option("b", reported=1)]
        reported = RoutingPolicy.LEAST_REPORTED_LOAD
        self.assertEqual(self.pick(options, reported), {"b"})
        self.assertEqual(self.pick(options, RoutingPolicy.ROUND_ROBIN), {"a", "b"})


class PrefixMapTest(unittest.TestCase):
    """Follow what targets cached."""

    def test_blocks_are_those_that_engines_name(self) -> None:
        contents = ("x" * 700, "a question")
        self.assertEqual(list(hash_blocks(contents)), hash_prefixes(contents))

    def test_only_leading_blocks_count_and_the_map_is_bounded(self) -> None:
        prefixes = PrefixMap(limit=4)
        prefixes.add("a", ("1", "2", "3"))
        prefixes.add("b", ("1",))
        prefixes.remove("a", "2")
        self.assertEqual(prefixes.count_cached("a", ("1", "2", "3")), 1)
        prefixes.add("c", ("4", "5", "6", "7"))
        self.assertEqual(prefixes.count_cached("a", ("1",)), 0)
        self.assertEqual(prefixes.count_cached("c", ("4", "5")), 2)
