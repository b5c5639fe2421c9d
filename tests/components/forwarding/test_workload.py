"""Test that hosts know each other's work at the targets, in small and large fleets."""

import unittest
from typing import Any
from unittest import mock

import cbor2

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from tests.components.forwarding.common import make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.heard_work import (
    MAX_REPORT_AGE_S,
    MAX_TOTALS_AGE_S,
)
from trefoilstage.components.forwarding.messages import WorkQuery, WorkReport
from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.placement import (
    MAX_CANDIDATES,
    PromptNeed,
)
from trefoilstage.components.forwarding.targets import TargetChooser
from trefoilstage.components.forwarding.work import Work
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.peers.round_trips import N_CALLS
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError


class Network:
    """Carry messages between workload controllers, and count them."""

    def __init__(self, n_hosts: int) -> None:
        self.timer = ManualTimer()
        self.names = [f"host-{number}" for number in range(n_hosts)]
        self.workloads = {name: self.make(name) for name in self.names}
        self.down: set[str] = set()
        self.n_reports = 0

    def make(self, name: str) -> WorkloadController:
        """Return the controller of one host that has heard all others."""
        workload = WorkloadController(
            board=make_board(name, self.names),
            links=self,  # type: ignore[arg-type]
            server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
            timer=self.timer,
        )
        workload.add_future = self.run_now  # type: ignore[assignment,method-assign]
        self.waiting: list[Any] = []
        return workload

    def list_target(self, name: str) -> None:
        """List a target at all hosts."""
        for workload in self.workloads.values():
            workload._board.targets.add(make_target(name))

    def run_now(self, coroutine: Any) -> Any:
        """Keep what a controller starts, to run it within the test."""
        self.waiting.append(coroutine)
        return coroutine

    def get_link(self, url: str) -> "Link":
        """Return a link to a host."""
        return Link(network=self, name=url)

    async def report(self, name: str) -> None:
        """Let a host report its changes, and deliver them."""
        await self.workloads[name]._report()
        while self.waiting:
            await self.waiting.pop()


class RecordedQueries:
    """Note which targets a chooser of a large fleet asks about."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.asked: list[list[str]] = []
        board = make_board("host-0", [f"host-{number}" for number in range(20)])
        for number in range(30):
            board.targets.add(make_target(f"i-{number}"))
        workload = mock.Mock()
        workload.query_homes = self.query_homes
        workload.get_work.side_effect = lambda name: work
        workload.get_prefill_speed.return_value = 60_000.0
        workload.count_cached.return_value = 0
        self.chooser = TargetChooser(
            board=board,
            membership=mock.Mock(),
            settings=mock.Mock(),
            timer=ManualTimer(),
            workload=workload,
        )

    async def query_homes(self, targets: list[str], _: object) -> dict[str, int]:
        """Note what is asked about; nobody has anything in memory."""
        self.asked.append(targets)
        return {}

    async def ask(self) -> list[int]:
        """Return how many targets are asked about for one prompt, call by call."""
        need = PromptNeed(subject="dossier", n_tokens=12_000, objective_s=0.8)
        await self.chooser.query_candidates("assistant", need, ())
        return [len(names) for names in self.asked]


class FullLinkTest(unittest.IsolatedAsyncioTestCase):
    """Test what a host of a large fleet learns of targets over a full link."""

    async def ask(self, trip_s: float) -> float:
        """Return how long a host waits for an answer about a target's work."""
        board = make_board("host-0", [f"host-{number}" for number in range(20)])
        timer = ManualTimer()
        for _ in range(N_CALLS):
            board.round_trips.note_answer(trip_s, timer.now())
        link = mock.Mock()
        link.call = mock.AsyncMock(side_effect=PeerUnavailableError("gone"))
        links = mock.Mock()
        links.get_link.return_value = link
        workload = WorkloadController(
            board=board, links=links, server=mock.Mock(), timer=timer
        )
        names = [f"i-{number}" for number in range(3)]
        await workload.query_homes(names, ())
        calls = link.call.await_args_list
        return float(max(call.kwargs["timeout_s"] for call in calls))

    async def test_answers_are_waited_for_as_long_as_the_hold_takes(self) -> None:
        """Ask over a link on which each call takes 0.3 s.

        Given up after 0.05 s, the busiest hosts of a fleet chose targets without
        knowing of any work but their own.
        """
        self.assertGreater(await self.ask(0.3), 0.3)

    async def test_answers_are_soon_given_up_on_a_link_with_room(self) -> None:
        self.assertEqual(await self.ask(0.002), 0.05)


