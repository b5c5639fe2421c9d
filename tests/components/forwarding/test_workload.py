"""Test the exchange of work at the targets in small and large fleets."""

import unittest
from typing import Any
from unittest import mock

import cbor2

from tests.components.boards import make_board
from tests.components.escrow.common import ManualTimer
from tests.components.forwarding.common import ASSISTANT, make_target
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.messages import WorkQuery, WorkReport
from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.peer_work import (
    MAX_REPORT_AGE_S,
    MAX_TOTALS_AGE_S,
)
from trefoilstage.components.forwarding.placement import (
    MAX_CANDIDATES,
    PromptNeed,
)
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.components.forwarding.work import Work
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.peers.round_trips import N_CALLS
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.exceptions import PeerUnavailableError


class Network:
    """Deliver messages between workload controllers, and count reports."""

    def __init__(self, n_hosts: int) -> None:
        self.timer = ManualTimer()
        self.names = [f"host-{number}" for number in range(n_hosts)]
        self.workloads = {name: self.make(name) for name in self.names}
        self.down: set[str] = set()
        self.n_reports = 0

    def make(self, name: str) -> WorkloadController:
        """Return the controller of one host that received all peers' heartbeats."""
        workload = WorkloadController(
            board=make_board(name, self.names),
            links=self,  # type: ignore[arg-type]
            server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
            timer=self.timer,
        )
        workload.add_future = self.queue_coroutine  # type: ignore[assignment,method-assign]
        self.queued: list[Any] = []
        return workload

    def register_target(self, name: str) -> None:
        """Register a target on all hosts."""
        for workload in self.workloads.values():
            workload._board.targets.apply_entry(make_target(name))

    def queue_coroutine(self, coroutine: Any) -> Any:
        """Queue a controller's coroutine, to run it within the test."""
        self.queued.append(coroutine)
        return coroutine

    def get_link(self, url: str) -> "Link":
        """Return a link to a host."""
        return Link(network=self, name=url)

    async def report(self, name: str) -> None:
        """Let a host report its changes, and deliver the reports."""
        await self.workloads[name]._report()
        while self.queued:
            await self.queued.pop()


class RecordedQueries:
    """Record which targets a chooser in a large fleet queries."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.queried: list[list[str]] = []
        board = make_board("host-0", [f"host-{number}" for number in range(20)])
        for number in range(30):
            board.targets.apply_entry(make_target(f"i-{number}"))
        workload = mock.Mock()
        workload.query_homes = self.query_homes
        workload.get_work.side_effect = lambda name: work
        workload.get_prefill_speed.return_value = 60_000.0
        workload.count_cached.return_value = 0
        self.timer = ManualTimer()
        self.limits = KnownLimits(board=board, timer=self.timer)
        self.chooser = TargetChooser(
            board=board,
            membership=mock.Mock(),
            settings=mock.Mock(),
            timer=self.timer,
            slots=mock.Mock(is_pooled=mock.Mock(return_value=False)),
            workload=workload,
            permits=mock.Mock(),
            limits=self.limits,
        )

    async def query_homes(self, targets: list[str], _: object) -> dict[str, int]:
        """Record the queried targets; no target has anything cached."""
        self.queried.append(targets)
        return {}

    async def query(self) -> list[int]:
        """Return the number of targets queried for one prompt, by call."""
        need = PromptNeed(subject="dossier", n_tokens=12_000, objective_s=0.8)
        await self.chooser.query_candidates(ASSISTANT, need, ())
        return [len(names) for names in self.queried]


class FreedTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Test a chooser in a large fleet whose targets are freed after the query."""

    async def test_target_that_is_free_again_is_chosen(self) -> None:
        """Guard against a refusal because no target was free when it was queried."""
        recorded = RecordedQueries(Work())
        for number in range(30):
            recorded.limits.record_answer(f"i-{number}@0", 1.0, 0.0)
        need = PromptNeed(subject="dossier", n_tokens=12_000, objective_s=0.8)
        info = await recorded.chooser.query_candidates(ASSISTANT, need, ())
        recorded.timer.time = 0.1
        for number in range(30):
            recorded.limits.record_answer(f"i-{number}@0", None, 0.1)
        target = await recorded.chooser.choose(
            target_filter=ASSISTANT,
            excluded=set(),
            need=need,
            prompt=(),
            candidate_info=info,
            request_id="r-1",
        )
        self.assertIsNotNone(target)


