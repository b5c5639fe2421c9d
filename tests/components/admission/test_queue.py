"""Test which requests wait, which are refused and when."""

import random
import unittest

from trefoilstage.components.admission.queue import Capacity, QueueTicket, WaitingQueue


def make_queue(limit: int = 4, duration_s: float = 1.0) -> WaitingQueue:
    """Return a queue for slots that each serve a request in `duration_s`."""
    return WaitingQueue(limit=limit, capacity=Capacity(mean_duration_s=duration_s))


def make_ticket(
    number: int, priority: int = 5, give_up_at: float = 100.0
) -> QueueTicket:
    """Return a ticket, by default one that may wait for long."""
    return QueueTicket(priority=priority, number=number, give_up_at=give_up_at)


class WaitingQueueTest(unittest.TestCase):
    """Test how a queue orders and refuses the tickets offered to it."""

    def test_higher_priority_goes_first_and_equals_by_arrival(self) -> None:
        queue = make_queue()
        for ticket in (make_ticket(0), make_ticket(1, 9), make_ticket(2)):
            queue.offer(ticket, 0.0, 1)
        self.assertEqual([ticket.number for ticket in queue.tickets], [1, 0, 2])

    def test_full_queue_refuses_its_lowest_or_the_new_ticket(self) -> None:
        queue = make_queue(limit=2)
        lowest = make_ticket(1, 1)
        queue.offer(make_ticket(0), 0.0, 1)
        queue.offer(lowest, 0.0, 1)
        self.assertEqual(queue.offer(make_ticket(2, 9), 0.0, 1), [lowest])
        new_ticket = make_ticket(3, 0)
        self.assertEqual(queue.offer(new_ticket, 0.0, 1), [new_ticket])

    def test_ticket_that_would_be_late_is_refused_on_arrival(self) -> None:
        queue = make_queue()
        queue.offer(make_ticket(0), 0.0, 1)
        late = make_ticket(1, give_up_at=1.5)
        self.assertEqual(queue.offer(late, 0.0, 1), [late])
        self.assertEqual(queue.offer(late, 0.0, 2), [])

    def test_overtaken_ticket_is_refused_before_its_deadline(self) -> None:
        queue = make_queue(limit=20)
        overtaken = make_ticket(0, 1, give_up_at=2.0)
        self.assertEqual(queue.offer(overtaken, 0.0, 1), [])
        refused = [
            ticket
            for number in range(1, 6)
            for ticket in queue.offer(make_ticket(number, 9), 0.0, 1)
        ]
        self.assertEqual(refused, [overtaken])

    def test_any_order_of_offers_keeps_the_best_within_the_limit(self) -> None:
        generator = random.Random(7)
        for _ in range(300):
            queue = make_queue(limit=5, duration_s=0.0)
            offered = [make_ticket(n, generator.randrange(10)) for n in range(20)]
            refused = [t for ticket in offered for t in queue.offer(ticket, 0.0, 1)]
            best = sorted(offered, key=lambda ticket: ticket.rank)[:5]
            self.assertEqual(queue.tickets, best)
            self.assertEqual(len(refused), 15)