class OutdatedCandidateInfoTest(unittest.TestCase):
    """Test when a host of a large fleet asks about targets once more."""

    def should_ask(self, *, n_hosts: int, trip_s: float, age_s: float) -> bool:
        """Return whether to ask again over a link, some time after the last answer."""
        network = Network(n_hosts)
        workload = network.workloads["host-0"]
        board = workload._board
        for _ in range(N_CALLS):
            board.round_trips.note_answer(trip_s, 0.0)
        chooser = TargetChooser(
            board=board,
            membership=mock.Mock(),
            settings=mock.Mock(),
            timer=network.timer,
            workload=workload,
        )
        network.timer.time = age_s
        return chooser.should_query_again(0.0)

    def test_old_answers_are_asked_for_again(self) -> None:
        self.assertTrue(self.should_ask(n_hosts=66, trip_s=0.002, age_s=1.0))
        self.assertFalse(self.should_ask(n_hosts=66, trip_s=0.002, age_s=0.1))

    def test_small_fleet_knows_without_asking(self) -> None:
        self.assertFalse(self.should_ask(n_hosts=7, trip_s=0.002, age_s=1.0))

    def test_full_link_is_not_loaded_further(self) -> None:
        """Guard against late prompts that wait for one more answer on a full link."""
        self.assertFalse(self.should_ask(n_hosts=66, trip_s=0.4, age_s=1.0))


class OlderHostTest(unittest.TestCase):
    """Test what a host takes from one of an older version."""

    def test_report_without_memory_counts_none(self) -> None:
        """Guard against reports that are refused while a fleet is being replaced."""
        report = WorkReport(host="host-1", work={"i-1": Work(n_requests=2)})
        wire = cbor2.loads(
            FLEET_CODEC.encode(Frame(number=1, reply=False, body=report))
        )
        del wire["body"]["work"]["i-1"]["held_tokens"]
        decoded = FLEET_CODEC.decode(cbor2.dumps(wire)).body
        self.assertEqual(decoded, report)


class CandidateQueryTest(unittest.IsolatedAsyncioTestCase):
    """Test how many targets are asked about for a prompt."""

    async def test_few_targets_are_asked_in_a_large_fleet(self) -> None:
        self.assertEqual(await RecordedQueries(Work()).ask(), [3])

    async def test_more_targets_are_asked_while_a_prompt_would_be_late(self) -> None:
        """Let 60,000 tokens wait at each target; reading them takes 1 s."""
        queries = RecordedQueries(Work(prompt_tokens=60_000))
        self.assertEqual(await queries.ask(), [3, 3, 6, 12])
        names = [name for call in queries.asked for name in call]
        self.assertEqual(len(set(names)), MAX_CANDIDATES)

    async def test_more_targets_are_asked_while_those_known_are_full(self) -> None:
        """Guard against a subject that waits for three targets while others idle."""
        queries = RecordedQueries(Work(n_requests=make_target("i-0").slots))
        self.assertEqual(await queries.ask(), [3, 3, 6, 12])


class Link:
    """Deliver messages to one host."""

    def __init__(self, *, network: Network, name: str) -> None:
        self.network = network
        self.name = name

    async def tell(self, message: WorkReport, *, timeout_s: float) -> None:
        """Deliver a report."""
        self.network.n_reports += 1
        await self.network.workloads[self.name]._receive_report(message)

    async def call(self, message: WorkQuery, *, timeout_s: float) -> Any:
        """Deliver a question and return its answer."""
        if self.name in self.network.down:
            raise PeerUnavailableError("down")
        return await self.network.workloads[self.name]._answer_query(message)