class FullLinkTest(unittest.IsolatedAsyncioTestCase):
    """Test the query timeout of a host in a large fleet."""

    async def query(self, round_trip_s: float) -> float:
        """Return the timeout of the queries to home hosts."""
        board = make_board("host-0", [f"host-{number}" for number in range(20)])
        timer = ManualTimer()
        for _ in range(N_CALLS):
            board.round_trips.record_reply(round_trip_s, timer.now())
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

    async def test_query_timeout_grows_with_the_round_trip(self) -> None:
        """Query over a link on which each call takes 0.3 s.

        With a timeout of 0.05 s, the busiest hosts of a fleet chose targets without
        knowing the work of their peers.
        """
        self.assertGreater(await self.query(0.3), 0.3)

    async def test_query_timeout_is_short_on_a_link_with_room(self) -> None:
        self.assertEqual(await self.query(0.002), 0.05)


class OutdatedCandidateInfoTest(unittest.TestCase):
    """Test when a host in a large fleet queries the candidates again."""

    def should_query(self, *, n_hosts: int, round_trip_s: float, age_s: float) -> bool:
        """Return whether a host queries again, `age_s` after the last query."""
        network = Network(n_hosts)
        workload = network.workloads["host-0"]
        board = workload._board
        for _ in range(N_CALLS):
            board.round_trips.record_reply(round_trip_s, 0.0)
        chooser = TargetChooser(
            board=board,
            membership=mock.Mock(),
            settings=mock.Mock(),
            timer=network.timer,
            slots=mock.Mock(is_pooled=mock.Mock(return_value=False)),
            workload=workload,
            permits=mock.Mock(),
            limits=KnownLimits(board=board, timer=ManualTimer()),
        )
        network.timer.time = age_s
        return chooser.should_query_again(0.0)

    def test_outdated_information_is_queried_again(self) -> None:
        self.assertTrue(self.should_query(n_hosts=66, round_trip_s=0.002, age_s=1.0))
        self.assertFalse(self.should_query(n_hosts=66, round_trip_s=0.002, age_s=0.1))

    def test_small_fleet_needs_no_query(self) -> None:
        self.assertFalse(self.should_query(n_hosts=7, round_trip_s=0.002, age_s=1.0))

    def test_full_link_gets_no_more_queries(self) -> None:
        """Guard against late prompts that wait for another reply on a full link."""
        self.assertFalse(self.should_query(n_hosts=66, round_trip_s=0.4, age_s=1.0))


class OlderHostTest(unittest.TestCase):
    """Test reports from a host of an older version."""

    def test_report_without_held_tokens_counts_none(self) -> None:
        """Guard against reports that are rejected during a rolling upgrade."""
        report = WorkReport(host="host-1", work={"i-1": Work(n_requests=2)})
        wire = cbor2.loads(
            FLEET_CODEC.encode(Frame(number=1, reply=False, body=report))
        )
        del wire["body"]["work"]["i-1"]["held_tokens"]
        decoded = FLEET_CODEC.decode(cbor2.dumps(wire)).body
        self.assertEqual(decoded, report)


class CandidateQueryTest(unittest.IsolatedAsyncioTestCase):
    """Test how many targets are queried for a prompt."""

    async def test_few_targets_are_queried_at_first(self) -> None:
        self.assertEqual(await RecordedQueries(Work()).query(), [3])

    async def test_more_targets_are_queried_while_a_prompt_would_be_late(self) -> None:
        """Let each target have 60,000 tokens queued, 1 s of prefill."""
        queries = RecordedQueries(Work(prompt_tokens=60_000))
        self.assertEqual(await queries.query(), [3, 3, 6, 12])
        names = [name for call in queries.queried for name in call]
        self.assertEqual(len(set(names)), MAX_CANDIDATES)

    async def test_more_targets_are_queried_while_known_ones_are_full(self) -> None:
        """Guard against requests that wait for three targets while others are idle."""
        queries = RecordedQueries(Work(n_requests=make_target("i-0").slots))
        self.assertEqual(await queries.query(), [3, 3, 6, 12])


class Link:
    """Deliver messages to one host."""

    def __init__(self, *, network: Network, name: str) -> None:
        self.network = network
        self.name = name

    async def send(self, message: WorkReport, *, timeout_s: float) -> None:
        """Deliver a report."""
        self.network.n_reports += 1
        await self.network.workloads[self.name]._receive_report(message)

    async def call(self, message: WorkQuery, *, timeout_s: float) -> Any:
        """Deliver a query and return the reply."""
        if self.name in self.network.down:
            raise PeerUnavailableError("down")
        return await self.network.workloads[self.name]._answer_query(message)


