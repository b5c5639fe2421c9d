"""Test which fetches a host plans by what it knows of the targets."""

import itertools
import unittest
from collections.abc import Sequence
from dataclasses import replace
from unittest import mock

import cbor2

from bench.emulator.limits import ANSWER_HEAD
from tests.components.forwarding.chooser_case import ChooserCase
from tests.components.forwarding.common import ASSISTANT, REQUEST, make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.answers import (
    InvalidAnswer,
    NotRun,
    OpenAnswer,
    SendOutcome,
)
from trefoilstage.components.forwarding.models import (
    Engine,
    FleetConfiguration,
    PromptPart,
    TargetEntry,
    TargetService,
)
from trefoilstage.components.forwarding.placement import (
    CandidateInfo,
    PromptNeed,
    rank_candidates,
)
from trefoilstage.components.forwarding.prefix_fetch import PrefixFetch
from trefoilstage.components.forwarding.sent_requests import SentPrompt
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.components.peer_sends.messages import SendToTarget
from trefoilstage.components.peers.frames import Frame
from trefoilstage.platform.headers import HeaderTranslator

SHARED = PromptPart(name="dossier", n_tokens=13_000)
PROMPT = (SHARED, PromptPart(name="own", n_tokens=2_000))
NEED = PromptNeed(subject="dossier", n_tokens=15_000, objective_s=1.0, may_fetch=True)
BYTES_PER_S = 740_000 * 125_000.0
SETTLED_S = 1.1
FAILED = InvalidAnswer(reason="reset")


class FetchCase(ChooserCase):
    """Choose targets of a service whose engines fetch KV cache."""

    def configure(self, kv_bytes: float = 18_432.0, per_s: float = BYTES_PER_S) -> None:
        """Put a configuration in force with the cost of transfers."""
        engine = Engine(
            slots=64,
            kv_tokens=400_000,
            tokens_per_event=5,
            kv_bytes_per_token=kv_bytes,
            transfer_bytes_per_s=per_s,
        )
        service = TargetService(
            name="assistant",
            health_path="/",
            max_connections=10,
            engine=engine,
            cold_requests_per_s=11.0,
        )
        self.board.configuration = FleetConfiguration(services={"assistant": service})

    def add_target(self, name: str, started_ms: int = 1) -> TargetEntry:
        """List a ready target."""
        address = f"127.0.0.1:{name.rpartition('-')[2]}"
        target = make_target(name, started_ms=started_ms, address=address)
        self.board.targets.apply_entry(target)
        return target

    def send(
        self, target: TargetEntry, prompt: Sequence[PromptPart] = PROMPT
    ) -> SentPrompt:
        """Send a prompt, with a fetch if one is planned."""
        fetch = self.plan(target)
        return self.chooser.add_request(target, prompt, CandidateInfo(), fetch)

    def settle(self, target: TargetEntry) -> None:
        """Let a target process the prompt."""
        sent = self.send(target)
        self.timer.time += SETTLED_S
        self.chooser.record_first_token(target, sent)
        self.chooser.remove_request(target, PROMPT)

    def plan(
        self, target: TargetEntry, need: PromptNeed | None = NEED
    ) -> PrefixFetch | None:
        """Return the fetch with which a prompt is sent to a target."""
        return self.chooser.plan_fetch(
            target,
            target_filter=ASSISTANT,
            excluded=set(),
            need=need,
            prompt=PROMPT,
            candidate_info=CandidateInfo(),
        )

    async def choose_for_prompt(self, need: PromptNeed = NEED) -> TargetEntry:
        """Return the target chosen for the prompt."""
        target = await self.chooser.choose(
            target_filter=ASSISTANT,
            excluded=set(),
            need=need,
            prompt=PROMPT,
            candidate_info=CandidateInfo(),
            request_id="r-1",
        )
        assert target is not None
        return target


class PartTimesTest(FetchCase):
    """Test for which targets a host keeps the times at which parts were sent."""

    def count_times(self) -> int:
        """Send a prompt to a target; return how many of its parts have a time."""
        target = self.add_target("i-1")
        self.send(target)
        return len(self.workload._caches.caches[target.incarnation].added_at)

    def test_times_are_kept_for_targets_that_fetch(self) -> None:
        """Send a prompt where transfers cost little: each part needs its time."""
        self.configure()
        self.assertEqual(self.count_times(), len(PROMPT))

    def test_times_take_no_memory_where_fetches_are_not_active(self) -> None:
        """Send prompts where transfers cost too much, or their cost is not known."""
        self.configure(kv_bytes=327_680.0, per_s=1_100_000 * 125_000.0)
        self.assertEqual(self.count_times(), 0)
        self.configure(kv_bytes=0.0)
        self.assertEqual(self.count_times(), 0)


