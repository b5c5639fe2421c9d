"""Test what targets are believed to have in memory."""

import unittest

from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.prompt_cache import PromptCache, PromptCaches


def make_prompt(*names: str, n_tokens: int = 1_000) -> tuple[PromptPart, ...]:
    """Return a prompt of parts of 1,000 tokens."""
    return tuple(PromptPart(name=name, n_tokens=n_tokens) for name in names)


class PromptCacheTest(unittest.TestCase):
    """Test the memory of one target."""

    def setUp(self) -> None:
        """Have room for four parts."""
        self.cache = PromptCache(capacity_tokens=4_000)

    def test_leading_parts_count_as_far_as_they_are_kept(self) -> None:
        """Keep the first two parts of three; a part behind a gap is read again."""
        self.cache.add(make_prompt("system", "dossier", "own-1"))
        self.assertEqual(
            self.cache.count_cached(make_prompt("system", "dossier", "own-2")), 2_000
        )
        self.assertEqual(self.cache.count_cached(make_prompt("other", "dossier")), 0)

    def test_least_recently_used_part_goes_first(self) -> None:
        """Read five parts with room for four, one of them again in between."""
        for name in ("a", "b", "c", "d", "a", "e"):
            self.cache.add(make_prompt(name))
        kept = [
            name for name in "abcde" if self.cache.count_cached(make_prompt(name)) > 0
        ]
        self.assertEqual(kept, ["a", "c", "d", "e"])

    def test_prompt_above_the_room_leaves_no_debt(self) -> None:
        """Read a part larger than the memory, then small ones."""
        self.cache.add(make_prompt("huge", n_tokens=9_000))
        for name in ("a", "b"):
            self.cache.add(make_prompt(name))
        self.assertEqual(self.cache.count_cached(make_prompt("b")), 1_000)
        self.assertLessEqual(self.cache.n_tokens, 4_000)


class PromptCachesTest(unittest.TestCase):
    """Test the memory of all targets."""

    def test_restarted_target_keeps_nothing(self) -> None:
        """Forget a target's former incarnation; the new one has read nothing."""
        caches = PromptCaches()
        caches.add("i-1@1000", 10_000, make_prompt("a"))
        caches.keep_only({"i-1@2000"})
        self.assertEqual(caches.count_cached("i-1@1000", make_prompt("a")), 0)
        self.assertEqual(caches.count_cached("i-1@2000", make_prompt("a")), 0)


if __name__ == "__main__":
    unittest.main()