class WorkloadTest(unittest.IsolatedAsyncioTestCase):
    """Test what one host knows about its peers' work."""

    async def test_small_fleet_reports_to_all_peers(self) -> None:
        network = Network(7)
        network.workloads["host-0"].adjust_work("i-1", n_requests=1, prompt_tokens=900)
        await network.report("host-0")
        self.assertEqual(network.n_reports, 6)
        work = network.workloads["host-3"].get_work("i-1")
        self.assertEqual((work.n_requests, work.prompt_tokens), (1, 900))

    async def test_large_fleet_queries_the_home(self) -> None:
        """Let two of 66 hosts send prompts to one target; a third queries its home.

        Each host reports to the home only, and the third host gets the work of both.
        When 66 hosts reported to all peers, the reports exceeded their processor time.
        """
        network = Network(66)
        for name in ("host-0", "host-1"):
            network.workloads[name].adjust_work("i-1", n_requests=1, prompt_tokens=900)
            await network.report(name)
        self.assertLessEqual(network.n_reports, 2)
        peer = network.workloads["host-2"]
        await peer.query_homes(["i-1"], ())
        work = peer.get_work("i-1")
        self.assertEqual((work.n_requests, work.prompt_tokens), (2, 1_800))

    async def test_ended_work_is_reported(self) -> None:
        """End a request; the next host that queries must not count it."""
        network = Network(66)
        own = network.workloads["host-0"]
        own.adjust_work("i-1", n_requests=1, prompt_tokens=900)
        await network.report("host-0")
        own.adjust_work("i-1", n_requests=-1, prompt_tokens=-900)
        await network.report("host-0")
        peer = network.workloads["host-2"]
        await peer.query_homes(["i-1"], ())
        self.assertEqual(peer.get_work("i-1").n_requests, 0)

    async def test_prompts_are_reported_to_all_peers_of_a_small_fleet(self) -> None:
        """Send a prompt from one host; a peer counts its parts as cached."""
        network = Network(7)
        prompt = (PromptPart(name="dossier", n_tokens=900),)
        network.register_target("i-1")
        network.workloads["host-0"].add_prompt("i-1@0", 10_000, prompt)
        await network.report("host-0")
        await network.report("host-3")
        self.assertEqual(network.workloads["host-3"].count_cached("i-1@0", prompt), 900)

    async def test_home_returns_cached_tokens(self) -> None:
        """Send a prompt from one of 66 hosts; a peer queries the target's home."""
        network = Network(66)
        prompt = (PromptPart(name="dossier", n_tokens=900),)
        network.register_target("i-1")
        network.workloads["host-0"].add_prompt("i-1@0", 10_000, prompt)
        await network.report("host-0")
        cached_tokens = await network.workloads["host-2"].query_homes(["i-1@0"], prompt)
        self.assertEqual(cached_tokens.get("i-1@0"), 900)

    async def test_recent_prompts_of_all_hosts_are_counted(self) -> None:
        """Send two prompts from each of three hosts; they count for a second."""
        prompt = (PromptPart(name="dossier", n_tokens=900),)
        for n_hosts in (7, 66):
            network = Network(n_hosts)
            network.register_target("i-1")
            for name in ("host-0", "host-1", "host-2"):
                for _ in range(2):
                    network.workloads[name].add_prompt("i-1@0", 10_000, prompt)
                await network.report(name)
            for name in ("host-2", "host-5"):
                workload = network.workloads[name]
                await workload.query_homes(["i-1@0"], ())
                self.assertEqual(workload.count_recent("i-1@0"), 6, (n_hosts, name))
            network.timer.time += 1.1
            self.assertEqual(network.workloads["host-2"].count_recent("i-1@0"), 0)

    async def test_long_request_counts_while_it_runs(self) -> None:
        """Guard against targets that look idle 1.5 s after their last new request."""
        for n_hosts in (7, 66):
            network = Network(n_hosts)
            network.workloads["host-0"].adjust_work(
                "i-1", n_requests=1, held_tokens=17_000
            )
            for _ in range(20):
                network.timer.time += 0.1
                await network.report("host-0")
            peer = network.workloads["host-2"]
            await peer.query_homes(["i-1"], ())
            self.assertEqual(peer.get_work("i-1").held_tokens, 17_000, n_hosts)

    async def test_data_of_ended_hosts_and_targets_is_removed(self) -> None:
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

    async def test_home_that_does_not_respond_is_ignored(self) -> None:
        """Query a host that does not respond; the host's own work still counts."""
        network = Network(66)
        peer = network.workloads["host-2"]
        peer.adjust_work("i-1", n_requests=1)
        network.down = set(network.names)
        await peer.query_homes(["i-1"], ())
        self.assertEqual(peer.get_work("i-1").n_requests, 1)


if __name__ == "__main__":
    unittest.main()
