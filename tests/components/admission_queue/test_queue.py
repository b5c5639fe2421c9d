"""Test the order in which requests get places under the loads it is made for."""

import random
import unittest
from collections import defaultdict
from heapq import heappop, heappush

from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.places import PlaceTable, TargetCapacity
from trefoilstage.components.admission_queue.queue import FairQueue, WaitingRequest

CALL_S = 0.09
CALL_WAIT_S = 0.4
CALL_TARGETS = dict.fromkeys(("a", "b", "c"), TargetCapacity(places=6))
ENGINES = dict.fromkeys(("a", "b"), TargetCapacity(places=64, kv_tokens=10_000))
SMALL_TOKENS = 500
LARGE_TOKENS = 9_000
RUN_S = 1.0


def make_request(
    request_id: str,
    workspace: str = "w",
    *,
    urgency: int = 5,
    kv_tokens: int = 0,
    now: float = 0.0,
    wait_s: float = 100.0,
) -> WaitingRequest:
    """Return a request that arrives at `now`."""
    return WaitingRequest(
        request_id=request_id,
        host="host-0",
        workspace=workspace,
        urgency=urgency,
        kv_tokens=kv_tokens,
        queued_at=now,
        wait_until=now + wait_s,
    )


def serve(
    targets: dict[str, TargetCapacity], arrivals: list[WaitingRequest], run_s: float
) -> dict[str, float]:
    """Serve requests at targets, and return the waits of those served, by request."""
    queue, table = FairQueue(max_length=1_000), PlaceTable(capacity=targets)
    waits: dict[str, float] = {}
    running: list[tuple[float, str]] = []
    pending = sorted(arrivals, key=lambda item: item.queued_at, reverse=True)
    while pending or running:
        if running and (not pending or running[0][0] <= pending[-1].queued_at):
            now, ended = heappop(running)
            table.release(ended, now)
        else:
            now = pending[-1].queued_at
            queue.add(pending.pop(), now)
        queue.expire(now)
        while popped := queue.pop_next(
            lambda item: table.find_room(item.kv_tokens, queue.reserved_kv_tokens), now
        ):
            request, target = popped
            use = PlaceUse(n_requests=1, kv_tokens=request.kv_tokens)
            table.grant(request.request_id, request.host, target, use, now)
            waits[request.request_id] = now - request.queued_at
            heappush(running, (now + run_s, request.request_id))
    return waits


def make_arrivals(rates: dict[str, float], seconds: float) -> list[WaitingRequest]:
    """Return calls that arrive at random with a rate by workspace."""
    arrivals: list[WaitingRequest] = []
    for workspace, rate in rates.items():
        generator, now = random.Random(workspace), 0.0
        while (now := now + generator.expovariate(rate)) < seconds:
            name = f"{workspace} {len(arrivals)}"
            arrivals.append(make_request(name, workspace, now=now, wait_s=CALL_WAIT_S))
    return arrivals


def pop_all(queue: FairQueue, now: float = 0.0) -> list[str]:
    """Return the waiting requests in the order in which they get places."""
    popped = iter(lambda: queue.pop_next(lambda _: "a", now), None)
    return [request.request_id for request, _ in popped]


class LoadTest(unittest.TestCase):
    """Serve whole loads."""

    def test_eight_times_the_usual_load_of_one_workspace_delays_no_other(self) -> None:
        """Guard against a workspace whose load makes the others' calls late."""
        usual = dict.fromkeys(("p", "q", "r", "hot"), 22.5)
        waits: dict[float, dict[str, list[float]]] = {}
        for factor in (1.0, 8.0):
            arrivals = make_arrivals({**usual, "hot": 22.5 * factor}, 20.0)
            waits[factor] = defaultdict(list)
            for name, wait_s in serve(CALL_TARGETS, arrivals, CALL_S).items():
                waits[factor][name.split()[0]].append(wait_s)
        for workspace in ("p", "q", "r"):
            before, after = waits[1.0][workspace], waits[8.0][workspace]
            self.assertEqual(len(after), len(before))
            self.assertLess(max(after), CALL_S)
        # It gets all that the others leave: 200 calls a second less 67.5.
        self.assertGreater(len(waits[8.0]["hot"]), 20.0 * 0.95 * (200.0 - 67.5))

    def test_large_requests_among_small_ones_are_served_within_a_bound(self) -> None:
        """Guard against small requests that take all memory that becomes free.

        The small ones are 1.25 times what the targets hold. The room for a large one
        frees within a run. In the workspace of small ones, it also waits for those that
        arrived before it.
        """
        for workspace, bound_s in (("large", RUN_S), ("x", 2.0 * RUN_S)):
            arrivals = [
                make_request(str(i), "xy"[i % 2], kv_tokens=SMALL_TOKENS, now=i / 50)
                for i in range(400)
            ]
            large = make_request("L", workspace, kv_tokens=LARGE_TOKENS, now=2.0)
            waits = serve(ENGINES, [*arrivals, large], RUN_S)
            self.assertLess(waits["L"], bound_s)


