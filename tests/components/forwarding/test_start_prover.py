"""Test that targets are asked for their start only where it is needed."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from bench.emulator.limits import ANSWER_HEAD
from tests.components.boards import make_board
from tests.components.forwarding.common import REQUEST, make_route, make_target
from tests.components.forwarding.test_pipeline import FixedAnswer
from trefoilstage.components.forwarding.answers import AnswerBrokenError
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.relay import AnswerRelay
from trefoilstage.components.forwarding.request_state import make_answer_memory
from trefoilstage.components.forwarding.start_prover import (
    ASK_AGAIN_AFTER_S,
    REPORT_TIMEOUT_S,
    StartProver,
)
from trefoilstage.components.forwarding.stream_binding import StreamBinder

TARGET = make_target("i-1", started_ms=5)


class StartProverTest(unittest.TestCase):
    """Ask a target when it started."""

    def setUp(self) -> None:
        """List a target."""
        self.board = make_board("host-0", ["host-0"])
        self.board.targets.apply_entry(TARGET)
        self.probe = mock.Mock(read_start=mock.AsyncMock(return_value=5))
        self.prover = StartProver(board=self.board, probe=self.probe)

    def test_target_is_asked_once_for_all_that_wait(self) -> None:
        """Guard against a question to the target for each stream."""

        async def check() -> None:
            now = asyncio.get_running_loop().time()
            proving = [self.prover.prove(TARGET, now) for _ in range(9)]
            self.assertEqual(await asyncio.gather(*proving), [True] * 9)
            self.assertTrue(await self.prover.prove(TARGET, now))

        run_in_virtual_time(check())
        self.probe.read_start.assert_awaited_once()

    def test_target_with_another_start_is_not_proven(self) -> None:
        """Guard against a restarted target that passes for the former one."""

        async def check(started_ms: int | None) -> None:
            self.probe.read_start.return_value = started_ms
            now = asyncio.get_running_loop().time()
            self.assertFalse(await self.prover.prove(TARGET, now))
            self.assertFalse(await self.prover.prove(TARGET, now))
            self.assertEqual(self.probe.read_start.await_count, 1)
            await asyncio.sleep(ASK_AGAIN_AFTER_S)
            self.assertFalse(await self.prover.prove(TARGET, now))
            self.assertEqual(self.probe.read_start.await_count, 2)
            ended = self.board.targets.proofs.ended
            self.assertEqual(len(ended), 1 if started_ms else 0)

        for started_ms in (6, None):
            with self.subTest(started_ms=started_ms):
                self.setUp()
                run_in_virtual_time(check(started_ms))

    def test_silent_target_is_not_waited_for(self) -> None:
        """Guard against callers that wait for a target that hangs."""

        async def hang(_: object) -> int:
            await asyncio.sleep(60.0)
            return 5

        async def check() -> None:
            self.probe.read_start = hang
            began_at = asyncio.get_running_loop().time()
            self.assertFalse(await self.prover.prove(TARGET, began_at))
            took_s = asyncio.get_running_loop().time() - began_at
            self.assertLessEqual(took_s, REPORT_TIMEOUT_S)

        run_in_virtual_time(check())

    def test_data_that_is_read_proves_nothing(self) -> None:
        """Guard against data of an ended start that a slow caller reads late."""
        proofs = self.board.targets.proofs
        proofs.record_start(TARGET, 1.0)
        relay = AnswerRelay(
            board=self.board,
            binder=StreamBinder(
                board=self.board, prover=self.prover, stream_versions=mock.Mock()
            ),
            runs=mock.Mock(),
        )
        answer = FixedAnswer(head=ANSWER_HEAD, headers=[], connected_at=1.0)
        route = replace(make_route("/x/"), kind=RouteKind.STREAM)
        state = mock.Mock(
            route=route,
            request=REQUEST,
            n_events=0,
            answer_memory=make_answer_memory(),
        )

        async def check() -> None:
            await asyncio.sleep(9.0)
            with self.assertRaises(AnswerBrokenError):
                await relay.relay(state, mock.Mock(), answer, TARGET)

        run_in_virtual_time(check())
        self.assertFalse(proofs.is_proven(TARGET, 1.1))

    def test_target_that_is_not_listed_is_not_asked(self) -> None:
        """Guard against questions to targets that have left."""

        async def check() -> None:
            self.board.targets.unlist("i-1")
            self.assertFalse(await self.prover.prove(TARGET, 0.0))

        run_in_virtual_time(check())
        self.probe.read_start.assert_not_awaited()


if __name__ == "__main__":
    unittest.main()
