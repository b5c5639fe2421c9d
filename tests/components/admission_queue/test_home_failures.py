"""Test what callers get when the home of an admission queue fails."""

import asyncio
import unittest
from unittest import mock

from tests.components.admission_queue.failure_case import (
    FLEET_SIZES,
    N_ASKING,
    FailureCase,
)
from tests.components.admission_queue.fleet import (
    DEADLINE_S,
    SERVICE,
    AdmissionFleet,
    count_places,
)
from trefoilstage.components.admission_queue import client as client_module
from trefoilstage.components.admission_queue.own_work import (
    IDLE_REPEAT_INTERVAL_S,
    Place,
)
from trefoilstage.components.admission_queue.places import REPORT_LIFE_S
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.verdict import Refusal


class HomeFailureTest(FailureCase):
    """Let the home of a contended service fail."""

    def test_next_home_grants_places_after_the_home_died(self) -> None:
        """Guard against callers that wait for a dead home to their limit."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            started_at = asyncio.get_running_loop().time()
            asking = asyncio.create_task(fleet.ask_all(others[:N_ASKING]))
            await asyncio.sleep(0.05)
            await fleet.kill(home)
            self.end_sent()
            answers = await asking
            took_s = asyncio.get_running_loop().time() - started_at
            self.assertLess(took_s, DEADLINE_S)
            self.check_answers(answers)
            asked = min(N_ASKING, len(others))
            self.assertEqual(count_places(answers), asked)
            self.assertEqual(list_homes(answers), {others[0]})

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_own_share_is_left_without_any_home(self) -> None:
        """Guard against callers all refused, or all sent, because no home replies."""

        async def check(fleet: AdmissionFleet) -> None:
            fleet.network.servers.clear()
            for home in fleet.homes.values():
                await home.stop()
            self.end_sent()
            asking = [name for name in fleet.list_others() if name != fleet.names[0]]
            with mock.patch.object(
                client_module.AdmissionClient, "_call_own_home", fail_call
            ):
                answers = await fleet.ask_all(
                    asking, self.n_places // 2 if len(asking) < 3 else 1
                )
            self.check_answers(answers)
            self.assertGreater(count_places(answers), 0)
            self.assertLessEqual(count_places(answers), self.n_places)
            self.assertGreater(len(answers), count_places(answers))

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_new_home_waits_for_the_reports_of_all_hosts(self) -> None:
        """Guard against a new home that takes used slots for free."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            await fleet.kill(home)
            fleet.set_live(sorted(others))
            self.end_sent(5)
            answers = await fleet.ask_all(others[:N_ASKING], 8)
            self.check_answers(answers)
            self.assertLessEqual(count_places(answers), 5)

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_new_home_takes_no_service_for_contended(self) -> None:
        """Guard against callers that wait as only few hosts have reported yet."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            self.end_sent(self.n_places - len(others[:N_ASKING]) // 2)
            await asyncio.sleep(IDLE_REPEAT_INTERVAL_S + 1.0)
            await fleet.kill(home)
            fleet.set_live(sorted(others))
            for _ in range(10):
                await asyncio.sleep(0.1)
                now = asyncio.get_running_loop().time()
                for name in others:
                    work = fleet.clients[name]._services[SERVICE]
                    self.assertFalse(work.is_contended(now))

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_hosts_report_to_a_new_home_at_once(self) -> None:
        """Guard against a home that does not know of most work."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            await fleet.kill(home)
            fleet.set_live(sorted(others))
            await asyncio.sleep(0.2)
            queue = fleet.homes[others[0]]._queues[SERVICE]
            taken = sum(use.n_requests for use in queue._places.taken.values())
            self.assertEqual(taken, self.n_places)
            self.assertEqual(len(queue._present), len(others))

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_late_replies_of_a_suspended_home_are_returned(self) -> None:
        """Guard against slots taken by places that nobody waits for any more."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            fleet.hung[home] = 1.0
            asking = asyncio.create_task(fleet.ask_all(others[:N_ASKING]))
            await asyncio.sleep(0.05)
            self.end_sent()
            # The home now gets the requests, and reports of places that are free.
            await asyncio.sleep(1.25)
            self.assertTrue(asking.done())
            queue = fleet.homes[home]._queues[SERVICE]
            hosts = queue._places.hosts.values()
            self.assertGreater(sum(len(host.grants) for host in hosts), 0)
            # The places were returned when the callers stopped waiting.
            await asyncio.sleep(0.3)
            hosts = queue._places.hosts.values()
            self.assertEqual(sum(len(host.grants) for host in hosts), 0)
            self.assertEqual(queue.n_waiting, 0)

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_resumed_home_counts_reports_only(self) -> None:
        """Guard against a home that grants by places and reports of long ago."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            self.end_sent(5)
            await asyncio.sleep(0.2)
            answers = await fleet.ask_all(others[:N_ASKING], 3)
            self.assertEqual(count_places(answers), 5)
            queue = fleet.homes[home]._queues[SERVICE]
            now = asyncio.get_running_loop().time() + REPORT_LIFE_S + 0.5
            with mock.patch.object(fleet.timers[home], "now", lambda: now):
                await fleet.homes[home]._update()
                self.assertEqual(queue._places.taken, {})
                request = fleet.make_request(others[0])
                self.assertFalse(queue.add(request, now).done())

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)

    def test_two_homes_grant_their_shares(self) -> None:
        """Guard against two homes that each grant the whole capacity."""

        async def check(fleet: AdmissionFleet) -> None:
            home, *others = fleet.rank_homes()
            # Half of the hosts don't believe that the home is live.
            apart = others[1::2]
            without_home = tuple(name for name in fleet.names if name != home)
            fleet.live.update(dict.fromkeys(apart, without_home))
            # Until the hosts without work have reported to their homes, too.
            await asyncio.sleep(IDLE_REPEAT_INTERVAL_S + 1.0)
            self.end_sent()
            asked = [*others[:40:2], *others[1:40:2]]
            answers = await fleet.ask_all(
                asked, 2 if len(asked) > self.n_places else 20
            )
            self.check_answers(answers)
            self.assertEqual(len(list_homes(answers)), 2)
            self.assertLessEqual(count_places(answers), self.n_places)

        for n_hosts in FLEET_SIZES:
            self.run_with(n_hosts, check)


class PlainTargetsTest(HomeFailureTest):
    """Let the home of a service fail whose targets run no engine."""

    has_engines = False


def list_homes(answers: list[Place | Refusal | None]) -> set[str]:
    """Return the homes that granted places."""
    return {item.home for item in answers if isinstance(item, Place)}


async def fail_call(*_: object) -> None:
    """Fail as a call to a host that is gone."""
    raise PeerUnavailableError("gone")


if __name__ == "__main__":
    unittest.main()