class SourceTest(FetchCase):
    """Test which targets are sources."""

    def setUp(self) -> None:
        """List a target that keeps the prompt and one that does not."""
        super().setUp()
        self.configure()
        self.source = self.add_target("i-1")
        self.receiver = self.add_target("i-2")
        self.settle(self.source)

    def get_source(self, need: PromptNeed | None = NEED) -> str:
        """Return the name of the source of a fetch, empty without one."""
        fetch = self.plan(self.receiver, need)
        return fetch.source.name if fetch else ""

    def test_target_that_keeps_the_prompt_is_a_source(self) -> None:
        self.assertEqual(self.get_source(), "i-1")
        self.assertIsNone(self.plan(self.source))

    def test_receiver_keeps_the_prefix_too(self) -> None:
        """Guard against the same fetch for each prompt."""
        sent = self.send(self.receiver)
        self.assertEqual(sent.n_uncached_tokens, 0)
        self.assertIsNone(self.plan(self.receiver))

    def test_retry_and_call_without_a_prompt_fetch_nothing(self) -> None:
        """Guard against a second try that hangs at the source of the first."""
        self.assertEqual(self.get_source(replace(NEED, may_fetch=False)), "")
        self.assertEqual(self.get_source(None), "")

    def test_prefix_that_is_being_processed_is_not_fetched(self) -> None:
        """Guard against a burst about a new subject that each target processes."""
        other = self.add_target("i-3")
        self.board.targets.apply_entry(replace(self.source, started_ms=9))
        self.send(other)
        self.timer.time += 0.1
        self.assertEqual(self.get_source(), "")
        self.timer.time += SETTLED_S
        self.assertEqual(self.get_source(), "")  # 15,000 tokens still wait there
        self.timer.time += 0.5
        self.assertEqual(self.get_source(), "i-3")

    def test_restarted_source_is_no_source(self) -> None:
        """Guard against a fetch from a target that lost its cache in a restart."""
        self.add_target("i-1", started_ms=2)
        self.assertEqual(self.get_source(), "")

    def test_cold_resting_and_ejected_targets_are_no_sources(self) -> None:
        """Guard against fetches from targets that can't serve them."""
        self.chooser.record_answer(
            self.source, NotRun(reason="timeout", timed_out=True), 0.0
        )
        self.assertEqual(self.get_source(), "")
        self.chooser.record_answer(
            self.source, OpenAnswer(head=ANSWER_HEAD, headers=[]), 0.0
        )
        self.assertEqual(self.get_source(), "i-1")
        self.board.targets.record_cold_time(
            replace(self.source, cold_s=3.0), now=self.timer.time
        )
        self.assertEqual(self.get_source(), "")
        self.timer.time += 3.1
        self.assertEqual(self.get_source(), "i-1")
        head = replace(ANSWER_HEAD, status=503, not_run=True, rest_s=3.0)
        answer = NotRun(reason="status 503", head=head, busy=True)
        self.chooser.record_answer(self.source, answer, 0.0)
        self.assertEqual(self.get_source(), "")

    def test_source_of_a_failed_fetch_is_not_used_for_a_time(self) -> None:
        """Guard against a dark source; only a send that it may have delayed counts."""
        outcomes: list[tuple[SendOutcome | None, float, bool]] = [
            (FAILED, 0.1, True),
            (None, 0.1, False),  # the caller left early
            (None, 1.9, True),  # the caller gave up
            (NotRun(reason="refused", unreachable=True), 0.1, False),
            (OpenAnswer(head=replace(ANSWER_HEAD, status=500), headers=[]), 0.1, True),
            (OpenAnswer(head=replace(ANSWER_HEAD, status=400), headers=[]), 0.1, False),
            (OpenAnswer(head=ANSWER_HEAD, headers=[]), 2.1, True),
        ]
        for number, (outcome, waited_s, is_ejected) in enumerate(outcomes):
            receiver = self.add_target(f"i-{number + 10}")
            sent = self.send(receiver)
            self.assertIsNotNone(sent.fetch, outcome)
            self.timer.time += waited_s
            self.chooser.end_fetch(sent, outcome)
            is_used = self.get_source() == "i-1"
            self.assertEqual(is_used, not is_ejected, outcome)
            self.board.targets.apply_entry(
                replace(receiver, started_ms=receiver.started_ms + 1)
            )
            self.timer.time += 5.1

    def test_sources_in_a_large_fleet_are_the_candidates_that_were_asked(self) -> None:
        """Guard against a source of which no home told what it keeps now."""
        targets = [self.source, *(self.add_target(f"i-{n}") for n in range(3, 9))]
        ranked = rank_candidates([*targets, self.receiver], "dossier")
        position = ranked.index(self.source)
        with mock.patch.object(self.workload, "is_fleet_large", return_value=True):
            for n_candidates, is_planned in ((position, False), (position + 1, True)):
                fetch = self.chooser.plan_fetch(
                    self.receiver,
                    target_filter=ASSISTANT,
                    excluded=set(),
                    need=NEED,
                    prompt=PROMPT,
                    candidate_info=CandidateInfo(n_candidates=n_candidates),
                )
                self.assertEqual(fetch is not None, is_planned)

    def test_sample_with_a_fetch_is_not_used(self) -> None:
        """Guard against fetched tokens, or waits for them, taken for prefill speed."""
        for need, is_sample in ((NEED, False), (None, True)):
            fetch = self.plan(self.receiver, need)
            sent = self.chooser.add_request(
                self.receiver, PROMPT, CandidateInfo(), fetch
            )
            with mock.patch.object(self.workload, "add_prefill_sample") as add_sample:
                self.chooser.record_first_token(self.receiver, sent)
            self.assertEqual(add_sample.called, is_sample)

    async def test_load_decides_the_placement(self) -> None:
        """Guard against prompts that queue although an idle target could fetch."""
        self.send(self.source, (PromptPart(name="other", n_tokens=9_000),))
        chosen = await self.choose_for_prompt()
        self.assertEqual(chosen, self.receiver)
        retry = await self.choose_for_prompt(replace(NEED, may_fetch=False))
        self.assertEqual(retry, self.source)


