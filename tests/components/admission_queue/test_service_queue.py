"""Test which requests the home of a service refuses, and when."""

import asyncio
import random
import unittest

from bench.emulator.clock import run_in_virtual_time
from trefoilstage.components.admission_queue.home import UPDATE_INTERVAL_S
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceReply,
    PlaceRequest,
)
from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.places import (
    REPORT_LIFE_S,
    TargetCapacity,
)
from trefoilstage.components.admission_queue.service_queue import (
    MAX_WAITING,
    MIN_RETRY_AFTER_S,
    ServiceQueue,
    ServiceSnapshot,
)

SLOTS = 8
KV_TOKENS = 10_000
WAIT_S = 0.4
FREED_PER_S = 50.0


class ServiceQueueTest(unittest.TestCase):
    """Ask for the places of one target that is full."""

    def setUp(self) -> None:
        """Describe a service with one target and one host."""
        self.capacity = {"t": TargetCapacity(places=SLOTS, kv_tokens=KV_TOKENS)}
        self.n_requests = 0

    def make_queue(self) -> ServiceQueue:
        """Return the queue of a target that is full since 10 s."""
        queue = ServiceQueue(
            service="booking",
            take_snapshot=lambda: ServiceSnapshot(
                targets=self.capacity, live_hosts=("host-0",)
            ),
            generator=random.Random(1),
            now=0.0,
        )
        for now in (1.0, 9.0, 10.0):
            self.report(queue, SLOTS, now)
            queue.update(now)
        return queue

    def report(
        self,
        queue: ServiceQueue,
        n_requests: int,
        now: float,
        *,
        host: str = "host-0",
        unusable: tuple[str, ...] = (),
    ) -> None:
        """Report the work of a host, usually the only one."""
        work = {"t": PlaceUse(n_requests=n_requests)}
        report = AdmissionReport(
            service="booking", host=host, work=work, unusable=unusable
        )
        queue.receive_report(report, now)

    def ask(
        self,
        queue: ServiceQueue,
        now: float,
        kv_tokens: int = 0,
        wait_s: float = WAIT_S,
        urgency: int = 1,
        unusable: tuple[str, ...] = (),
    ) -> "asyncio.Future[PlaceReply]":
        """Ask for a place."""
        self.n_requests += 1
        request = PlaceRequest(
            service="booking",
            request=f"r-{self.n_requests}/host-0/0",
            host="host-0",
            workspace="school",
            urgency=urgency,
            kv_tokens=kv_tokens,
            wait_s=wait_s,
            unusable=unusable,
        )
        return queue.add(request, now)

    def free_places(self, queue: ServiceQueue, now: float) -> None:
        """Free places at a known rate up to a time."""
        for _ in range(round(2 * FREED_PER_S)):
            queue._places.freed.add(1, now)

    def test_request_that_cannot_be_in_time_is_refused_at_once(self) -> None:
        """Guard against callers that wait for a refusal."""

        async def check() -> None:
            queue = self.make_queue()
            self.free_places(queue, 10.0)
            replies = [self.ask(queue, 10.0) for _ in range(100)]
            refused = [item.result() for item in replies if item.done()]
            self.assertEqual(len(refused), 100 - WAIT_S * FREED_PER_S)
            for reply in refused:
                self.assertFalse(reply.granted)
                self.assertGreaterEqual(reply.retry_after_s, WAIT_S)
                self.assertLessEqual(reply.retry_after_s, 2 * WAIT_S + 0.1)
            self.assertGreater(len({item.retry_after_s for item in refused}), 50)

        run_in_virtual_time(check())

    def test_urgency_0_gets_the_first_place_that_is_freed(self) -> None:
        """Guard against an order of the queue that is not the one of the messages."""

        async def check() -> None:
            queue = self.make_queue()
            replies = {
                item: self.ask(queue, 10.0, wait_s=100.0, urgency=item)
                for item in (9, 0, 5)
            }
            self.report(queue, SLOTS - 1, 10.1)
            self.assertEqual([item for item in replies if replies[item].done()], [0])
            self.assertTrue(replies[0].result().granted)

        run_in_virtual_time(check())

    def test_request_whose_time_is_over_is_refused(self) -> None:
        """Guard against callers that wait to their limit for a reply."""

        async def check() -> None:
            queue = self.make_queue()
            self.free_places(queue, 10.0)
            reply = self.ask(queue, 10.0)
            self.assertFalse(reply.done())
            queue.update(10.0 + WAIT_S)
            self.assertFalse(reply.result().granted)
            self.assertGreaterEqual(reply.result().retry_after_s, MIN_RETRY_AFTER_S)
            self.assertEqual(queue.n_waiting, 0)

        run_in_virtual_time(check())

    def test_places_are_not_granted_by_reports_that_are_too_old(self) -> None:
        """Guard against a resumed home that takes long-ago reports for the present."""

        async def check() -> None:
            queue = self.make_queue()
            self.report(queue, 0, 10.0)
            reply = self.ask(queue, 10.0 + REPORT_LIFE_S, wait_s=100.0)
            self.assertFalse(reply.done())

        run_in_virtual_time(check())

    def test_idle_hosts_count_between_two_updates(self) -> None:
        """Guard against contention seen only as idle hosts are counted too late.

        Their reports expire between two updates, with all others' of that time.
        """

        async def check() -> None:
            queue = ServiceQueue(
                service="booking",
                take_snapshot=lambda: ServiceSnapshot(
                    targets=self.capacity, live_hosts=("host-0", "host-1")
                ),
                generator=random.Random(1),
                now=0.0,
            )
            idle = AdmissionReport(service="booking", host="host-1", work={})
            queue.receive_report(idle, 0.0)
            for step in range(1, 80):
                now = (step + 0.2) * UPDATE_INTERVAL_S
                queue.update(now)
                self.report(queue, SLOTS // 2, now + UPDATE_INTERVAL_S * 0.9)
                self.assertFalse(queue.is_contended, now)

        run_in_virtual_time(check())

    def test_report_of_a_host_that_stopped_reporting_is_not_renewed(self) -> None:
        """Guard against the share of a dead host, counted for longer than a report."""

        async def check() -> None:
            queue = self.make_queue()
            self.assertTrue(queue.is_contended)
            self.report(queue, 0, 10.0)
            queue.update(10.0 + 0.9 * REPORT_LIFE_S)
            state = queue._places.hosts["host-0"]
            self.assertLessEqual(state.expires_at, 10.0 + REPORT_LIFE_S)

        run_in_virtual_time(check())

    def test_retries_are_spread_while_the_rate_is_unknown(self) -> None:
        """Guard against callers that all retry at the same time."""

        async def check() -> None:
            queue = self.make_queue()
            queue._contended_since = 10.0
            replies = [self.ask(queue, 10.0) for _ in range(20)]
            queue.update(10.0 + WAIT_S)
            times = {reply.result().retry_after_s for reply in replies}
            self.assertGreater(len(times), 10)
            self.assertGreaterEqual(min(times), MIN_RETRY_AFTER_S)
            self.assertLessEqual(max(times), 2 * MIN_RETRY_AFTER_S)

        run_in_virtual_time(check())

    def test_request_without_time_to_wait_gets_a_place_that_is_free(self) -> None:
        """Guard against a stream's second attempt, refused although there is room."""

        async def check() -> None:
            queue = self.make_queue()
            reply = self.ask(queue, 10.0, wait_s=0.0)
            self.assertFalse(reply.result().granted)
            self.assertEqual(queue.n_waiting, 0)
            self.report(queue, SLOTS - 1, 10.0)
            reply = self.ask(queue, 10.0, wait_s=0.0)
            self.assertEqual(reply.result().target, "t")

        run_in_virtual_time(check())

    def test_request_larger_than_any_target_goes_on(self) -> None:
        """Guard against requests refused for ever, as no target could hold them."""

        async def check() -> None:
            reply = self.ask(self.make_queue(), 10.0, kv_tokens=KV_TOKENS + 1)
            self.assertEqual(reply.result(), PlaceReply(granted=True))
            self.capacity = {}
            queue = self.make_queue()
            self.assertEqual(self.ask(queue, 10.0).result().target, "")

        run_in_virtual_time(check())

    def test_places_at_a_target_that_ended_are_not_granted(self) -> None:
        """Guard against an ended target whose slots make a full service look free."""

        async def check() -> None:
            self.capacity["ended"] = TargetCapacity(places=SLOTS)
            queue = self.make_queue()
            self.assertFalse(queue.is_contended)
            self.report(queue, SLOTS, 10.0, unusable=("ended",))
            self.assertTrue(queue.is_contended)
            self.assertFalse(self.ask(queue, 10.0).done())
            self.report(queue, SLOTS, 10.0)
            self.assertFalse(queue.is_contended)

        run_in_virtual_time(check())

    def test_host_that_is_cut_off_alone_takes_no_target_from_others(self) -> None:
        """Guard against a service without places, as one host reaches no target."""

        async def check() -> None:
            queue = self.make_queue()
            self.report(queue, 1, 10.0)
            self.report(queue, 0, 10.0, host="host-1", unusable=("t",))
            self.assertEqual(self.ask(queue, 10.0).result().target, "t")

        run_in_virtual_time(check())

    def test_request_waits_for_the_targets_that_it_may_use(self) -> None:
        """Guard against places that are returned unused, and against a stuck queue."""

        async def check() -> None:
            self.capacity["other"] = TargetCapacity(places=SLOTS)
            queue = self.make_queue()
            first = self.ask(queue, 10.0, unusable=("other",))
            second = self.ask(queue, 10.0)
            self.assertFalse(first.done())
            self.assertEqual(second.result().target, "other")
            self.report(queue, SLOTS - 1, 10.0)
            self.assertEqual(first.result().target, "t")

        run_in_virtual_time(check())

    def test_waiting_requests_are_bounded(self) -> None:
        """Guard against a queue that grows with its load."""

        async def check() -> None:
            queue = self.make_queue()
            queue._contended_since = 10.0
            replies = [self.ask(queue, 10.0) for _ in range(MAX_WAITING + 5)]
            self.assertEqual(queue.n_waiting, MAX_WAITING)
            self.assertEqual(sum(item.done() for item in replies), 5)
            self.assertEqual(queue.count_waiting(), {"school": MAX_WAITING})

        run_in_virtual_time(check())

    def test_contention_ends_later_than_it_begins(self) -> None:
        """Guard against a service that is contended and not with each request."""

        async def check() -> None:
            queue = self.make_queue()
            self.assertTrue(queue.is_contended)
            for n_requests, is_contended in (
                (7, True),
                (6, True),
                (5, False),
                (6, False),
                (7, True),
            ):
                self.report(queue, n_requests, 10.0)
                self.assertIs(queue.is_contended, is_contended, n_requests)

        run_in_virtual_time(check())


if __name__ == "__main__":
    unittest.main()
