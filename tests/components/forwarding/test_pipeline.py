"""Test what the pipeline learns from answers."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from typing import Any, cast

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
from trefoilstage.components.forwarding.placement import Survey
from trefoilstage.components.forwarding.run import Run
from trefoilstage.components.forwarding.sender import OpenAnswer
from trefoilstage.components.forwarding.targets import SentPrompt

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
    n_read: list[int] = field(default_factory=list)
    n_unread: list[int] = field(default_factory=list)

    async def refresh(self, *_: object) -> Survey:
        return Survey()

    def choose(self, **_: object) -> Any:
        return make_target("i-1")

    def note_request(self, service: str) -> None: ...

    def note_start(self, *_: object) -> SentPrompt:
        return SentPrompt(n_unread=17_000, n_ahead=0, at=0.0)

    def note_first_token(self, _: object, sent: SentPrompt) -> None:
        self.n_read.append(sent.n_unread)

    def note_unread(self, _: object, sent: SentPrompt) -> None:
        self.n_unread.append(sent.n_unread)

    def note_end(self, _: object) -> None: ...

    def note_answer(self, *_: object) -> None: ...

    async def hold(self, *_: object) -> Hold:
        return Hold(workspace="school", request="r-1", tokens=0)

    def settle(self, *_: object) -> None: ...

    def check(self, _: str) -> None: ...

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


class PaceTest(unittest.IsolatedAsyncioTestCase):
    """Test which answers tell a target's pace."""

    async def ask(self, status: int, kind: RouteKind) -> Parts:
        """Send a prompt that a target answers with a status."""
        parts = Parts(status=status)
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
            route=replace(make_route("/x/"), kind=kind, max_attempts=1),
            workspace=None,
            started=now,
            deadline=now + 5.0,
        )
        await pipeline.run(run, cast(Any, parts))
        return parts

    async def test_quick_failure_is_no_reading(self) -> None:
        """Let a target answer a long prompt with 500 within a millisecond.

        Taken for a reading, it would make the target look the fastest of all, and
        prompts would go there to fail.
        """
        parts = await self.ask(500, RouteKind.ONCE)
        self.assertEqual((parts.n_read, parts.n_unread), ([], [17_000]))

    async def test_success_is_a_reading(self) -> None:
        parts = await self.ask(200, RouteKind.ONCE)
        self.assertEqual((parts.n_read, parts.n_unread), ([17_000], []))


if __name__ == "__main__":
    unittest.main()