class WorkloadTest(unittest.IsolatedAsyncioTestCase):
    """Test what one host knows of the others' work."""

    async def test_small_fleet_tells_all(self) -> None:
        network = Network(7)
        network.workloads["host-0"].adjust_work("i-1", n_requests=1, prompt_tokens=900)
        await network.report("host-0")
        self.assertEqual(network.n_reports, 6)
        work = network.workloads["host-3"].get_work("i-1")
        self.assertEqual((work.n_requests, work.prompt_tokens), (1, 900))

    async def test_large_fleet_asks_the_gathering_host(self) -> None:
        """Let two of 66 hosts send prompts to one target; a third asks before it does.

        Each tells one host only, and the third learns of both. Told to all, the
        reports of 66 hosts took more than their processors had.
        """
        network = Network(66)
        for name in ("host-0", "host-1"):
            network.workloads[name].adjust_work("i-1", n_requests=1, prompt_tokens=900)
            await network.report(name)
        self.assertLessEqual(network.n_reports, 2)
        asking = network.workloads["host-2"]
        await asking.query_homes(["i-1"], ())
        work = asking.get_work("i-1")
        self.assertEqual((work.n_requests, work.prompt_tokens), (2, 1_800))

    async def test_ended_work_is_told_too(self) -> None:
        """End a request; the next host to ask must not count it any more."""
        network = Network(66)
        own = network.workloads["host-0"]
        own.adjust_work("i-1", n_requests=1, prompt_tokens=900)
        await network.report("host-0")
        own.adjust_work("i-1", n_requests=-1, prompt_tokens=-900)
        await network.report("host-0")
        asking = network.workloads["host-2"]
        await asking.query_homes(["i-1"], ())
        self.assertEqual(asking.get_work("i-1").n_requests, 0)

    async def test_prompts_are_known_to_all_of_a_small_fleet(self) -> None:
        """Send a prompt from one host; another finds its parts kept at the target."""
        network = Network(7)
        prompt = (PromptPart(name="dossier", n_tokens=900),)
        network.list_target("i-1")
        network.workloads["host-0"].add_prompt("i-1@0", 10_000, prompt)
        await network.report("host-0")
        await network.report("host-3")
        self.assertEqual(network.workloads["host-3"].count_cached("i-1@0", prompt), 900)

    async def test_gathering_host_tells_what_a_target_keeps(self) -> None:
        """Send a prompt from one of 66 hosts; another asks before it sends its own."""
        network = Network(66)
        prompt = (PromptPart(name="dossier", n_tokens=900),)
        network.list_target("i-1")
        network.workloads["host-0"].add_prompt("i-1@0", 10_000, prompt)
        await network.report("host-0")
        kept = await network.workloads["host-2"].query_homes(["i-1@0"], prompt)
        self.assertEqual(kept.get("i-1@0"), 900)

    async def test_long_request_is_known_while_it_runs(self) -> None:
        """Guard against targets that look idle 1.5 s after their last request came."""
        for n_hosts in (7, 66):
            network = Network(n_hosts)
            network.workloads["host-0"].adjust_work(
                "i-1", n_requests=1, held_tokens=17_000
            )
            for _ in range(20):
                network.timer.time += 0.1
                await network.report("host-0")
            asking = network.workloads["host-2"]
            await asking.query_homes(["i-1"], ())
            self.assertEqual(asking.get_work("i-1").held_tokens, 17_000, n_hosts)

    async def test_hosts_and_targets_that_are_gone_are_forgotten(self) -> None:
        """Guard against memory that grows with each replaced host and target."""
        network = Network(66)
        workload = network.workloads["host-2"]
        for number in range(100):
            network.timer.time += 0.02
            work = {f"i-1@{number}": Work(n_requests=1)}
            await workload._receive_report(WorkReport(host=f"new-{number}", work=work))
            await workload.query_homes(list(work), ())
            await network.report("host-2")
        network.timer.time += MAX_REPORT_AGE_S + MAX_TOTALS_AGE_S
        await network.report("host-2")
        self.assertEqual(workload._peer_work.reports, {})
        self.assertEqual(workload._home_totals.totals, {})

    async def test_silent_gathering_host_holds_nothing_up(self) -> None:
        """Ask a host that does not answer; the choice goes by own work."""
        network = Network(66)
        asking = network.workloads["host-2"]
        asking.adjust_work("i-1", n_requests=1)
        network.down = set(network.names)
        await asking.query_homes(["i-1"], ())
        self.assertEqual(asking.get_work("i-1").n_requests, 1)


if __name__ == "__main__":
    unittest.main()
