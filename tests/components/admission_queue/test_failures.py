"""Test what callers get when a part of the admission queue fails, a row each."""

import asyncio
import unittest
from unittest import mock

from tests.components.admission_queue.failure_case import N_ASKING, FailureCase
from tests.components.admission_queue.fleet import (
    N_SLOTS,
    SERVICE,
    SLOTS,
    AdmissionFleet,
    count_places,
)
from trefoilstage.components.admission_queue import client as client_module
from trefoilstage.components.admission_queue.home import AdmissionHome
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceRequest,
    ServiceState,
)
from trefoilstage.components.admission_queue.own_work import (
    Place,
)
from trefoilstage.components.admission_queue.places import REPORT_LIFE_S
from trefoilstage.components.peers.frames import ErrorReply
from trefoilstage.helpers.events import Event


class OtherFailureTest(FailureCase):
    """Let hosts, targets, the store and messages fail."""

    def test_places_of_a_dead_host_are_granted_again(self) -> None:
        """Guard against slots lost with the hosts that used them."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            for dead in others[1:N_ASKING]:
                await fleet.kill(dead)
            await asyncio.sleep(REPORT_LIFE_S + 0.3)
            left = fleet.clients[others[0]]._services[SERVICE].work
            n_left = sum(use.n_requests for use in left.values())
            queue = fleet.homes[home]._queues[SERVICE]
            taken = sum(use.n_requests for use in queue._places.taken.values())
            self.assertEqual(taken, n_left)
            self.assertLess(taken, N_SLOTS)

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_place_that_never_arrived_expires(self) -> None:
        """Guard against a slot lost with a host that died before it was sent."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            request = fleet.make_request(others[0])
            self.end_sent()
            await asyncio.sleep(0.2)
            queue = fleet.homes[home]._queues[SERVICE]
            now = asyncio.get_running_loop().time()
            self.assertTrue(queue.add(request, now).done())
            self.assertEqual(len(queue._places.taken), 1)
            await asyncio.sleep(REPORT_LIFE_S + 0.1)
            self.assertEqual(queue._places.taken, {})

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_places_end_with_their_target(self) -> None:
        """Guard against places at a target that has ended."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            ended = fleet.targets[0]
            for board in fleet.boards.values():
                board.targets.remove_incarnation(ended)
            self.end_sent()
            await asyncio.sleep(0.2)
            await fleet.fill(others[:N_ASKING])
            self.assertTrue(fleet.homes[home]._queues[SERVICE].is_contended)
            answers = await fleet.ask_all(others[:N_ASKING])
            targets = {item.target for item in answers if isinstance(item, Place)}
            self.assertNotIn(ended.incarnation, targets)
            capacity = fleet.homes[home]._queues[SERVICE]._places.capacity
            self.assertEqual(sum(item.places for item in capacity.values()), 2 * SLOTS)

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_caller_that_leaves_frees_its_place_in_the_queue(self) -> None:
        """Guard against places granted to callers that are gone."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            asking = [
                asyncio.create_task(fleet.ask(name)) for name in others[:N_ASKING]
            ]
            await asyncio.sleep(0.05)
            queue = fleet.homes[home]._queues[SERVICE]
            self.assertGreater(queue.n_waiting, 0)
            for task in asking:
                task.cancel()
            await asyncio.sleep(0.02)
            self.assertEqual(queue.n_waiting, 0)
            self.end_sent()
            await asyncio.sleep(0.25)
            self.assertEqual(queue._places.taken, {})

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_request_names_the_targets_that_it_may_not_use(self) -> None:
        """Guard against places at a target that the asking host has ejected."""

        async def check(fleet: AdmissionFleet) -> None:
            host = fleet.list_others()[0]
            ejected, tried, left = (item.incarnation for item in fleet.targets)
            fleet.unusable[host] = frozenset({ejected})
            self.end_sent()
            state = fleet.make_state()
            state.excluded.add(tried)
            answer = await fleet.clients[host].acquire(state)
            assert isinstance(answer, Place)
            self.assertEqual(answer.target, left)

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_nothing_here_uses_the_store(self) -> None:
        """Guard against a queue that stops with the store."""

        async def check(fleet: AdmissionFleet) -> None:
            for board in fleet.boards.values():
                board.store.out_of_reach = True
            self.end_sent(N_ASKING)
            answers = await fleet.ask_all(fleet.list_others()[:N_ASKING])
            self.assertEqual(count_places(answers), len(answers))

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_unreadable_reply_lets_the_request_go_on(self) -> None:
        """Guard against callers refused because a host does not understand another."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()

            async def reply(_: PlaceRequest) -> ServiceState:
                return ServiceState(contended=True)

            fleet.network.servers[home].register(PlaceRequest, reply)
            with mock.patch.object(client_module, "log_event") as log_event:
                self.assertIsNone(await fleet.ask(others[0]))
            self.assertEqual(
                [call.args[0] for call in log_event.call_args_list],
                [Event.ADMISSION_FAILED],
            )

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)

    def test_unreadable_report_lets_requests_go_on(self) -> None:
        """Guard against hosts that end, or refuse callers, when reports fail."""

        async def check(fleet: AdmissionFleet) -> None:
            async def fail(_: AdmissionReport) -> ErrorReply:
                raise ValueError("no such report")

            async def reply(_: AdmissionReport) -> ErrorReply:
                return ErrorReply(detail="no such call")

            for handler in (fail, reply):
                for server in fleet.network.servers.values():
                    server.register(AdmissionReport, handler)
                with mock.patch.object(AdmissionHome, "receive_report", handler):
                    await asyncio.sleep(2.0)
                    answers = await fleet.ask_all(fleet.list_others()[:N_ASKING])
                self.assertEqual(set(answers), {None})
                for client in fleet.clients.values():
                    self.assertFalse(client.crashed)

        for n_hosts in (3, 40):
            self.run_with(n_hosts, check)


if __name__ == "__main__":
    unittest.main()