class FairQueueTest(unittest.TestCase):
    """Test single rules of the order."""

    def test_more_urgent_requests_go_first_then_shares_then_arrival(self) -> None:
        queue = FairQueue(max_length=10)
        for name in ("a1", "a2", "a3", "b1"):
            queue.add(make_request(name, name[0]), 0.0)
        queue.add(make_request("a9", "a", urgency=9), 0.0)
        queue.add(make_request("a0", "a", urgency=0), 0.0)
        self.assertEqual(pop_all(queue), ["a0", "a1", "b1", "a2", "a3", "a9"])

    def test_idle_workspace_has_no_credit_for_the_time_it_was_idle(self) -> None:
        queue = FairQueue(max_length=100)
        for number in range(20):
            queue.add(make_request(f"a{number}", "a"), 0.0)
        for _ in range(15):
            queue.pop_next(lambda _: "t", 0.0)
        for number in range(4):
            queue.add(make_request(f"b{number}", "b"), 0.0)
        self.assertEqual(pop_all(queue)[:6], ["b0", "a15", "b1", "a16", "b2", "a17"])

    def test_request_without_room_lets_smaller_ones_pass_and_stays_first(self) -> None:
        """Guard against large requests that the use of their workspace puts off."""
        queue = FairQueue(max_length=10)
        for name, kv_tokens in (("large", 900), ("small", 100), ("small 2", 100)):
            queue.add(make_request(name, "w", kv_tokens=kv_tokens), 0.0)
        for name in ("small", "small 2"):
            popped = queue.pop_next(
                lambda item: "a" * (item.kv_tokens < 900) or None, 0
            )
            self.assertEqual(popped and popped[0].request_id, name)
            self.assertEqual(queue.reserved_kv_tokens, 900)
        queue.add(make_request("other", "other", kv_tokens=100), 0.0)
        self.assertEqual(pop_all(queue), ["large", "other"])

    def test_workspace_that_waits_with_one_request_at_a_time_has_its_share(
        self,
    ) -> None:
        """Guard against use that is forgotten, or counted in requests for tokens."""
        queue, order = FairQueue(max_length=10), ""
        for number in range(9):
            queue.add(make_request(f"b{number}", "b", kv_tokens=100), 0.0)
        for _ in range(8):
            queue.add(make_request("a", "a", kv_tokens=300), 0.0)
            popped = queue.pop_next(lambda _: "t", 0.0)
            order += popped[0].workspace if popped else ""
        self.assertEqual(order, "babbbabb")

    def test_full_queue_refuses_the_newest_of_the_workspace_with_most(self) -> None:
        """Guard against a workspace that pushes the others out of the queue."""
        queue = FairQueue(max_length=3)
        names = ("a1", "b1", "a2", "b2", "c1")
        refused = [queue.add(make_request(name, name[0]), 0.0) for name in names]
        self.assertEqual(
            [[item.request_id for item in items] for items in refused],
            [[], [], [], ["b2"], ["a2"]],
        )

    def test_requests_that_left_or_waited_too_long_get_no_place(self) -> None:
        """Guard against places for callers that have gone, and a head that blocks."""
        queue = FairQueue(max_length=10)
        for name, wait_s in (("late", 1.0), ("left", 9.0), ("next", 9.0)):
            queue.add(make_request(name, name, kv_tokens=9, wait_s=wait_s), 0.0)
        self.assertIsNone(queue.pop_next(lambda _: None, 0.5))
        queue.remove("left")
        self.assertEqual(pop_all(queue, 2.0), ["next"])
        self.assertEqual([item.request_id for item in queue.expire(2.0)], ["late"])
        self.assertEqual((len(queue), queue.count_waiting()), (0, {}))

    def test_estimated_wait_is_that_of_the_requests_ahead(self) -> None:
        """Guard against refusals because of another workspace's requests."""
        queue = FairQueue(max_length=100)
        for number in range(20):
            queue.add(make_request(f"a{number}", "a"), 0.0)
        estimates = [
            queue.estimate_wait_s(make_request("new", workspace), 10.0, 0.0)
            for workspace in ("a", "b")
        ]
        self.assertEqual(estimates, [2.1, 0.2])
        urgent = make_request("new", "a", urgency=4)
        self.assertEqual(queue.estimate_wait_s(urgent, 0.0, 0.0), 2.0)
