"""Test how long requests wait for a place, and what hosts report."""

import asyncio
import unittest
from dataclasses import replace

from bench.emulator.clock import run_in_virtual_time
from tests.components.admission_queue.fleet import AdmissionFleet
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceRequest,
    get_caller_id,
    name_request,
)
from trefoilstage.components.admission_queue.own_work import OwnWork, Place
from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.wait_time import compute_wait_s
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import RouteKind
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.peers.frames import Frame
from trefoilstage.exceptions import MalformedMessageError

USE = PlaceUse(n_requests=1, kv_tokens=700)


class WaitTimeTest(unittest.TestCase):
    """Compute the time that a request may wait."""

    def make_state(self, kind: RouteKind, deadline_s: float) -> RequestState:
        """Return the state of a request that arrived at 0."""

        async def make() -> RequestState:
            await asyncio.sleep(0)
            return AdmissionFleet(1).make_state()

        state = run_in_virtual_time(make())
        state.started_at, state.deadline = 0.0, deadline_s
        state.route = replace(state.route, kind=kind, silence_limit_s=2.0)
        return state

    def test_wait_leaves_time_for_the_answer(self) -> None:
        """Guard against callers that wait to their limit."""
        plain = self.make_state(RouteKind.IDEMPOTENT, 10.0)
        self.assertAlmostEqual(compute_wait_s(plain, 0.0), 5.0)
        self.assertAlmostEqual(compute_wait_s(plain, 8.0), 1.0)
        self.assertEqual(compute_wait_s(plain, 11.0), 0.0)
        stream = self.make_state(RouteKind.STREAM, 10.0)
        self.assertAlmostEqual(compute_wait_s(stream, 0.0), 1.4)
        self.assertAlmostEqual(compute_wait_s(stream, 1.0), 0.4)
        stream.caller_last_data_at = 3.0
        self.assertAlmostEqual(compute_wait_s(stream, 3.0), 1.4)

    def test_attempts_together_wait_no_longer_than_one(self) -> None:
        """Guard against a refusal after most of the time, at the fifth attempt."""
        for kind in (RouteKind.ONCE, RouteKind.STREAM):
            state = self.make_state(kind, 5.0)
            now = 0.0
            for _ in range(5):
                wait_s = compute_wait_s(state, now)
                state.waited_for_places_s += wait_s
                now += wait_s + 0.05
            with self.subTest(kind=kind):
                self.assertLessEqual(state.waited_for_places_s, 2.5)


class OwnWorkTest(unittest.TestCase):
    """Track a host's requests."""

    def test_only_places_in_use_are_reported(self) -> None:
        """Guard against a home that counts a request twice, or not at all."""
        work = OwnWork()
        place = Place(service="s", request="r", workspace="w", home="h", target="t")
        work.places["r"] = place
        self.assertEqual(work.describe().places, frozenset())
        self.assertEqual(work.count_taken("t"), 1)
        work.add("t", USE, "r")
        self.assertEqual(work.describe().places, {("h", "r")})
        self.assertEqual(work.count_taken("t"), 1)
        work.remove("t", USE, "r")
        self.assertEqual(work.describe().work, {})
        self.assertEqual(work.describe().places, frozenset())

    def test_state_of_a_former_home_is_ignored(self) -> None:
        """Guard against late replies of a home that hosts no longer use."""
        work = OwnWork()
        work.record_report("new", work.describe(), 0.0)
        work.record_state("old", 0.0, contended=True)
        self.assertFalse(work.is_contended(0.1))
        work.record_state("new", 0.0, contended=True)
        self.assertTrue(work.is_contended(0.1))


class MessagesTest(unittest.TestCase):
    """Encode and decode the messages."""

    def test_messages_are_read_as_they_were_written(self) -> None:
        """Guard against messages that the peers' codec does not know."""
        name = name_request("a/b", "host-0-1", 7)
        self.assertEqual(get_caller_id(name), "a/b")
        report = AdmissionReport(service="s", host="h", work={"t": USE}, places=(name,))
        data = FLEET_CODEC.encode(Frame(number=1, reply=False, body=report))
        self.assertEqual(FLEET_CODEC.decode(data).body, report)

    def test_impossible_numbers_are_malformed(self) -> None:
        """Guard against a peer whose numbers free slots that are in use."""
        report = AdmissionReport(
            service="s", host="h", work={"t": PlaceUse(n_requests=-1)}
        )
        request = PlaceRequest(
            service="s",
            request="r",
            host="h",
            workspace="w",
            urgency=0,
            kv_tokens=0,
            wait_s=float("inf"),
        )
        for body in (report, request):
            data = FLEET_CODEC.encode(Frame(number=1, reply=False, body=body))
            with self.assertRaises(MalformedMessageError):
                FLEET_CODEC.decode(data)


if __name__ == "__main__":
    unittest.main()
