"""Test prefill samples, candidate queries and blocked requests."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import Any, cast
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from bench.emulator.limits import ANSWER_HEAD
from tests.components.boards import make_board
from tests.components.forwarding.common import make_route, make_target
from trefoilstage.components.escrow.client import EscrowHold
from trefoilstage.components.forwarding.answers import InvalidAnswer, OpenAnswer
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    PromptPart,
    RouteKind,
)
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.placement import CandidateInfo, PromptNeed
from trefoilstage.components.forwarding.prefix_fetch import PrefixFetch
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.sent_requests import SentPrompt
from trefoilstage.components.forwarding.start_prover import StartProver
from trefoilstage.components.forwarding.stream_binding import StreamBinder
from trefoilstage.components.forwarding.target_filter import StreamVersion
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.helpers.events import Event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

PIPELINE = "trefoilstage.components.forwarding.pipeline"
PROMPT = (PromptPart(name="dossier", n_tokens=17_000),)


@dataclass(frozen=True, kw_only=True, slots=True)
class FixedAnswer(OpenAnswer):
    """Represent an answer with a fixed body."""

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield b"failed"

    def close(self) -> None:
        """Do nothing."""


@dataclass(kw_only=True)
class FakeCollaborators:
    """Replace the pipeline's collaborators and record its calls."""

    status: int
    found: StreamVersion | None = None
    n_holds: int = 0
    chosen_filters: list[Any] = field(default_factory=list)
    prefilled_tokens: list[int] = field(default_factory=list)
    removed_tokens: list[int] = field(default_factory=list)

    async def query_candidates(self, *_: object) -> CandidateInfo:
        return CandidateInfo()

    def should_query_again(self, queried_at: float) -> bool:
        return asyncio.get_running_loop().time() - queried_at > 0.2

    async def choose(self, **arguments: object) -> Any:
        self.chosen_filters.append(arguments["target_filter"])
        return make_target("i-1")

    def plan_fetch(self, *_: object, **__: object) -> PrefixFetch | None:
        return None

    def end_fetch(self, *_: object) -> None: ...

    def count_request(self, service: str) -> None: ...

    def add_request(self, *_: object) -> SentPrompt:
        return SentPrompt(n_uncached_tokens=17_000, n_queued_tokens=0, sent_at=0.0)

    def record_first_token(self, _: object, sent: SentPrompt) -> None:
        self.prefilled_tokens.append(sent.n_uncached_tokens)

    def remove_pending_prefill(self, _: object, sent: SentPrompt) -> None:
        self.removed_tokens.append(sent.n_uncached_tokens)

    def remove_request(self, *_: object) -> None: ...

    def record_answer(self, *_: object) -> None: ...

    async def find(self, *_: object) -> StreamVersion | None:
        return self.found

    async def hold(self, *_: object) -> EscrowHold:
        self.n_holds += 1
        return EscrowHold(workspace="school", request="r-1", tokens=0)

    def settle(self, *_: object) -> None: ...

    def get_refusal(self, *_: object) -> Refusal | None:
        return None

    def record_harmless(self, *_: object) -> None: ...

    def record_completed(self, *_: object, **__: object) -> None: ...

    def record(self, *_: object) -> None: ...

    def end(self, *_: object) -> None: ...

    async def send(self, *_: object) -> OpenAnswer:
        head = replace(ANSWER_HEAD, status=self.status)
        return FixedAnswer(head=head, headers=[])

    def set_complete(self, *_: object, **__: object) -> None: ...

    is_open = False


async def send_prompt(
    collaborators: "FakeCollaborators",
    kind: RouteKind,
    *,
    max_attempts: int,
    resumes: str = "",
    timeout_s: float = 5.0,
) -> Refusal | None:
    """Send a prompt through a pipeline and return the refusal, if any."""
    board = make_board("host-0", ["host-0"])
    pipeline = ForwardingPipeline(
        board=board,
        escrow=cast(Any, collaborators),
        chooser=cast(Any, collaborators),
        sender=cast(Any, collaborators),
        crashes=cast(Any, collaborators),
        binder=StreamBinder(
            board=board,
            prover=StartProver(board=board, probe=cast(Any, collaborators)),
            stream_versions=cast(Any, collaborators),
        ),
        generator=random.Random(1),
    )
    now = asyncio.get_running_loop().time()
    request = CallerRequest(
        request_id="r-1",
        method="POST",
        host="club.example",
        path="/x/",
        raw_target="/x/",
        key="",
        deadline_s=5.0,
        n_prompt_tokens=17_000,
        max_output_tokens=10,
        prompt=PROMPT,
        headers=(),
        resumes=resumes,
    )
    state = RequestState(
        request=request,
        body=b"",
        route=replace(make_route("/x/"), kind=kind, max_attempts=max_attempts),
        workspace=None,
        started_at=now,
        deadline=now + timeout_s,
    )
    return await pipeline.run(state, cast(Any, collaborators))


