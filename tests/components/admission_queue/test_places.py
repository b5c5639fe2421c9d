"""Test what the home of a service knows of the places that are taken."""

import random
import unittest
from heapq import heappop, heappush
from itertools import count

from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.components.admission_queue.places import (
    GRANT_LIFE_S,
    PENDING_S,
    REPORT_LIFE_S,
    PlaceTable,
    TargetCapacity,
)

ONE = PlaceUse(n_requests=1)
TARGETS = dict.fromkeys(("a", "b", "c"), TargetCapacity(places=6))
N_SLOTS = 18
CALL_S = 0.09
DELAY_S = 0.01


class FullFleet:
    """Emulate hosts that always want places, with messages that are late or lost."""

    def __init__(self, *, n_hosts: int, loss: float) -> None:
        self.table = PlaceTable(capacity=TARGETS)
        self.hosts = [f"host-{number}" for number in range(n_hosts)]
        self.loss = loss
        self.running: dict[str, tuple[str, str]] = {}
        self.events: list[tuple[float, int, str, tuple[str, ...]]] = []
        self.n_started = self.most_running = 0
        self._generator = random.Random(n_hosts)
        self._number = count()

    def run(self, until: float) -> None:
        """Let hosts report each 0.1 s, and run calls until a given time."""
        for number, host in enumerate(self.hosts):
            self._plan(0.1 * number / len(self.hosts), "report", host)
        while self.events:
            now, _, kind, arguments = heappop(self.events)
            getattr(self, f"_{kind}")(now, *arguments)
            while now < until and (target := self.table.find_room(0)) is not None:
                self._grant(now, target)

    def _plan(self, time: float, kind: str, *arguments: str, loss: float = 0.0) -> None:
        if self._generator.random() >= loss:
            heappush(self.events, (time, next(self._number), kind, arguments))

    def _grant(self, now: float, target: str) -> None:
        host, name = self._generator.choice(self.hosts), str(next(self._number))
        self.table.grant(name, host, target, ONE, now)
        self._plan(now + DELAY_S, "start", name, host, target, loss=self.loss)

    def _start(self, now: float, name: str, host: str, target: str) -> None:
        self.running[name] = (host, target)
        self.n_started += 1
        self.most_running = max(self.most_running, len(self.running))
        self._plan(now + CALL_S, "end", name)

    def _end(self, now: float, name: str) -> None:
        del self.running[name]
        self._plan(now + DELAY_S, "release", name, loss=self.loss)

    def _release(self, now: float, name: str) -> None:
        self.table.release(name, now)

    def _report(self, now: float, host: str) -> None:
        held = {name: at for name, (by, at) in self.running.items() if by == host}
        self._plan(now + DELAY_S, "receive", host, *held, *held.values())
        if now < 10.0:
            self._plan(now + 0.1, "report", host)

    def _receive(self, now: float, host: str, *held: str) -> None:
        names, targets = held[: len(held) // 2], held[len(held) // 2 :]
        work = {at: PlaceUse(n_requests=targets.count(at)) for at in targets}
        self.table.receive_report(host, work, now, places=names)


class PlaceTableTest(unittest.TestCase):
    """Test what is counted as taken, and the room that is left."""

    def setUp(self) -> None:
        """Create the table of three targets."""
        self.table = PlaceTable(capacity=TARGETS)

    def count_taken(self, target: str = "a") -> int:
        """Return the taken slots of a target."""
        return self.table.taken.get(target, PlaceUse()).n_requests

    def report(
        self, n_requests: int, now: float, places: tuple[str, ...] | None = ()
    ) -> None:
        """Report the work of host h at target a."""
        work = {"a": PlaceUse(n_requests=n_requests)}
        self.table.receive_report("h", work, now, places=places)

    def test_requests_of_late_and_lost_messages_count_once(self) -> None:
        """Guard against grants that reports count again, or hide, in 3 and 400 hosts.

        Targets must never get more than they have slots, and lose few calls to what
        counts for longer than it runs. What lost messages leave must expire.
        """
        for n_hosts, loss, used in ((3, 0.0, 0.99), (400, 0.0, 0.99), (67, 0.02, 0.7)):
            fleet = FullFleet(n_hosts=n_hosts, loss=loss)
            fleet.run(until=8.0)
            self.assertEqual(fleet.most_running, N_SLOTS)
            possible = 8.0 * N_SLOTS / (CALL_S + 2 * DELAY_S)
            self.assertGreater(fleet.n_started, used * possible)
            self.assertEqual(fleet.table.get_load(10.0 + REPORT_LIFE_S), 0.0)

    def test_report_contains_the_places_that_it_lists(self) -> None:
        self.table.grant("r", "h", "a", ONE, 0.0)
        self.report(2, 0.01)  # sent before the grant arrived
        self.assertEqual(self.count_taken(), 3)
        self.report(3, 0.1, ("r",))
        self.assertEqual(self.count_taken(), 3)
        self.table.release("r", 0.15)
        self.assertEqual(self.count_taken(), 2)
        self.report(3, 0.16, ("r",))  # sent before the release
        self.report(2, 0.3)
        self.assertEqual(self.count_taken(), 2)

    def test_report_without_a_list_contains_older_places(self) -> None:
        self.table.grant("r", "h", "a", ONE, 0.0)
        self.report(0, PENDING_S / 2, None)
        self.assertEqual(self.count_taken(), 1)
        self.report(1, PENDING_S, None)
        self.assertEqual(self.count_taken(), 1)

    def test_work_and_places_of_a_host_that_died_expire(self) -> None:
        """Also those that a home knew before it was suspended."""
        self.report(2, 0.0)
        self.table.grant("r", "h", "b", ONE, 0.5)
        self.table.expire(REPORT_LIFE_S - 0.01)
        self.assertEqual((self.count_taken("a"), self.count_taken("b")), (2, 1))
        self.table.expire(REPORT_LIFE_S)
        self.assertEqual((self.count_taken("a"), self.count_taken("b")), (0, 1))
        self.table.expire(0.5 + GRANT_LIFE_S)
        self.assertEqual((self.table.taken, self.table.hosts), ({}, {}))

    def test_places_end_with_the_incarnation_of_their_target(self) -> None:
        """Guard against a restarted target that stays full of its earlier work."""
        self.report(6, 0.0)
        self.table.set_capacity({"a2": TargetCapacity(places=6)})
        self.assertEqual((self.table.get_load(0.0), self.table.find_room(0)), (0, "a2"))

    def test_two_homes_together_grant_no_more_than_the_capacity(self) -> None:
        """Guard against twice the load while hosts disagree on which are live."""
        for n_hosts, n_first in [(4, 1), *((67, n_first) for n_first in range(68))]:
            hosts = [f"host-{number}" for number in range(n_hosts)]
            granted = 0
            for group in (hosts[:n_first], hosts[n_first:]):
                table = PlaceTable(capacity=TARGETS)
                table.set_live_hosts(hosts)
                for host in group:
                    table.receive_report(host, {}, 0.0)
                while (target := table.find_room(0)) is not None:
                    table.grant(str(granted), "host-0", target, ONE, 0.0)
                    granted += 1
            self.assertLessEqual(granted, N_SLOTS)
            self.assertGreaterEqual(granted, N_SLOTS - len(TARGETS))

    def test_room_load_and_rate_follow_slots_and_kv_tokens(self) -> None:
        small, big = (TargetCapacity(places=4, kv_tokens=n) for n in (100, 200))
        self.table.set_capacity({"a": small, "b": big})
        self.assertEqual([self.table.can_hold(n) for n in (200, 201)], [True, False])
        use = PlaceUse(n_requests=1, kv_tokens=150)
        self.table.grant("r", "h", "b", use, 0.0)
        self.assertEqual(self.table.get_load(0.0), 0.5)
        self.assertEqual(self.table.find_room(80), "a")
        self.assertIsNone(self.table.find_room(101))
        # Only b can ever hold what waits, although a has more free memory.
        self.assertEqual(self.table.find_room(40, reserved_for=150), "a")
        self.assertEqual(self.table.find_room(40, reserved_for=90), "b")
        self.table.release("r", 1.0)
        self.table.release("r", 1.0)
        self.assertEqual(self.table.get_freed_per_s(1.5), 0.5)
        self.assertEqual(self.table.get_freed_per_s(3.0), 0.0)
