"""Test the prediction of the targets' cached prompt parts."""

import unittest

from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.prompt_cache import PromptCache, PromptCaches


def make_prompt(*names: str, n_tokens: int = 1_000) -> tuple[PromptPart, ...]:
    """Return a prompt of parts with 1,000 tokens each by default."""
    return tuple(PromptPart(name=name, n_tokens=n_tokens) for name in names)


class PromptCacheTest(unittest.TestCase):
    """Test the cache of one target."""

    def setUp(self) -> None:
        """Create a cache for four parts."""
        self.cache = PromptCache(capacity_tokens=4_000)

    def test_leading_cached_parts_count(self) -> None:
        """Count the first two of three parts, none after a missing part."""
        self.cache.add(make_prompt("system", "dossier", "own-1"))
        self.assertEqual(
            self.cache.count_cached(make_prompt("system", "dossier", "own-2")), 2_000
        )
        self.assertEqual(self.cache.count_cached(make_prompt("other", "dossier")), 0)

    def test_least_recently_used_part_is_evicted_first(self) -> None:
        """Add five parts to a cache for four, one of them a second time."""
        for name in ("a", "b", "c", "d", "a", "e"):
            self.cache.add(make_prompt(name))
        cached = [
            name for name in "abcde" if self.cache.count_cached(make_prompt(name)) > 0
        ]
        self.assertEqual(cached, ["a", "c", "d", "e"])

    def test_prompt_above_the_capacity_is_evicted(self) -> None:
        """Add a part larger than the cache, then small ones."""
        self.cache.add(make_prompt("huge", n_tokens=9_000))
        for name in ("a", "b"):
            self.cache.add(make_prompt(name))
        self.assertEqual(self.cache.count_cached(make_prompt("b")), 1_000)
        self.assertLessEqual(self.cache.n_tokens, 4_000)

    def test_part_without_a_time_is_not_settled(self) -> None:
        """Add a part without a time, then with one: it may not be processed before.

        A part taken for processed too early would be fetched where it is missing.
        """
        prompt = make_prompt("a")
        self.cache.add(prompt)
        self.assertEqual(self.cache.count_settled(prompt, before=9.0), 0)
        self.cache.add(prompt, now=5.0)
        self.assertEqual(self.cache.count_settled(prompt, before=5.0), 0)
        self.assertEqual(self.cache.count_settled(prompt, before=9.0), 1_000)


class PromptCachesTest(unittest.TestCase):
    """Test the caches of all targets."""

    def test_restarted_target_has_an_empty_cache(self) -> None:
        """Remove a target's previous incarnation; the new one has nothing cached."""
        caches = PromptCaches()
        caches.add("i-1@1000", 10_000, make_prompt("a"))
        caches.keep_only({"i-1@2000"})
        self.assertEqual(caches.count_cached("i-1@1000", make_prompt("a")), 0)
        self.assertEqual(caches.count_cached("i-1@2000", make_prompt("a")), 0)


if __name__ == "__main__":
    unittest.main()
