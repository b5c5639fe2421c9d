"""Test what the pipeline learns from answers."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import Any, cast

from bench.emulator.clock import run_virtually
from tests.components.boards import make_board
from tests.components.forwarding.common import make_route, make_target
from trefoilstage.components.escrow.client import Hold
from trefoilstage.components.forwarding.border import AnswerHead
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    PromptPart,
    RouteKind,
)
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.placement import CandidateInfo
from trefoilstage.components.forwarding.run import Run
from trefoilstage.components.forwarding.sender import Broken, OpenAnswer
from trefoilstage.components.forwarding.targets import SentPrompt
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

PROMPT = (PromptPart(name="dossier", n_tokens=17_000),)


@dataclass(frozen=True, kw_only=True, slots=True)
class FailedAnswer(OpenAnswer):
    """Hold a target's own failure."""

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield b"failed"

    def close(self) -> None:
        """Do nothing."""


@dataclass(kw_only=True)
class Parts:
    """Stand in for the parts beside the pipeline, and note what it tells them."""

    status: int
    n_prefilled: list[int] = field(default_factory=list)
    n_cancelled: list[int] = field(default_factory=list)

    async def query_candidates(self, *_: object) -> CandidateInfo:
        return CandidateInfo()

    def should_query_again(self, queried_at: float) -> bool:
        return asyncio.get_running_loop().time() - queried_at > 0.2

    def choose(self, **_: object) -> Any:
        return make_target("i-1")

    def count_request(self, service: str) -> None: ...

    def add_request(self, *_: object) -> SentPrompt:
        return SentPrompt(n_uncached_tokens=17_000, n_queued_tokens=0, sent_at=0.0)

    def record_first_token(self, _: object, sent: SentPrompt) -> None:
        self.n_prefilled.append(sent.n_uncached_tokens)

    def remove_pending_prefill(self, _: object, sent: SentPrompt) -> None:
        self.n_cancelled.append(sent.n_uncached_tokens)

    def remove_request(self, *_: object) -> None: ...

    def record_answer(self, *_: object) -> None: ...

    async def hold(self, *_: object) -> Hold:
        return Hold(workspace="school", request="r-1", tokens=0)

    def settle(self, *_: object) -> None: ...

    def check(self, _: str) -> Refusal | None:
        return None

    def note_sound(self, _: str) -> None: ...

    async def send(self, *_: object) -> OpenAnswer:
        head = AnswerHead(
            status=self.status,
            not_run=False,
            misdirected=False,
            signed=True,
            own=True,
            named=True,
            encoded=False,
            closing=False,
        )
        return FailedAnswer(head=head, headers=[], response=cast(Any, None))

    def set_whole(self, *_: object, **__: object) -> None: ...

    is_open = False


async def ask(parts: "Parts", kind: RouteKind, *, max_attempts: int) -> Refusal | None:
    """Send a prompt through a pipeline and return why it gets no answer."""
    pipeline = ForwardingPipeline(
        board=make_board("host-0", ["host-0"]),
        escrow=cast(Any, parts),
        chooser=cast(Any, parts),
        sender=cast(Any, parts),
        crashes=cast(Any, parts),
        generator=random.Random(1),
    )
    now = asyncio.get_running_loop().time()
    request = CallerRequest(
        request="r-1",
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
    )
    run = Run(
        request=request,
        body=b"",
        route=replace(make_route("/x/"), kind=kind, max_attempts=max_attempts),
        workspace=None,
        started=now,
        deadline=now + 5.0,
    )
    return await pipeline.run(run, cast(Any, parts))


