"""Test which targets are chosen and what is stored about them."""

import unittest
from collections.abc import Sequence
from dataclasses import replace

from bench.emulator.limits import ANSWER_HEAD
from tests.components.forwarding.chooser_case import ChooserCase
from tests.components.forwarding.common import ASSISTANT, make_target
from trefoilstage.components.forwarding.answers import NotRun, OpenAnswer
from trefoilstage.components.forwarding.models import (
    Engine,
    FleetConfiguration,
    PromptPart,
    TargetEntry,
    TargetService,
)
from trefoilstage.components.forwarding.placement import CandidateInfo, PromptNeed
from trefoilstage.components.forwarding.work import Work
from trefoilstage.components.permits.messages import LimitReport


class TargetChooserTest(ChooserCase):
    """Test a chooser on a host without peers."""

    async def choose_for(self, prompt: Sequence[PromptPart]) -> str:
        """Return the incarnation chosen for a prompt."""
        need = PromptNeed(subject="dossier", n_tokens=60_000, objective_s=10.0)
        target = await self.chooser.choose(
            target_filter=ASSISTANT,
            excluded=set(),
            need=need,
            prompt=prompt,
            candidate_info=CandidateInfo(),
            request_id="r-1",
        )
        return target.incarnation if target else ""

    async def test_target_outside_the_allowed_regions_is_not_used(self) -> None:
        """Guard against requests that leave the regions of their route or workspace.

        The only target in an allowed region has failed; the others are not used
        instead. The region of the data centre unknown is unknown.
        """
        allowed = make_target("i-1", data_center="brest")
        for target in (
            allowed,
            make_target("i-2", data_center="lima"),
            make_target("i-3", data_center="unknown"),
        ):
            self.board.targets.apply_entry(target)
        self.settings.regions = {"brest": "west", "lima": "south"}
        west = frozenset({"west"})
        chosen = {await self.choose(allowed_regions=west) for _ in range(10)}
        self.assertEqual(chosen, {"i-1@0"})
        self.chooser.record_answer(
            allowed, NotRun(reason="timeout", timed_out=True), 0.0
        )
        self.assertEqual(await self.choose(allowed_regions=west), "i-1@0")
        self.assertEqual(await self.choose(allowed_regions=frozenset()), "")
        tried = {allowed.incarnation}
        self.assertFalse(
            self.chooser.has_other_target(
                replace(ASSISTANT, allowed_regions=west), tried
            )
        )

    def list_cold_target(self, *warm: TargetEntry) -> TargetEntry:
        """List a cold target of a service with a limit, and some warm ones."""
        service = TargetService(
            name="assistant", health_path="/", max_connections=1, cold_requests_per_s=11
        )
        self.board.configuration = FleetConfiguration(services={"assistant": service})
        cold = make_target("i-cold")
        for target in (cold, *warm):
            self.board.targets.apply_entry(target)
        self.board.targets.record_cold_time(replace(cold, cold_s=3.0), now=10.0)
        return cold

    async def test_cold_target_is_used_only_with_a_permit(self) -> None:
        """Guard against requests to a cold target that its home does not count."""
        cold = self.list_cold_target()
        self.assertEqual(await self.choose(), cold.incarnation)
        self.permits.request.assert_awaited_with(cold, is_cold=True)
        self.permits.request.return_value = False
        self.assertEqual(await self.choose(), "")
        text = self.chooser.explain_no_target(ASSISTANT)
        self.assertIn("of 1 targets", text)
        self.assertIn("1 are cold", text)

    async def test_warm_target_in_time_goes_before_a_cold_one(self) -> None:
        """Guard against permits spent, and calls made, although a warm target serves.

        Once it would be late there, a permitted cold target in time is used.
        """
        warm = make_target("i-warm")
        cold = self.list_cold_target(warm)
        prompt = (PromptPart(name="dossier", n_tokens=60_000),)
        self.assertEqual(await self.choose_for(prompt), warm.incarnation)
        self.permits.request.assert_not_awaited()
        busy = (PromptPart(name="other", n_tokens=900_000),)
        self.chooser.add_request(warm, busy, CandidateInfo())
        self.assertEqual(await self.choose_for(prompt), cold.incarnation)
        self.permits.request.return_value = False
        self.assertEqual(await self.choose_for(prompt), warm.incarnation)

    async def test_cold_target_without_a_limit_is_used_like_the_others(self) -> None:
        """Guard against limits that the operators did not set."""
        cold = self.list_cold_target()
        self.settings.cold_rate_factor = None
        self.assertEqual(await self.choose(), cold.incarnation)
        self.permits.request.assert_not_awaited()

    def name_limit(self, target: TargetEntry, limit_per_s: float | None) -> None:
        """Record an answer of a target that names a limit, or names none any more."""
        head = replace(ANSWER_HEAD, limit_per_s=limit_per_s)
        answer = OpenAnswer(head=head, headers=[])
        self.chooser.record_answer(target, answer, self.timer.time)
        self.timer.time += 0.001

    async def test_target_that_names_a_limit_is_used_only_with_a_permit(self) -> None:
        """Guard against requests to a target in need that its home does not count.

        Without a permit, the others get the request.
        """
        limited = make_target("i-1")
        self.board.targets.apply_entry(limited)
        self.name_limit(limited, 1.2)
        self.assertEqual(await self.choose(), limited.incarnation)
        self.permits.request.assert_awaited_with(limited, is_cold=False)
        self.permits.request.return_value = False
        self.assertEqual(await self.choose(), "")
        self.assertIn("1 name a limit", self.chooser.explain_no_target(ASSISTANT))
        self.board.targets.apply_entry(make_target("i-2"))
        self.assertEqual({await self.choose() for _ in range(10)}, {"i-2@0"})

    async def test_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """Guard against an answer on its way while a later one named a limit."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        self.timer.time += 1.0
        answer = OpenAnswer(head=ANSWER_HEAD, headers=[])
        self.chooser.record_answer(target, answer, self.timer.time - 2.0)
        self.assertEqual(self.limits.get_limit(target.incarnation), 1.2)
        self.chooser.record_answer(target, answer, self.timer.time - 0.5)
        self.assertIsNone(self.limits.get_limit(target.incarnation))

    async def test_refusal_does_not_end_a_limit(self) -> None:
        """Guard against a refusal, which may name no limit, that ends one."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        self.ask_for_rest(target, 0.1)
        self.assertEqual(self.limits.get_limit(target.incarnation), 1.2)

    async def test_failure_does_not_end_a_limit(self) -> None:
        """Guard against a target's failure, which may name no limit, that ends one."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        answer = OpenAnswer(head=replace(ANSWER_HEAD, status=500), headers=[])
        self.chooser.record_answer(target, answer, self.timer.time)
        self.assertEqual(self.limits.get_limit(target.incarnation), 1.2)

    async def test_target_whose_limit_has_ended_is_used_like_the_others(self) -> None:
        """Guard against a limit that outlasts the target's need."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        self.name_limit(target, None)
        self.assertEqual(await self.choose(), target.incarnation)
        self.permits.request.assert_not_awaited()

    async def test_granted_target_is_used_only_if_it_would_be_chosen(self) -> None:
        """Guard against a place that leads past what a target or caller asked for."""
        self.settings.regions = {"brest": "west"}
        granted = make_target("i-1")
        self.board.targets.apply_entry(granted)
        name = granted.incarnation
        find = self.chooser.find_free
        self.assertEqual(find(name, ASSISTANT, set()), granted)
        self.assertIsNone(find("i-1@5", ASSISTANT, set()))
        self.assertIsNone(find(name, ASSISTANT, {name}))
        self.assertIsNone(find(name, replace(ASSISTANT, version="v2"), set()))
        east = replace(ASSISTANT, allowed_regions=frozenset({"east"}))
        self.assertIsNone(find(name, east, set()))
        self.assertIsNone(find(name, replace(ASSISTANT, service="booking"), set()))
        self.name_limit(granted, 1.2)
        self.assertIsNone(find(name, ASSISTANT, set()))
        self.name_limit(granted, None)
        self.assertEqual(find(name, ASSISTANT, set()), granted)
        self.ask_for_rest(granted, 2.0)
        self.assertIsNone(find(name, ASSISTANT, set()))

    async def test_refused_target_is_not_asked_for_each_request(self) -> None:
        """Guard against a call to a home for each request while permits are used up."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        self.permits.get_wait_s.return_value = 0.7
        self.assertEqual(await self.choose(), "")
        self.permits.request.assert_not_awaited()
        self.assertEqual(self.chooser.compute_wait_s(ASSISTANT), 0.7)
        self.board.targets.apply_entry(make_target("i-2"))
        self.assertEqual(self.chooser.compute_wait_s(ASSISTANT), 0.0)

    async def test_pooled_slot_is_no_permit(self) -> None:
        """Guard against a brittle target whose own limit is passed over."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.name_limit(target, 1.2)
        self.slots.is_pooled.return_value = True
        self.permits.request.return_value = False
        self.assertEqual(await self.choose(), "")
        self.permits.request.return_value = True
        self.assertEqual(await self.choose(), target.incarnation)
        self.slots.take.return_value = False
        self.assertEqual(await self.choose(), "")

    async def test_stream_goes_on_only_at_its_version(self) -> None:
        """Guard against a broken stream that goes on at another version."""
        for name, version in (("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")):
            self.board.targets.apply_entry(make_target(name, version=version))
        chosen = {await self.choose(version="v1") for _ in range(10)}
        self.assertEqual(chosen, {"i-1@0"})
        self.assertEqual(await self.choose(version="v3"), "")
        bound = replace(ASSISTANT, version="v1")
        self.assertFalse(self.chooser.has_other_target(bound, {"i-1@0"}))
        text = self.chooser.explain_no_target(bound)
        self.assertIn("2 run another version than v1", text)

    def test_answer_proves_its_start_up_to_when_it_was_asked_for(self) -> None:
        """Guard against the answer of a start that ended meanwhile."""
        target = make_target("i-1", started_ms=5)
        self.board.targets.proofs.record_start(target, 1.0)
        answer = OpenAnswer(head=ANSWER_HEAD, headers=[], connected_at=1.0)
        self.chooser.record_answer(target, answer, 3.0)
        self.assertTrue(self.board.targets.is_start_proven(target, 3.0))
        self.assertFalse(self.board.targets.is_start_proven(target, 3.1))

    def ask_for_rest(self, target: TargetEntry, rest_s: float) -> None:
        """Record a refusal by a target that asks for rest."""
        head = replace(ANSWER_HEAD, status=503, not_run=True, rest_s=rest_s)
        answer = NotRun(reason="status 503", head=head, busy=True)
        self.chooser.record_answer(target, answer, self.timer.time)

    async def test_resting_target_is_not_used(self) -> None:
        """Guard against a target that is used in its rest as no other is left.

        Callers are told when the rest ends, and no request waits for it.
        """
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.ask_for_rest(target, 3.0)
        self.timer.time += 2.0
        self.assertEqual(await self.choose(), "")
        self.assertEqual(self.chooser.compute_wait_s(ASSISTANT), 1.0)
        self.assertFalse(self.chooser.has_other_target(ASSISTANT, set()))
        text = self.chooser.explain_no_target(ASSISTANT)
        self.assertIn("1 asked for rest", text)
        self.timer.time += 1.0
        self.assertEqual(await self.choose(), target.incarnation)

    async def test_later_answers_do_not_shorten_a_rest(self) -> None:
        """Guard against answers to requests that were under way when a rest began."""
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        self.ask_for_rest(target, 3.0)
        self.ask_for_rest(target, 0.5)
        self.chooser.record_answer(target, NotRun(reason="full", busy=True), 0.0)
        self.name_limit(target, None)
        self.timer.time += 2.9
        self.assertEqual(await self.choose(), "")

    async def test_restart_ends_a_rest(self) -> None:
        """Guard against a new start that is avoided for what the last one asked."""
        target = make_target("i-1", started_ms=1)
        self.board.targets.apply_entry(target)
        self.ask_for_rest(target, 60.0)
        self.board.targets.apply_entry(make_target("i-1", started_ms=2))
        self.assertEqual(await self.choose(), "i-1@2")

    async def test_target_that_refused_a_peer_is_used_with_a_permit(self) -> None:
        """Guard against hosts that each find out that a target turns requests away.

        If no other target is left, each host may try it once between two rests.
        """
        target = make_target("i-1")
        self.board.targets.apply_entry(target)
        report = LimitReport(
            target=target.incarnation, limit_per_s=None, age_s=0.1, refuses=True
        )
        self.limits.receive_reports([report])
        self.permits.request.return_value = False
        self.permits.get_wait_s.return_value = 0.5
        self.assertEqual(await self.choose(), target.incarnation)
        self.board.targets.apply_entry(make_target("i-2"))
        self.assertEqual({await self.choose() for _ in range(10)}, {"i-2@0"})
        self.name_limit(target, None)
        self.assertIn("i-1@0", {await self.choose() for _ in range(10)})

    async def test_target_that_said_it_leaves_is_not_used(self) -> None:
        """Guard against an entry, still ready, that brings a leaving target back."""
        target = make_target("i-1", started_ms=1)
        self.board.targets.apply_entry(target)
        head = replace(ANSWER_HEAD, leaving=True)
        answer = OpenAnswer(head=head, headers=[])
        self.chooser.record_answer(target, answer, 0.0)
        self.board.targets.apply_entry(target)
        self.assertEqual(await self.choose(), "")
        self.board.targets.apply_entry(make_target("i-1", started_ms=2))
        self.assertEqual(await self.choose(), "i-1@2")

    async def test_misdirected_answer_names_no_limit(self) -> None:
        """Guard against a limit of the target that took over an address."""
        target = make_target("i-1")
        head = replace(ANSWER_HEAD, limit_per_s=1.0, not_run=True, misdirected=True)
        answer = NotRun(reason="status 421", head=head, misdirected=True)
        self.chooser.record_answer(target, answer, 0.0)
        self.assertIsNone(self.limits.get_limit(target.incarnation))

    async def test_restart_clears_an_ejection(self) -> None:
        """Eject a target, then restart it under the same name."""
        old = make_target("i-1", started_ms=1)
        self.board.targets.apply_entry(old)
        self.board.targets.apply_entry(make_target("i-2", started_ms=1))
        self.chooser.record_answer(old, NotRun(reason="timeout", timed_out=True), 0.0)
        self.assertEqual(await self.choose(), "i-2@1")
        busy = make_target("i-2", started_ms=1)
        self.chooser.add_request(busy, (), CandidateInfo())
        self.board.targets.apply_entry(make_target("i-1", started_ms=2))
        self.assertEqual(await self.choose(), "i-1@2")

    async def test_target_restarted_with_its_clock_set_back_is_used(self) -> None:
        """Restart a target at a new address, with its clock set back.

        Its new entry has an earlier start time and would never be used. The first
        request finds no target at the old address, and the next one uses the new entry.
        """
        old = make_target("i-1", started_ms=5_000)
        self.board.targets.apply_entry(old)
        self.board.targets.apply_entry(
            make_target("i-1", started_ms=3_000, address="127.0.0.1:2")
        )
        self.assertEqual(await self.choose(), "i-1@5000")
        self.chooser.record_answer(old, NotRun(reason="refused", unreachable=True), 0.0)
        self.assertEqual(await self.choose(), "i-1@3000")

    async def test_health_of_ended_targets_is_removed(self) -> None:
        """Restart a target a hundred times; health records do not accumulate."""
        for number in range(100):
            target = make_target("i-1", started_ms=number)
            self.board.targets.apply_entry(target)
            self.chooser.add_request(target, (), CandidateInfo())
        self.assertLessEqual(len(self.chooser._outcomes._healths), 2)

    async def test_tokens_cached_by_a_peers_prompt_are_not_counted_as_work(
        self,
    ) -> None:
        """Guard against counting cached tokens as pending prefill."""
        target = make_target("i-1")
        prompt = (
            PromptPart(name="dossier", n_tokens=13_000),
            PromptPart(name="own", n_tokens=4_000),
        )
        candidate_info = CandidateInfo(cached_tokens={target.incarnation: 13_000})
        sent = self.chooser.add_request(target, prompt, candidate_info)
        self.assertEqual(sent.n_uncached_tokens, 4_000)
        work = self.workload.get_work(target.incarnation)
        self.assertEqual(work.prompt_tokens, 4_000)

    async def test_kv_cache_counts_until_the_request_ends(self) -> None:
        """Guard against KV cache that counts as free too early or never."""
        target = make_target("i-1")
        prompt = (PromptPart(name="own", n_tokens=17_000),)
        sent = self.chooser.add_request(target, prompt, CandidateInfo())
        self.chooser.record_first_token(target, sent)
        work = self.workload.get_work(target.incarnation)
        self.assertEqual(work, Work(n_requests=1, held_tokens=17_000))
        self.chooser.remove_request(target, prompt)
        self.assertEqual(self.workload.get_work(target.incarnation), Work())

    async def test_target_with_full_kv_cache_is_avoided(self) -> None:
        """Guard against a choice that ignores the configured KV cache size."""
        engine = Engine(slots=64, kv_tokens=100_000, tokens_per_event=5)
        service = TargetService(
            name="assistant", health_path="/", max_connections=10, engine=engine
        )
        self.board.configuration = FleetConfiguration(services={"assistant": service})
        targets = [make_target("i-1"), make_target("i-2")]
        for target in targets:
            self.board.targets.apply_entry(target)
        prompt = (PromptPart(name="dossier", n_tokens=60_000),)
        for target in targets:
            sent = self.chooser.add_request(target, prompt, CandidateInfo())
            self.chooser.record_first_token(target, sent)
            self.assertNotEqual(await self.choose_for(prompt), target.incarnation)
            self.chooser.remove_request(target, prompt)


if __name__ == "__main__":
    unittest.main()