class ResumptionTest(unittest.IsolatedAsyncioTestCase):
    """Take up streams whose version is known, and others."""

    async def resume(
        self, found: StreamVersion | None
    ) -> tuple[Refusal | None, FakeCollaborators]:
        """Take up a stream; return the refusal and the calls."""
        collaborators = FakeCollaborators(status=400, found=found)
        refusal = await send_prompt(
            collaborators, RouteKind.STREAM, max_attempts=1, resumes="r-0"
        )
        return refusal, collaborators

    async def test_stream_of_unknown_version_is_refused_at_once(self) -> None:
        """Guard against a guess at the version, and against a wait for nothing."""
        refusal, collaborators = await self.resume(None)
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.STREAM_UNKNOWN)
        self.assertIs(refusal.effect, Effect.NOT_RUN)
        self.assertIsNotNone(refusal.retry_after_s)
        self.assertEqual(collaborators.n_holds, 0)

    async def test_stream_of_another_service_is_refused_at_once(self) -> None:
        """Guard against a stream that goes on at the service its route moved to."""
        refusal, collaborators = await self.resume(
            StreamVersion(service="assistant", version="v1")
        )
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.NO_TARGET)
        self.assertIs(refusal.effect, Effect.NOT_RUN)
        self.assertEqual(collaborators.n_holds, 0)

    async def test_silent_homes_are_not_waited_for_beyond_the_deadline(self) -> None:
        """Guard against callers that wait for homes after their own time limit."""
        collaborators = FakeCollaborators(status=400)
        loop = asyncio.get_running_loop()

        async def hang(*_: object) -> None:
            await asyncio.sleep(60.0)

        collaborators.find = hang  # type: ignore[method-assign]
        began_at = loop.time()
        refusal = await send_prompt(
            collaborators,
            RouteKind.STREAM,
            max_attempts=1,
            resumes="r-0",
            timeout_s=0.05,
        )
        assert refusal is not None
        self.assertIs(refusal.effect, Effect.NOT_RUN)
        self.assertLess(loop.time() - began_at, 30.0)

    async def test_stream_goes_on_at_the_version_that_began_it(self) -> None:
        """Guard against a version that is found and not used."""
        _, collaborators = await self.resume(
            StreamVersion(service="booking", version="v7")
        )
        chosen = collaborators.chosen_filters[0]
        self.assertEqual((chosen.service, chosen.version), ("booking", "v7"))


class PrefillSampleTest(unittest.IsolatedAsyncioTestCase):
    """Test which answers count as prefill samples."""

    async def send_prompt(self, status: int, kind: RouteKind) -> FakeCollaborators:
        """Send a prompt that the target answers with a given status."""
        collaborators = FakeCollaborators(status=status)
        await send_prompt(collaborators, kind, max_attempts=1)
        return collaborators

    async def test_fast_failure_is_no_prefill_sample(self) -> None:
        """Let a target answer a long prompt with status 500 within a millisecond.

        Counted as a sample, the failure would make the target look the fastest, and it
        would attract more prompts.
        """
        collaborators = await self.send_prompt(500, RouteKind.ONCE)
        self.assertEqual(
            (collaborators.prefilled_tokens, collaborators.removed_tokens),
            ([], [17_000]),
        )

    async def test_success_is_a_prefill_sample(self) -> None:
        collaborators = await self.send_prompt(200, RouteKind.ONCE)
        self.assertEqual(
            (collaborators.prefilled_tokens, collaborators.removed_tokens),
            ([17_000], []),
        )


FETCH = PrefixFetch(
    source=make_target("i-9", address="127.0.0.1:9"),
    n_tokens=9_000,
    own_s=0.01,
    total_s=0.01,
)


@dataclass(kw_only=True)
class FetchingCollaborators(FakeCollaborators):
    """Plan a fetch where one is allowed; the first send fails."""

    status: int = 200
    addresses: list[str] = field(default_factory=list)
    outcomes: list[object] = field(default_factory=list)

    def plan_fetch(self, *_: object, **arguments: object) -> PrefixFetch | None:
        need = arguments["need"]
        return FETCH if isinstance(need, PromptNeed) and need.may_fetch else None

    def end_fetch(self, *arguments: object) -> None:
        self.outcomes.append(arguments[-1])

    def record_caller_left(self, *_: object, **__: object) -> None: ...

    def take_retry(self, _: str) -> bool:
        return True

    def record_interruption(self, *_: object, **__: object) -> None: ...

    async def send(self, *arguments: object) -> Any:
        options = arguments[-1]
        assert isinstance(options, ForwardOptions)
        self.addresses.append(options.fetch_from)
        if len(self.addresses) == 1:
            return InvalidAnswer(reason="reset")
        return await super().send()


