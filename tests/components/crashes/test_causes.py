"""Test which requests and prompt parts explain crashes."""

import unittest
from collections.abc import Iterable

from trefoilstage.components.crashes.causes import (
    MIN_CRASHED_TARGETS,
    SAME_MOMENT_MS,
    Causes,
    find_causes,
)
from trefoilstage.components.crashes.models import Crash, make_crash

DEAD = frozenset({"dead"})
N_SOUND_COMPANIONS = 4


def crash(fingerprint: str, target: str, parts: str, at_ms: int = 0) -> Crash:
    """Return a crash under a request whose shared parts are named in a text."""
    return make_crash(fingerprint, target, parts=tuple(parts.split()), at_ms=at_ms)


def as_parts(crashes: Iterable[Crash]) -> dict[Crash, frozenset[str]]:
    """Return crashes with the parts that they were recorded with."""
    return {item: frozenset(item.parts) for item in crashes}


def find(*crashes: Crash) -> Causes:
    """Return the causes of crashes."""
    return find_causes(as_parts(crashes))


class PartTest(unittest.TestCase):
    """Test how a part that crashes targets is told from its companions."""

    def test_part_in_different_requests_is_blocked(self) -> None:
        """Guard against a part that crashes targets in ever new requests."""
        crashes = [crash(f"r-{item}", item, f"dead s{item}") for item in "xyz"]
        self.assertFalse(find(*crashes[: MIN_CRASHED_TARGETS - 1]).part_sets)
        causes = find(*crashes)
        self.assertEqual(causes.part_sets, {DEAD})
        self.assertFalse(causes.fingerprints)
        self.assertTrue(causes.includes("new", frozenset({"s0", "dead"})))
        self.assertFalse(causes.includes("new", frozenset({"sx", "sy"})))

    def test_part_is_found_wherever_it_stands(self) -> None:
        """Guard against parts that are recognized only at one place of a prompt."""
        for parts in ("dead a b", "a dead b", "a b dead"):
            with self.subTest(parts=parts):
                causes = find(
                    crash("r-1", "x", parts),
                    crash("r-2", "y", "dead c"),
                    crash("r-3", "z", "c dead"),
                )
                self.assertEqual(causes.part_sets, {DEAD})

    def test_companion_that_is_always_there_is_served_without_the_part(self) -> None:
        """Guard against refusing sound requests that share the cause's other part."""
        causes = find(*(crash(f"r-{item}", item, "all dead") for item in "xyz"))
        self.assertTrue(causes.includes("new", frozenset({"all", "dead", "more"})))
        self.assertFalse(causes.includes("new", frozenset({"all", "more"})))

    def test_crash_without_the_companion_shows_the_part_alone(self) -> None:
        """Guard against requests with the part that go on beside other companions."""
        crashes = [crash(f"r-{item}", item, "all dead") for item in "xyz"]
        causes = find(*crashes, crash("r-v", "v", "other dead"))
        self.assertEqual(causes.part_sets, {DEAD})
        self.assertFalse(causes.includes("new", frozenset({"all", "other"})))

    def test_interrupted_companions_do_not_hide_the_part(self) -> None:
        """Guard against a part that every request holds blocked in place of one."""
        crashes = []
        for target in "xyz":
            crashes.append(crash(f"dead-{target}", target, "all dead"))
            crashes += [
                crash(f"sound-{target}-{number}", target, f"all s{number}{target}")
                for number in range(N_SOUND_COMPANIONS)
            ]
        causes = find(*crashes)
        self.assertEqual(causes.part_sets, {frozenset({"all", "dead"})})
        self.assertFalse(causes.fingerprints)

    def test_two_parts_are_both_blocked(self) -> None:
        """Guard against a crashing part that conceals another."""
        causes = find(
            *(crash(f"a-{item}", item, "all dead") for item in "tuv"),
            *(crash(f"b-{item}", item, "all deadly") for item in "wxyz"),
        )
        for part in ("dead", "deadly"):
            self.assertTrue(causes.includes("new", frozenset({"all", part})), part)
        self.assertFalse(causes.includes("new", frozenset({"all"})))

    def test_part_stays_blocked_when_another_explains_a_crash(self) -> None:
        """Guard against a part that is served again as another crashed its target."""
        first = [crash(f"a-{item}", item, "dead") for item in "xyz"]
        both = [*first, *(crash(f"b-{item}", item, "deadly") for item in "zuvw")]
        self.assertEqual(find_causes(as_parts(both)).part_sets, {frozenset({"deadly"})})
        causes = find_causes(as_parts(both), find(*first))
        self.assertEqual(causes.part_sets, {DEAD, frozenset({"deadly"})})

    def test_wrongly_blocked_part_is_served_when_another_explains_all(self) -> None:
        """Guard against a harmless part that stays blocked beside the cause."""
        wrong = [crash(f"a-{item}", item, "harmless") for item in "xyz"]
        both = [*wrong, *(crash(f"b-{item}", item, "dead") for item in "wxyz")]
        causes = find_causes(as_parts(both), find(*wrong))
        self.assertEqual(causes.part_sets, {DEAD})

    def test_part_is_blocked_beside_companions_that_come_often(self) -> None:
        """Guard against a part that is blocked only beside its usual companions."""
        causes = find(
            *(crash(f"r-{item}", item, "often dead") for item in "wxyz"),
            crash("r-v", "v", "dead"),
        )
        self.assertEqual(causes.part_sets, {DEAD})

    def test_retried_request_is_blocked_without_its_part(self) -> None:
        """Guard against blocking a part for the repeats of one request."""
        causes = find(*(crash("again", item, "subject") for item in "xyz"))
        self.assertEqual(causes.fingerprints, {"again"})
        self.assertFalse(causes.part_sets)

    def test_request_interrupted_beside_the_part_is_not_blocked(self) -> None:
        """Guard against blocking a harmless request that met the part three times."""
        causes = find(
            *(crash(f"r-{item}", item, "dead") for item in "xyz"),
            *(crash("harmless", item, "subject") for item in "xyz"),
        )
        self.assertEqual(causes.part_sets, {DEAD})
        self.assertFalse(causes.fingerprints)

    def test_targets_that_crash_together_count_once(self) -> None:
        """Guard against blocking the popular part of a rack that loses its power."""
        together = [
            crash(f"r-{item}", item, "all", 1_000 + number)
            for number, item in enumerate("uvwxyz")
        ]
        self.assertFalse(find(*together).part_sets)
        apart = [
            crash(f"r-{item}", item, "all", 1_000 + number * 2 * SAME_MOMENT_MS)
            for number, item in enumerate("xyz")
        ]
        self.assertTrue(find(*apart).part_sets)

    def test_hosts_that_see_one_crash_count_once(self) -> None:
        """Guard against a target that counts as often as hosts lost requests there."""
        causes = find(
            *(
                crash(f"r-{host}", "x", "all", 1_000 * host)
                for host in range(1, 2 * MIN_CRASHED_TARGETS)
            )
        )
        self.assertFalse(causes.part_sets)


if __name__ == "__main__":
    unittest.main()