class InactiveTest(FetchCase):
    """Compare choices, headers and messages where fetching is not active."""

    async def list_choices(
        self, kv_bytes: float, per_s: float
    ) -> list[tuple[str, list[tuple[str, str]]]]:
        """Return the targets and headers over a grid of loads and caches."""
        self.setUp()
        self.configure(kv_bytes, per_s)
        targets = [self.add_target(f"i-{number}") for number in range(3)]
        self.settle(targets[0])
        choices = []
        queues = itertools.product((0, 6_000, 30_000, 90_000), repeat=2)
        for (first, second), objective_s in itertools.product(queues, (0.3, 1.0)):
            loads = list(zip(targets, (first, second), strict=False))
            for target, n_tokens in loads:
                self.workload.adjust_work(target.incarnation, prompt_tokens=n_tokens)
            need = replace(NEED, objective_s=objective_s)
            chosen = await self.choose_for_prompt(need)
            fetch = self.plan(chosen, need)
            options = ForwardOptions(
                workspace="school",
                deadline_s=1.0,
                fetch_from=fetch.source.address if fetch else "",
            )
            headers = HeaderTranslator().write_request(REQUEST, chosen, options)
            choices.append((chosen.name, headers))
            for target, n_tokens in loads:
                self.workload.adjust_work(target.incarnation, prompt_tokens=-n_tokens)
        return choices

    async def test_hosts_choose_and_send_as_without_the_fields(self) -> None:
        """Guard against any change for deployments that do not fetch.

        Transfers above a twentieth of the processing time are not used. With the same
        grid, choices and headers differ where they are.
        """
        absent = await self.list_choices(0.0, 0.0)
        slow = await self.list_choices(327_680.0, 1_100_000 * 125_000.0)
        active = await self.list_choices(18_432.0, BYTES_PER_S)
        self.assertEqual(absent, slow)
        self.assertNotIn("Kv-Fetch", dict(sum((item[1] for item in absent), [])))
        fetches = [dict(headers).get("Kv-Fetch") for _, headers in active]
        self.assertIn("127.0.0.1:0", fetches)
        names = [name for name, _ in absent]
        self.assertNotEqual(names, [name for name, _ in active])

    def test_messages_to_peers_are_as_before(self) -> None:
        """Guard against a field that hosts of the previous build do not know."""
        options = ForwardOptions(
            workspace="school", deadline_s=1.0, fetch_from="127.0.0.1:1"
        )
        sent = SendToTarget(request=REQUEST, body=b"", target="i-1", options=options)
        frame = Frame(number=1, reply=False, body=sent)
        data = FLEET_CODEC.encode(frame)
        self.assertEqual(
            set(cbor2.loads(data)["body"]["options"]),
            {"workspace", "deadline_s", "urgency", "resume_after"},
        )
        read = FLEET_CODEC.decode(data).body
        self.assertEqual(read.options, replace(options, fetch_from=""))


if __name__ == "__main__":
    unittest.main()