class FetchTest(unittest.TestCase):
    """Test which sends carry a fetch."""

    def test_retry_fetches_nothing(self) -> None:
        """Guard against a second try that hangs at the source of the first."""
        collaborators = FetchingCollaborators()
        with mock.patch(f"{PIPELINE}.log_event") as log:
            run_in_virtual_time(
                send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=2)
            )
        self.assertEqual(collaborators.addresses, ["127.0.0.1:9", ""])
        self.assertIsInstance(collaborators.outcomes[0], InvalidAnswer)
        sent = [
            {name: call.kwargs.get(name) for name in ("fetch_from", "fetched")}
            for call in log.call_args_list
            if call.args[0] is Event.REQUEST_SENT
        ]
        self.assertEqual(sent[0], {"fetch_from": "i-9", "fetched": 9_000})
        self.assertEqual(sent[1], {"fetch_from": None, "fetched": None})

    def test_caller_that_leaves_ends_its_fetch(self) -> None:
        """Guard against a transfer that counts as under way for ever."""
        collaborators = FetchingCollaborators()

        async def hang(*_: object) -> None:
            await asyncio.sleep(60.0)

        collaborators.send = hang  # type: ignore[method-assign]
        run_in_virtual_time(
            send_prompt(collaborators, RouteKind.ONCE, max_attempts=1, timeout_s=0.05)
        )
        self.assertEqual(collaborators.outcomes, [None])


@dataclass(kw_only=True)
class SlowCollaborators(FakeCollaborators):
    """Grant the token hold after a delay, and count the candidate queries."""

    hold_s: float
    n_queries: int = 0

    async def hold(self, *_: object) -> EscrowHold:
        await asyncio.sleep(self.hold_s)
        return await super().hold()

    async def query_candidates(self, *_: object) -> CandidateInfo:
        self.n_queries += 1
        return CandidateInfo()


class CandidateQueryTest(unittest.TestCase):
    """Test when the candidate targets are queried again."""

    def count_queries(self, hold_s: float) -> int:
        """Return how often the candidates are queried for one prompt."""
        collaborators = SlowCollaborators(status=200, hold_s=hold_s)
        run_in_virtual_time(send_prompt(collaborators, RouteKind.ONCE, max_attempts=1))
        return collaborators.n_queries

    def test_candidates_are_queried_again_after_a_long_hold(self) -> None:
        """Guard against all requests choosing the same targets after an outage."""
        self.assertEqual(self.count_queries(2.0), 2)

    def test_candidates_are_queried_once_after_a_short_hold(self) -> None:
        self.assertEqual(self.count_queries(0.01), 1)


BLOCKED = Refusal(reason=Reason.CRASHES_TARGETS, retry_after_s=60.0)


@dataclass(kw_only=True)
class BlockingCollaborators(FakeCollaborators):
    """Fail each send, and block the request after `n_passed` checks."""

    n_passed: int
    status: int = 200
    n_held: int = 0
    n_sent: int = 0

    async def hold(self, *_: object) -> EscrowHold:
        self.n_held += 1
        return await super().hold()

    def get_refusal(self, *_: object) -> Refusal | None:
        self.n_passed -= 1
        return BLOCKED if self.n_passed < 0 else None

    def has_other_target(self, *_: object) -> bool:
        return True

    def take_retry(self, _: str) -> bool:
        return True

    def record_interruption(self, *_: object, **__: object) -> None: ...

    async def send(self, *_: object) -> Any:
        self.n_sent += 1
        return InvalidAnswer(reason="the target crashed")


class BlockedTest(unittest.IsolatedAsyncioTestCase):
    """Test when a request that crashes targets is blocked."""

    async def test_blocked_request_is_neither_held_nor_sent(self) -> None:
        """Guard against sending a blocked request to another target."""
        collaborators = BlockingCollaborators(n_passed=0)
        refusal = await send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=2)
        self.assertEqual(
            (refusal, collaborators.n_held, collaborators.n_sent), (BLOCKED, 0, 0)
        )

    async def test_request_blocked_during_its_hold_is_not_sent(self) -> None:
        """Guard against a send when a peer host blocked it during the token hold."""
        collaborators = BlockingCollaborators(n_passed=1)
        refusal = await send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=2)
        self.assertEqual((refusal, collaborators.n_sent), (BLOCKED, 0))

    async def test_request_blocked_after_a_send_is_not_retried(self) -> None:
        """Guard against another crash, and a false "not run" effect."""
        collaborators = BlockingCollaborators(n_passed=2)
        refusal = await send_prompt(collaborators, RouteKind.IDEMPOTENT, max_attempts=3)
        assert refusal is not None
        self.assertEqual((refusal.effect, collaborators.n_sent), (Effect.UNKNOWN, 1))


if __name__ == "__main__":
    unittest.main()
