"""Test where prompts go."""

import unittest
from collections import Counter
from collections.abc import Mapping

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import (
    PromptNeed,
    TargetOption,
    choose_by_load,
    choose_by_prompt,
    find_subject,
    rank_candidates,
)
from trefoilstage.components.forwarding.work import Work

IDLE = Work()
TARGETS = [make_target(f"engine-{number}") for number in range(9)]
N_SHARED = 5_000
KV_TOKENS = 400_000


def place(
    subject: str = "dossier",
    *,
    work: Mapping[str, Work] | None = None,
    keepers: tuple[str, ...] = (),
    n_tokens: int = 12_000,
    objective_s: float = 0.8,
    targets: list[TargetEntry] = TARGETS,
) -> str:
    """Return where a prompt goes of which 5,000 tokens are kept by some targets."""
    options = [
        TargetOption(
            target=target,
            work=(work or {}).get(target.name, IDLE),
            n_cached_tokens=N_SHARED if target.name in keepers else 0,
            kv_tokens=KV_TOKENS,
        )
        for target in rank_candidates(targets, subject)
    ]
    need = PromptNeed(subject=subject, n_tokens=n_tokens, objective_s=objective_s)
    return choose_by_prompt(options, need).name


class PromptPlacementTest(unittest.TestCase):
    """Test the choice of a target for prompts with shared parts."""

    def test_new_subject_goes_to_the_same_target_from_each_host(self) -> None:
        """Place a subject that nobody keeps, with the targets listed in any order.

        Two hosts that get its first two requests at once then read it once only.
        """
        self.assertEqual(place(), place(targets=TARGETS[::-1]))

    def test_subjects_spread_over_the_targets(self) -> None:
        """Place 900 subjects on nine idle targets; none gets twice its share."""
        counts = Counter(place(f"dossier-{number}") for number in range(900))
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()), 200)

    def test_new_subject_goes_where_least_waits(self) -> None:
        """Let all targets but one read a short prompt; the free one is taken.

        Sent to a home that its name alone chose, half of all long prompts waited
        behind others while targets stood idle.
        """
        busy = {target.name: Work(prompt_tokens=3_000) for target in TARGETS[:-1]}
        self.assertEqual(place(work=busy), TARGETS[-1].name)

    def test_subject_keeps_its_target(self) -> None:
        """Place a subject that one target keeps, beside idle ones."""
        for target in TARGETS:
            self.assertEqual(place(keepers=(target.name,)), target.name)

    def test_busy_keeper_is_left_for_the_soonest(self) -> None:
        """Let the keeper read 60,000 tokens first, a second of its time.

        The caller's objective is 0.8 s, so the prompt goes where it is read at
        once, although its shared part has to be read again there.
        """
        work = {"engine-3": Work(n_requests=1, prompt_tokens=60_000)}
        self.assertNotEqual(place(work=work, keepers=("engine-3",)), "engine-3")

    def test_short_wait_at_the_keeper_is_taken(self) -> None:
        """Let the keeper read 12,000 tokens first; the prompt is in time there."""
        work = {"engine-3": Work(n_requests=3, prompt_tokens=12_000)}
        self.assertEqual(place(work=work, keepers=("engine-3",)), "engine-3")

    def test_prompt_that_is_late_anywhere_keeps_its_target(self) -> None:
        """Place a prompt that no target reads in time; it need not wander."""
        found = place(keepers=("engine-3",), n_tokens=60_000)
        self.assertEqual(found, "engine-3")

    def test_keeper_without_a_free_slot_is_left(self) -> None:
        """Guard against prompts that queue for a slot while other targets idle."""
        work = {"engine-3": Work(n_requests=TARGETS[3].slots)}
        self.assertNotEqual(place(work=work, keepers=("engine-3",)), "engine-3")

    def test_keeper_whose_memory_is_taken_is_left(self) -> None:
        """Guard against prompts that push each other out of one target's memory."""
        work = {"engine-3": Work(n_requests=32, held_tokens=380_000)}
        self.assertNotEqual(place(work=work, keepers=("engine-3",)), "engine-3")

    def test_prompt_that_finds_all_targets_full_keeps_its_target(self) -> None:
        """Fill all targets; reading the subject once more would not help."""
        work = {target.name: Work(held_tokens=KV_TOKENS) for target in TARGETS}
        self.assertEqual(place(work=work, keepers=("engine-3",)), "engine-3")

    def test_late_prompt_goes_where_there_is_room(self) -> None:
        """Guard against a subject of 60,000 tokens that all wait for at one target."""
        work = {"engine-3": Work(n_requests=6, held_tokens=360_000)}
        found = place(work=work, keepers=("engine-3",), n_tokens=60_000)
        self.assertNotEqual(found, "engine-3")

    def test_second_keeper_takes_over(self) -> None:
        """Let two targets keep a subject, the first of them being busy."""
        work = {"engine-3": Work(prompt_tokens=20_000)}
        found = place(work=work, keepers=("engine-3", "engine-5"))
        self.assertEqual(found, "engine-5")

    def test_all_hosts_rank_the_targets_for_a_subject_alike(self) -> None:
        first = rank_candidates(TARGETS, "dossier")
        again = rank_candidates(TARGETS[::-1], "dossier")
        self.assertEqual(first, again)

    def test_subject_is_the_last_shared_part(self) -> None:
        """Leave out the last part, which belongs to the request itself."""
        parts = [
            PromptPart(name="system", n_tokens=500),
            PromptPart(name="dossier", n_tokens=4_500),
            PromptPart(name="own", n_tokens=7_000),
        ]
        self.assertEqual(find_subject(parts), "dossier")
        self.assertEqual(find_subject(parts[2:]), "own")
        self.assertEqual(find_subject([]), "")


class LoadPlacementTest(unittest.TestCase):
    """Test the choice of a target for plain calls."""

    def test_least_loaded_goes_first_then_the_near(self) -> None:
        """Prefer fewer requests to a short way, and a short way among equals."""
        far = make_target("far", data_center="quimper")
        near = make_target("near")
        options = [
            TargetOption(target=far, work=IDLE),
            TargetOption(target=near, work=IDLE),
        ]
        self.assertEqual(choose_by_load(options, "brest", "r").name, "near")
        options[1] = TargetOption(target=near, work=Work(n_requests=1))
        self.assertEqual(choose_by_load(options, "brest", "r").name, "far")
