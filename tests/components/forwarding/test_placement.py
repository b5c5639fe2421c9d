"""Test where prompts go."""

import unittest
from collections import Counter

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.placement import (
    Option,
    PromptNeed,
    Work,
    choose_by_load,
    choose_by_prompt,
    find_subject,
)

IDLE = Work()
TARGETS = [make_target(f"engine-{number}") for number in range(9)]


def make_need(subject: str, *, n_tokens: int = 12_000) -> PromptNeed:
    """Return the need of a prompt that shares 5,000 tokens."""
    return PromptNeed(
        subject=subject, n_shared_tokens=5_000, n_tokens=n_tokens, objective_s=0.8
    )


def make_options(work: dict[str, Work] | None = None) -> list[Option]:
    """Return the targets with the work under way at some."""
    known = work or {}
    return [Option(target=item, work=known.get(item.name, IDLE)) for item in TARGETS]


class PromptPlacementTest(unittest.TestCase):
    """Test the choice of a target for prompts with shared parts."""

    def test_subject_keeps_its_target(self) -> None:
        """Place one subject again and again, in any order of the targets."""
        options = make_options()
        chosen = {choose_by_prompt(options, make_need("dossier")).name}
        chosen.add(choose_by_prompt(options[::-1], make_need("dossier")).name)
        self.assertEqual(len(chosen), 1)

    def test_subjects_spread_over_the_targets(self) -> None:
        """Place 900 subjects on nine idle targets; none gets twice its share."""
        options = make_options()
        counts = Counter(
            choose_by_prompt(options, make_need(f"dossier-{number}")).name
            for number in range(900)
        )
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()), 200)

    def test_busy_home_is_left_for_the_soonest(self) -> None:
        """Let the home read 60,000 tokens first, a second of its time.

        The caller's objective is 0.8 s, so the prompt goes where it is read at
        once, although its shared part has to be read again there.
        """
        home = choose_by_prompt(make_options(), make_need("dossier")).name
        busy = make_options({home: Work(n_requests=1, prompt_tokens=60_000)})
        self.assertNotEqual(choose_by_prompt(busy, make_need("dossier")).name, home)

    def test_short_wait_at_home_is_taken(self) -> None:
        """Keep the home while the prompt is still in time there."""
        home = choose_by_prompt(make_options(), make_need("dossier")).name
        busy = make_options({home: Work(n_requests=3, prompt_tokens=12_000)})
        self.assertEqual(choose_by_prompt(busy, make_need("dossier")).name, home)

    def test_prompt_too_long_for_its_objective_keeps_its_home(self) -> None:
        """Place a prompt that no target reads in time; it need not wander."""
        need = make_need("dossier", n_tokens=60_000)
        home = choose_by_prompt(make_options(), make_need("dossier")).name
        self.assertEqual(choose_by_prompt(make_options(), need).name, home)

    def test_subject_is_the_last_shared_part(self) -> None:
        """Leave out the last part, which belongs to the request itself."""
        parts = [
            PromptPart(name="system", n_tokens=500),
            PromptPart(name="dossier", n_tokens=4_500),
            PromptPart(name="own", n_tokens=7_000),
        ]
        self.assertEqual(find_subject(parts), ("dossier", 5_000))
        self.assertEqual(find_subject(parts[2:]), ("own", 7_000))
        self.assertEqual(find_subject([]), ("", 0))


class LoadPlacementTest(unittest.TestCase):
    """Test the choice of a target for plain calls."""

    def test_least_loaded_goes_first_then_the_near(self) -> None:
        """Prefer fewer requests to a short way, and a short way among equals."""
        far = make_target("far", data_center="quimper")
        near = make_target("near")
        options = [Option(target=far, work=IDLE), Option(target=near, work=IDLE)]
        self.assertEqual(choose_by_load(options, "brest", "r").name, "near")
        options[1] = Option(target=near, work=Work(n_requests=1))
        self.assertEqual(choose_by_load(options, "brest", "r").name, "far")
