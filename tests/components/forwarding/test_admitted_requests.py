"""Test how the pipeline uses the places of the admission queue."""

import asyncio
import random
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any, cast

from bench.emulator.clock import run_in_virtual_time
from tests.components.boards import make_board
from tests.components.forwarding.common import REQUEST, make_route, make_target
from tests.components.forwarding.test_pipeline import FakeCollaborators
from trefoilstage.components.admission_queue.own_work import Place
from trefoilstage.components.forwarding.answers import InvalidAnswer
from trefoilstage.components.forwarding.models import RouteKind, TargetEntry
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.forwarding.target_filter import TargetFilter
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

PLACE = Place(
    service="booking",
    request="r-1/host-0/0",
    workspace="school",
    home="host-1",
    target="i-2@0",
)
OVERLOADED = Refusal(reason=Reason.OVERLOADED, retry_after_s=0.4)


@dataclass(kw_only=True)
class FakeAdmission(FakeCollaborators):
    """Grant places or refuse them, and record what becomes of them."""

    answers: list[Place | Refusal | None]
    may_use_target: bool = True
    send_s: float = 0.0
    fails: bool = False  # whether targets give invalid answers
    sent_to: list[str] = field(default_factory=list)
    checked: list[tuple[str, str, int]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)

    async def acquire(self, _: RequestState) -> Place | Refusal | None:
        return self.answers.pop(0)

    def release(self, place: Place, *, used: bool = True) -> None:
        self.log.append("released" if used else "unused")

    @contextmanager
    def count(self, _: RequestState, __: TargetEntry, place: Place) -> Iterator[None]:
        self.log.append("sent")
        try:
            yield
        finally:
            self.log.append("ended")

    def find_free(
        self, incarnation: str, target_filter: TargetFilter, excluded: set[str]
    ) -> TargetEntry | None:
        self.checked.append((incarnation, target_filter.service, len(excluded)))
        return make_target("i-2") if self.may_use_target else None

    def take_retry(self, _: str) -> bool:
        return True

    def record_interruption(self, *_: object, **__: object) -> None: ...

    def record_caller_left(self, *_: object, **__: object) -> None: ...

    async def may_continue(self, _: RequestState) -> bool:
        return True

    async def send(self, *arguments: object) -> Any:
        self.sent_to.append(cast(TargetEntry, arguments[2]).name)
        await asyncio.sleep(self.send_s)
        if self.fails:
            return InvalidAnswer(reason="reset")
        return await super().send()


async def forward(fake: FakeAdmission, kind: RouteKind) -> Refusal | None:
    """Forward a request through a pipeline that asks for places."""
    parts = cast(Any, fake)
    pipeline = ForwardingPipeline(
        board=make_board("host-0", ["host-0"]),
        escrow=parts,
        chooser=parts,
        sender=parts,
        crashes=parts,
        binder=parts,
        generator=random.Random(1),
        admission=parts,
    )
    now = asyncio.get_running_loop().time()
    state = RequestState(
        request=REQUEST,
        body=b"",
        route=replace(make_route("/x/"), kind=kind),
        workspace=None,
        started_at=now,
        deadline=now + 5.0,
    )
    return await pipeline.run(state, parts)


def run(fake: FakeAdmission, kind: RouteKind = RouteKind.IDEMPOTENT) -> Refusal | None:
    """Forward a request in virtual time."""
    return run_in_virtual_time(forward(fake, kind))


class AdmittedRequestTest(unittest.TestCase):
    """Forward requests with places, without and with refusals."""

    def test_place_is_used_and_returned(self) -> None:
        """Guard against a place that is lost, or a request sent elsewhere."""
        fake = FakeAdmission(status=200, answers=[PLACE])
        self.assertIsNone(run(fake))
        self.assertEqual(fake.sent_to, ["i-2"])
        self.assertEqual(fake.log, ["sent", "ended", "released"])

    def test_place_at_a_target_that_is_not_allowed_is_returned_unused(self) -> None:
        """Guard against requests sent to targets that they may not use."""
        fake = FakeAdmission(status=200, answers=[PLACE], may_use_target=False)
        self.assertIsNone(run(fake))
        self.assertEqual(fake.sent_to, ["i-1"])
        self.assertEqual(fake.log[0], "unused")

    def test_each_place_is_checked_against_what_was_tried(self) -> None:
        """Guard against a retry at the target that just failed."""
        fake = FakeAdmission(status=200, answers=[PLACE, PLACE], fails=True)
        run(fake)
        self.assertEqual(
            fake.checked, [("i-2@0", "booking", 0), ("i-2@0", "booking", 1)]
        )

    def test_request_without_a_place_goes_on(self) -> None:
        """Guard against a queue that changes what is not contended."""
        fake = FakeAdmission(status=200, answers=[None])
        self.assertIsNone(run(fake))
        self.assertEqual(fake.sent_to, ["i-1"])
        self.assertEqual(fake.log, ["sent", "ended"])

    def test_refused_request_is_not_sent(self) -> None:
        """Guard against a 503 for a request that runs."""
        fake = FakeAdmission(status=200, answers=[OVERLOADED])
        self.assertEqual(run(fake), OVERLOADED)
        self.assertEqual(fake.sent_to, [])

    def test_request_that_may_have_run_is_not_refused_as_never_run(self) -> None:
        """Guard against a 503 for a request that a target may have run."""
        fake = FakeAdmission(status=200, answers=[PLACE, OVERLOADED], fails=True)
        refusal = run(fake)
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.TARGET_FAILED)
        self.assertIs(refusal.effect, Effect.UNKNOWN)
        self.assertEqual(fake.log, ["sent", "ended", "released"])

    def test_request_that_may_have_run_is_queued_again_only_if_repeatable(self) -> None:
        """Guard against a second run of a request that may run once only."""
        fake = FakeAdmission(status=200, answers=[PLACE, PLACE], fails=True)
        run(fake, RouteKind.ONCE)
        self.assertEqual(len(fake.answers), 1)
        self.assertEqual(fake.sent_to, ["i-2"])

    def test_place_is_returned_when_the_caller_leaves(self) -> None:
        """Guard against slots that callers take with them."""

        async def leave(fake: FakeAdmission) -> None:
            task = asyncio.create_task(forward(fake, RouteKind.IDEMPOTENT))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])

        fake = FakeAdmission(status=200, answers=[PLACE], send_s=1.0)
        run_in_virtual_time(leave(fake))
        self.assertEqual(fake.log, ["sent", "ended", "released"])


if __name__ == "__main__":
    unittest.main()
