"""Test the choice of targets."""

import unittest
from collections import Counter
from collections.abc import Mapping

from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.models import PromptPart, TargetEntry
from trefoilstage.components.forwarding.placement import (
    PromptNeed,
    TargetOption,
    find_subject,
    rank_by_load,
    rank_by_prompt,
    rank_candidates,
)
from trefoilstage.components.forwarding.work import Work

IDLE = Work()
TARGETS = [make_target(f"engine-{number}") for number in range(9)]
N_SHARED = 5_000
KV_TOKENS = 400_000
COLD_REQUESTS_PER_S = 11.0


def place(
    subject: str = "dossier",
    *,
    work: Mapping[str, Work] | None = None,
    caching_targets: tuple[str, ...] = (),
    n_tokens: int = 12_000,
    objective_s: float = 0.8,
    targets: list[TargetEntry] = TARGETS,
    n_recent: Mapping[str, int] | None = None,
) -> str:
    """Return the target of a prompt of which some targets cache 5,000 tokens."""
    options = [
        TargetOption(
            target=target,
            work=(work or {}).get(target.name, IDLE),
            n_cached_tokens=N_SHARED if target.name in caching_targets else 0,
            kv_tokens=KV_TOKENS,
            n_recent=(n_recent or {}).get(target.name, 0),
            cold_requests_per_s=COLD_REQUESTS_PER_S,
        )
        for target in rank_candidates(targets, subject)
    ]
    need = PromptNeed(subject=subject, n_tokens=n_tokens, objective_s=objective_s)
    return rank_by_prompt(options, need)[0].target.name


class PromptPlacementTest(unittest.TestCase):
    """Test the choice of a target for prompts with shared parts."""

    def test_new_subject_goes_to_the_same_target_from_each_host(self) -> None:
        """Place an uncached subject, with the targets in a different order.

        If two hosts get the first two requests at the same time, the subject is
        processed on only one target.
        """
        self.assertEqual(place(), place(targets=TARGETS[::-1]))

    def test_subjects_spread_over_the_targets(self) -> None:
        """Place 900 subjects on nine idle targets; no target gets twice its share."""
        counts = Counter(place(f"dossier-{number}") for number in range(900))
        self.assertEqual(len(counts), 9)
        self.assertLess(max(counts.values()), 200)

    def test_new_subject_goes_to_the_shortest_queue(self) -> None:
        """Let all targets except one process a short prompt; the idle one is chosen.

        When only the name of the subject decided, half of all long prompts waited
        behind others while other targets were idle.
        """
        busy = {target.name: Work(prompt_tokens=3_000) for target in TARGETS[:-1]}
        self.assertEqual(place(work=busy), TARGETS[-1].name)

    def test_cached_subject_stays_at_its_target(self) -> None:
        """Place a subject that only one target has cached, with all targets idle."""
        for target in TARGETS:
            self.assertEqual(place(caching_targets=(target.name,)), target.name)

    def test_busy_caching_target_is_avoided(self) -> None:
        """Let the caching target have 60,000 tokens queued, one second of prefill.

        The caller's objective is 0.8 s. The prompt goes to an idle target, although
        its shared part has to be processed again there.
        """
        work = {"engine-3": Work(n_requests=1, prompt_tokens=60_000)}
        self.assertNotEqual(place(work=work, caching_targets=("engine-3",)), "engine-3")

    def test_short_queue_at_the_caching_target_is_accepted(self) -> None:
        """Let the caching target have 12,000 tokens queued; the prompt is in time."""
        work = {"engine-3": Work(n_requests=3, prompt_tokens=12_000)}
        self.assertEqual(place(work=work, caching_targets=("engine-3",)), "engine-3")

    def test_caching_target_above_its_cold_rate_is_avoided(self) -> None:
        """Guard against a rate that the target would not tolerate if it turned cold."""
        for n_recent, is_chosen in ((10, True), (11, False)):
            chosen = place(
                caching_targets=("engine-3",), n_recent={"engine-3": n_recent}
            )
            self.assertEqual(chosen == "engine-3", is_chosen)
        all_recent = dict.fromkeys((target.name for target in TARGETS), 11)
        chosen = place(caching_targets=("engine-3",), n_recent=all_recent)
        self.assertEqual(chosen, "engine-3")

    def test_prompt_that_is_late_everywhere_stays_at_its_target(self) -> None:
        """Place a prompt that is late at all targets; the cached subject decides."""
        chosen = place(caching_targets=("engine-3",), n_tokens=60_000)
        self.assertEqual(chosen, "engine-3")

    def test_caching_target_without_a_free_slot_is_avoided(self) -> None:
        """Guard against prompts that wait for a slot while other targets are idle."""
        work = {"engine-3": Work(n_requests=TARGETS[3].slots)}
        self.assertNotEqual(place(work=work, caching_targets=("engine-3",)), "engine-3")

    def test_caching_target_with_full_kv_cache_is_avoided(self) -> None:
        """Guard against prompts that evict each other from one KV cache."""
        work = {"engine-3": Work(n_requests=32, held_tokens=380_000)}
        self.assertNotEqual(place(work=work, caching_targets=("engine-3",)), "engine-3")

    def test_prompt_stays_at_its_target_if_all_are_full(self) -> None:
        """Fill all targets; processing the subject again elsewhere would not help."""
        work = {target.name: Work(held_tokens=KV_TOKENS) for target in TARGETS}
        self.assertEqual(place(work=work, caching_targets=("engine-3",)), "engine-3")

    def test_late_prompt_goes_to_a_target_with_room(self) -> None:
        """Guard against requests for 60,000 tokens that all wait at one target."""
        work = {"engine-3": Work(n_requests=6, held_tokens=360_000)}
        chosen = place(work=work, caching_targets=("engine-3",), n_tokens=60_000)
        self.assertNotEqual(chosen, "engine-3")

    def test_second_caching_target_takes_over(self) -> None:
        """Let two targets have a subject cached, of which the first is busy."""
        work = {"engine-3": Work(prompt_tokens=20_000)}
        chosen = place(work=work, caching_targets=("engine-3", "engine-5"))
        self.assertEqual(chosen, "engine-5")

    def test_all_hosts_rank_targets_in_the_same_order(self) -> None:
        ranked = rank_candidates(TARGETS, "dossier")
        ranked_again = rank_candidates(TARGETS[::-1], "dossier")
        self.assertEqual(ranked, ranked_again)

    def test_subject_is_the_last_shared_part(self) -> None:
        """Skip the last part, which is specific to the request."""
        parts = [
            PromptPart(name="system", n_tokens=500),
            PromptPart(name="dossier", n_tokens=4_500),
            PromptPart(name="own", n_tokens=7_000),
        ]
        self.assertEqual(find_subject(parts), "dossier")
        self.assertEqual(find_subject(parts[2:]), "own")
        self.assertEqual(find_subject([]), "")


class LoadPlacementTest(unittest.TestCase):
    """Test the choice of a target for requests without a prompt."""

    def test_least_loaded_target_is_preferred_then_the_nearest(self) -> None:
        """Prefer fewer requests, then a target in this data center."""
        far = make_target("far", data_center="quimper")
        near = make_target("near")
        options = [
            TargetOption(target=far, work=IDLE),
            TargetOption(target=near, work=IDLE),
        ]
        self.assertEqual(rank_by_load(options, "brest", "r")[0].target.name, "near")
        options[1] = TargetOption(target=near, work=Work(n_requests=1))
        self.assertEqual(rank_by_load(options, "brest", "r")[0].target.name, "far")
