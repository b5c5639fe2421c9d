"""Run an emulated day with engines, hosts, callers and faults."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from bench.emulator.attempts import get_first_id
from bench.emulator.callers import Caller, Outcome, RequestSampler
from bench.emulator.clock import run_in_virtual_time
from bench.emulator.crashing_requests import CrashingRequests, CrashTimes
from bench.emulator.engine import EngineTotals
from bench.emulator.host import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    RESTART_S,
    EmulatedHost,
    StoredObjects,
)
from bench.emulator.links import TargetLinks
from bench.emulator.network import Network, SharedStore
from bench.emulator.resuming_callers import ResumingCaller
from bench.emulator.routes import compute_mean_tokens, make_route
from bench.emulator.scenario import Fault, FaultKind, Kind, Scenario
from bench.emulator.sender import EmulatedProbe, EmulatedSender
from bench.emulator.target_faults import TARGET_FAULT_HANDLERS, TargetFaults
from bench.emulator.targets import (
    ASSISTANT,
    BOOKING,
    BYTES_PER_MEGABIT,
    DATA_CENTERS,
    EmulatedTargets,
    get_data_center,
    sample_share,
)
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    Engine,
    FleetConfiguration,
    TargetEntry,
    TargetService,
    Workspace,
)
from trefoilstage.components.views.store import Topic

WARM_UP_S = 3.0  # hosts exchange heartbeats before the first request
SETTLE_S = 12.0  # the last requests get their answers


@dataclass(kw_only=True, slots=True)
class DayResult:
    """Describe the outcomes of an emulated day and the work that it took."""

    outcomes: list[Outcome] = field(default_factory=list)
    engine_totals: EngineTotals = field(default_factory=EngineTotals)
    n_crashes: int = 0  # caused by crashing requests
    crashing_parts: dict[str, CrashTimes] = field(default_factory=dict)
    n_store_calls: int = 0
    n_messages: int = 0
    # Times of requests that reached each engine while it was cold.
    cold_arrivals: dict[str, list[float]] = field(default_factory=dict)
    # Times of requests that reached each target while its limit was binding.
    limited_arrivals: dict[str, list[float]] = field(default_factory=dict)
    # Most requests from one host in one rest, by target.
    disturbances: dict[str, int] = field(default_factory=dict)
    n_crash_reports: int = 0  # known to the host that knows most
    falls: dict[str, int] = field(default_factory=dict)  # of brittle targets
    cut_hosts: set[str] = field(default_factory=set)  # from the targets, at any time


class World:
    """Run one emulated day."""

    def __init__(self, *, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._generator = random.Random(seed)
        self._request_sampler = RequestSampler(generator=random.Random(seed + 1))
        self._network = Network()
        self._links = TargetLinks()
        self._shared_store = SharedStore()
        self._configurations: dict[bytes, FleetConfiguration] = {}
        self._entries: dict[bytes, TargetEntry] = {}
        self._traffic_factor = 1.0
        self._hot_workspace: str = ""
        self._hot_workspace_factor = 1.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._favoured_hosts: list[EmulatedHost] = []
        self._crashing = CrashingRequests(
            kinds=scenario.kinds,
            sampler=self._request_sampler,
            generator=self._generator,
            make_caller=self._make_crashing_caller,
            start_task=self._start_task,
        )
        self.day = DayResult()

    async def run_day(self) -> DayResult:
        """Run the whole day and return its outcomes and totals."""
        self._targets = EmulatedTargets(
            scenario=self._scenario,
            generator=self._generator,
            shared_store=self._shared_store,
            entries=self._entries,
        )
        self._target_faults = TargetFaults(
            targets=self._targets, start_task=self._start_task
        )
        await self._publish_configuration()
        await self._start_hosts()
        self._start_task(self._targets.register_all())
        await asyncio.sleep(WARM_UP_S)
        self._traffic_started_at = asyncio.get_running_loop().time()
        for fault in self._scenario.faults:
            self._start_task(self._run_fault(fault))
        callers = [self._send_requests(kind) for kind in self._scenario.kinds]
        await asyncio.gather(*callers)
        await asyncio.sleep(SETTLE_S)
        self._collect_totals()
        return self.day

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _publish_configuration(self) -> None:
        scenario = self._scenario
        self._routes = {kind.name: make_route(kind) for kind in scenario.kinds}
        self._workspaces = self._make_workspaces()
        configuration = FleetConfiguration(
            version=1,
            routes=tuple(self._routes.values()),
            services={
                ASSISTANT: TargetService(
                    name=ASSISTANT,
                    health_path="/",
                    max_connections=370,
                    engine=Engine(
                        slots=scenario.engines.slots,
                        kv_tokens=scenario.engines.kv_tokens,
                        tokens_per_event=5,
                        kv_bytes_per_token=scenario.engines.kv_bytes,
                        transfer_bytes_per_s=BYTES_PER_MEGABIT
                        * scenario.engines.link_mbps,
                    ),
                    cold_s=scenario.engines.cold_s,
                    cold_requests_per_s=scenario.engines.cold_requests_per_s,
                ),
                BOOKING: TargetService(
                    name=BOOKING, health_path="/", max_connections=110
                ),
            },
            workspaces=self._workspaces,
        )
        self._configurations[b"1"] = configuration
        await self._shared_store.store.put(Topic.CONFIGURATION, CONFIGURATION_KEY, b"1")

    def _make_workspaces(self) -> dict[str, Workspace]:
        """Return workspaces; the n-th has 1/n of the first one's traffic and budget."""
        n = self._scenario.n_workspaces
        self._workspace_weights = {
            f"ws-{number}": 1 / (number + 1) for number in range(n)
        }
        weights = sum(self._workspace_weights.values())
        per_s = sum(
            kind.per_s * compute_mean_tokens(kind) for kind in self._scenario.kinds
        )
        total = per_s * self._scenario.duration_s * self._scenario.budget_factor
        return {
            name: Workspace(
                name=name,
                priority=None,
                prepaid_tokens=int(total * weight / weights),
            )
            for name, weight in self._workspace_weights.items()
        }

    async def _start_hosts(self) -> None:
        stored_objects = StoredObjects(
            configurations=self._configurations, entries=self._entries
        )
        self._hosts = [
            EmulatedHost(
                name=f"host-{number}",
                network=self._network,
                shared_store=self._shared_store,
                stored_objects=stored_objects,
                sender=self._make_sender(f"host-{number}"),
                probe=EmulatedProbe(
                    host=f"host-{number}",
                    links=self._links,
                    find_target=self._targets.by_name.get,
                ),
                has_admission_queue=self._scenario.has_admission_queue,
            )
            for number in range(self._scenario.n_hosts)
        ]
        for host in self._hosts:
            await host.start()

    def _make_sender(self, host: str) -> EmulatedSender:
        return EmulatedSender(
            host=host,
            links=self._links,
            find_target=self._targets.by_name.get,
            get_n_output_tokens=lambda request: (
                self._request_sampler.n_output_tokens_by_request[
                    get_first_id(request.request_id)
                ]
            ),
            on_arrival=self._crashing.record_arrival,
            on_start=self._crashing.crash_if_crashing,
        )

    def _make_crashing_caller(self, kind: Kind, request: CallerRequest) -> Caller:
        return Caller(
            kind=kind,
            route=self._routes[kind.name],
            workspace=next(iter(self._workspaces.values())),
            request=request,
            hosts=self._hosts,
            favoured_hosts=self._favoured_hosts,
            generator=self._generator,
        )

    async def _send_requests(self, kind: Kind) -> None:
        loop = asyncio.get_running_loop()
        ends_at = self._traffic_started_at + self._scenario.duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(
                self._generator.expovariate(kind.per_s * self._traffic_factor)
            )
            self._start_task(self._send_request(kind))

    async def _send_request(self, kind: Kind) -> None:
        resumes = self._scenario.callers_resume and kind.resumable
        caller = (ResumingCaller if resumes else Caller)(
            kind=kind,
            route=self._routes[kind.name],
            workspace=self._sample_workspace(),
            request=self._request_sampler.sample_request(kind),
            hosts=self._hosts,
            favoured_hosts=self._favoured_hosts,
            generator=self._generator,
        )
        self.day.outcomes.append(await caller.run())

    def _sample_workspace(self) -> Workspace:
        names = list(self._workspace_weights)
        weights = [
            weight
            * (self._hot_workspace_factor if name == self._hot_workspace else 1.0)
            for name, weight in self._workspace_weights.items()
        ]
        return self._workspaces[self._generator.choices(names, weights=weights)[0]]

    async def _run_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        handler = TARGET_FAULT_HANDLERS.get(fault.kind)
        if handler is not None:
            await handler(self._target_faults, fault)
        else:
            await FAULT_HANDLERS[fault.kind](self, fault)

    async def _cut_store(self, fault: Fault) -> None:
        cut = self._sample_hosts(fault.share)
        self._shared_store.cut_hosts.update(host.name for host in cut)
        await asyncio.sleep(fault.for_s)
        self._shared_store.cut_hosts.difference_update(host.name for host in cut)

    async def _cut_from_targets(self, fault: Fault) -> None:
        cut = [host.name for host in self._sample_hosts(fault.share)]
        self.day.cut_hosts.update(cut)
        for name in cut:
            self._links.cut(name, fault.mode, fault.targets)
        await asyncio.sleep(fault.for_s)
        for name in cut:
            self._links.heal(name)

    async def _favour_host(self, fault: Fault) -> None:
        self._favoured_hosts += self._sample_hosts(fault.share)
        await asyncio.sleep(fault.for_s)
        self._favoured_hosts.clear()

    async def _slow_store(self, fault: Fault) -> None:
        self._shared_store.delay_factor = fault.factor
        await asyncio.sleep(fault.for_s)
        self._shared_store.delay_factor = 1.0

    async def _kill_hosts(self, fault: Fault) -> None:
        loses_power = fault.kind is FaultKind.POWER_LOST
        killed = self._sample_hosts(fault.share)
        for host in killed:
            await host.kill(loses_power=loses_power)
        await asyncio.sleep(fault.for_s + RESTART_S)
        for host in killed:
            await host.start()

    async def _repeat_crashing_request(self, fault: Fault) -> None:
        await self._crashing.repeat_request(fault)

    async def _repeat_crashing_part(self, fault: Fault) -> None:
        await self._crashing.repeat_part(fault)

    async def _evacuate(self, fault: Fault) -> None:
        key = f"{EVACUATION_PREFIX}{DATA_CENTERS[0]}"
        store = self._shared_store
        await store.store.put(Topic.CONFIGURATION, key, b"{}")
        store.notify_change(Topic.CONFIGURATION)
        await asyncio.sleep(fault.for_s)
        for number, engine in enumerate(self._targets.engines):
            if get_data_center(number) == DATA_CENTERS[0]:
                self._targets.turn_cold(engine)
        await store.store.put(Topic.CONFIGURATION, key, None)
        store.notify_change(Topic.CONFIGURATION)

    async def _raise_traffic(self, fault: Fault) -> None:
        self._traffic_factor = fault.factor
        await asyncio.sleep(fault.for_s)
        self._traffic_factor = 1.0

    async def _raise_workspace_traffic(self, fault: Fault) -> None:
        self._hot_workspace = next(iter(self._workspace_weights))
        self._hot_workspace_factor = fault.factor
        await asyncio.sleep(fault.for_s)
        self._hot_workspace = ""

    def _sample_hosts(self, share: float) -> list[EmulatedHost]:
        return sample_share(self._generator, self._hosts, share)

    def _collect_totals(self) -> None:
        totals = self.day.engine_totals
        for engine in self._targets.engines:
            totals.n_prefilled += engine.totals.n_prefilled
            totals.n_prefilled_again += engine.totals.n_prefilled_again
            totals.n_found_in_cache += engine.totals.n_found_in_cache
            totals.n_preempted += engine.totals.n_preempted
            totals.n_fetched += engine.totals.n_fetched
            totals.n_fetches += engine.totals.n_fetches
            totals.n_empty_fetches += engine.totals.n_empty_fetches
            self.day.cold_arrivals[engine.name] = engine.cold_arrivals
        for target in self._targets.by_name.values():
            self.day.limited_arrivals[target.name] = target.limit.arrivals
            self.day.falls[target.name] = target.brittleness.n_falls
            self.day.disturbances[target.name] = target.refusals.max_disturbances
        self.day.n_crashes = self._crashing.n_crashes
        self.day.crashing_parts = self._crashing.times_by_part
        self.day.n_crash_reports = max(host.n_crash_reports for host in self._hosts)
        self.day.n_store_calls = self._shared_store.n_calls
        self.day.n_messages = self._network.n_messages


FAULT_HANDLERS: dict[FaultKind, Callable[[World, Fault], Coroutine[Any, Any, None]]] = {
    FaultKind.STORE_CUT: World._cut_store,
    FaultKind.STORE_SLOW: World._slow_store,
    FaultKind.HOSTS_KILLED: World._kill_hosts,
    FaultKind.POWER_LOST: World._kill_hosts,
    FaultKind.HOST_FAVOURED: World._favour_host,
    FaultKind.BURST: World._raise_traffic,
    FaultKind.HOT_WORKSPACE: World._raise_workspace_traffic,
    FaultKind.EVACUATION: World._evacuate,
    FaultKind.HOSTS_CUT_FROM_TARGETS: World._cut_from_targets,
    FaultKind.CRASHING_REQUEST: World._repeat_crashing_request,
    FaultKind.CRASHING_PART: World._repeat_crashing_part,
}


def run_day(scenario: Scenario, seed: int) -> DayResult:
    """Run a scenario in virtual time; the same seed gives the same day."""

    async def main() -> DayResult:
        return await World(scenario=scenario, seed=seed).run_day()

    return run_in_virtual_time(main())