class PrefillSampleTest(unittest.IsolatedAsyncioTestCase):
    """Test which answers tell a target's pace."""

    async def ask(self, status: int, kind: RouteKind) -> Parts:
        """Send a prompt that a target answers with a status."""
        parts = Parts(status=status)
        await ask(parts, kind, max_attempts=1)
        return parts

    async def test_quick_failure_is_no_reading(self) -> None:
        """Let a target answer a long prompt with 500 within a millisecond.

        Taken for a reading, it would make the target look the fastest of all, and
        prompts would go there to fail.
        """
        parts = await self.ask(500, RouteKind.ONCE)
        self.assertEqual((parts.n_prefilled, parts.n_cancelled), ([], [17_000]))

    async def test_success_is_a_reading(self) -> None:
        parts = await self.ask(200, RouteKind.ONCE)
        self.assertEqual((parts.n_prefilled, parts.n_cancelled), ([17_000], []))


@dataclass(kw_only=True)
class SlowParts(Parts):
    """Grant the hold late, and count the surveys of targets."""

    hold_s: float
    n_queries: int = 0

    async def hold(self, *_: object) -> Hold:
        await asyncio.sleep(self.hold_s)
        return await super().hold()

    async def query_candidates(self, *_: object) -> CandidateInfo:
        self.n_queries += 1
        return CandidateInfo()


class CandidateQueryTest(unittest.TestCase):
    """Test what a choice goes by."""

    def count_queries(self, hold_s: float) -> int:
        """Return how often targets are surveyed for one prompt."""
        parts = SlowParts(status=200, hold_s=hold_s)
        run_virtually(ask(parts, RouteKind.ONCE, max_attempts=1))
        return parts.n_queries

    def test_prompt_that_waited_asks_about_targets_again(self) -> None:
        """Guard against all that waited out an outage choosing the same targets."""
        self.assertEqual(self.count_queries(2.0), 2)

    def test_prompt_that_did_not_wait_asks_once(self) -> None:
        self.assertEqual(self.count_queries(0.01), 1)


BLOCKED = Refusal(reason=Reason.CRASHES_TARGETS, retry_after_s=60.0)


@dataclass(kw_only=True)
class BlockingParts(Parts):
    """Break off each answer; block the request after it was asked about some times."""

    n_passed: int
    status: int = 200
    n_held: int = 0
    n_sent: int = 0

    async def hold(self, *_: object) -> Hold:
        self.n_held += 1
        return await super().hold()

    def check(self, _: str) -> Refusal | None:
        self.n_passed -= 1
        return BLOCKED if self.n_passed < 0 else None

    def has_other_target(self, *_: object) -> bool:
        return True

    def take_retry(self, _: str) -> bool:
        return True

    def note_cut(self, *_: object, **__: object) -> None: ...

    async def send(self, *_: object) -> Any:
        self.n_sent += 1
        return Broken(reason="the target ended")


class BlockedTest(unittest.IsolatedAsyncioTestCase):
    """Test when a request that crashes targets is held back."""

    async def test_blocked_request_holds_and_sends_nothing(self) -> None:
        """Guard against a blocked request that reaches one more target."""
        parts = BlockingParts(n_passed=0)
        refusal = await ask(parts, RouteKind.IDEMPOTENT, max_attempts=2)
        self.assertEqual((refusal, parts.n_held, parts.n_sent), (BLOCKED, 0, 0))

    async def test_request_blocked_while_it_waits_is_not_sent(self) -> None:
        """Guard against one that waited for tokens while it was blocked elsewhere."""
        parts = BlockingParts(n_passed=1)
        refusal = await ask(parts, RouteKind.IDEMPOTENT, max_attempts=2)
        self.assertEqual((refusal, parts.n_sent), (BLOCKED, 0))

    async def test_request_blocked_under_way_is_not_repeated(self) -> None:
        """Guard against a further target that ends, and a false "not run"."""
        parts = BlockingParts(n_passed=2)
        refusal = await ask(parts, RouteKind.IDEMPOTENT, max_attempts=3)
        assert refusal is not None
        self.assertEqual((refusal.effect, parts.n_sent), (Effect.UNKNOWN, 1))


if __name__ == "__main__":
    unittest.main()
