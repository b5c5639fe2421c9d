"""Random faults, injected into a fleet from outside its processes."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins.platform import COLD_S
from standins.proxy import CutMode, FaultRule
from tests.promises.fleet import PlatformFleet

TARGET_FAULT_WEIGHT = 5
TARGET_FAULTS = (
    "break_after",
    "break_after",
    "refuse",
    "fail",
    "event_interval_s",
    "unframed_reset",
)
EVENT_INTERVAL_S = 0.05  # of a stream without a fault
EVACUATED_DATA_CENTER = "lorient"
EVACUATED_TARGET = 2  # its number
EVACUATION_S = 7.0
# Longer than a host that is cut from the store takes to ask its peers.
COLD_DOWN_S = 3.0
# A target names its limit for this long before the limit binds all hosts.
LIMIT_LEARNING_S = 3.0
LIMIT_PER_S = 1.0
REST_S = 2.0
REMOVAL_S = 7.0
Fault = Callable[[], Awaitable[None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Period:
    """Describe when something held, by the steady clock."""

    start: float
    end: float


@dataclass(kw_only=True, slots=True)
class Faults:
    """Inject random faults, and undo each after a random time."""

    fleet: PlatformFleet
    generator: random.Random
    configuration_version: int = 1
    fault_names: list[str] = field(default_factory=list)
    # Hosts that a fault stops or pauses; any other host must not exit.
    reserved_hosts: set[str] = field(default_factory=set)
    is_restoring: bool = False
    is_evacuated: bool = False
    evacuations: list[Period] = field(default_factory=list)
    is_cold: bool = False
    cold_periods: list[Period] = field(default_factory=list)
    # Of targets, by incarnation, whose limit all hosts should know.
    limited_periods: dict[str, Period] = field(default_factory=dict)
    resting_targets: set[str] = field(default_factory=set)
    # Injected in addition to the faults of all seeds.
    more_faults: list[Fault] = field(default_factory=list)
    pauses: list[Period] = field(default_factory=list)
    # When targets, by number, were not listed.
    removals: list[tuple[int, Period]] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Inject faults one after another; they may overlap."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + duration_s
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < deadline:
            tasks.append(asyncio.create_task(self._inject()))
            await asyncio.sleep(self.generator.uniform(0.2, 1.2))
        await asyncio.gather(*tasks)

    async def _inject(self) -> None:
        faults: list[Fault] = [
            self._kill,
            self._terminate,
            self._pause,
            self._cut_from_store,
            self._lose_store_answers,
            self._slow_store,
            self._refuse_store_calls,
            self._cut_from_targets,
            self._restore_store,
            # Targets fail more often than hosts, and most requests that are wrongly
            # sent twice are sent after a target's failure.
            *[self._break_target] * TARGET_FAULT_WEIGHT,
            self._drain_target,
            self._top_up,
            self._evacuate,
            self._return_cold,
            self._name_limit,
            self._ask_for_rest,
            *self.more_faults,
        ]
        fault = self.generator.choice(faults)
        self.fault_names.append(getattr(fault, "__name__", ""))
        await fault()

    def _pick_host(self) -> str | None:
        """Reserve and return a host that no other fault has reserved."""
        names = sorted(self.fleet.hosts.keys() - self.reserved_hosts)
        if not names:
            return None
        name = self.generator.choice(names)
        self.reserved_hosts.add(name)
        return name

    async def _wait_randomly(self, longest_s: float) -> None:
        await asyncio.sleep(self.generator.uniform(0.1, longest_s))

    async def _kill(self) -> None:
        name = self._pick_host()
        if name is not None:
            await self.fleet.kill(name)
            await self._wait_randomly(1.0)
            await self._restart(name)

    async def _terminate(self) -> None:
        name = self._pick_host()
        if name is None:
            return
        host = self.fleet.hosts[name]
        host.process.send_signal(signal.SIGTERM)
        # Callers continue to use the host until its process has exited.
        await host.process.wait()
        await self.fleet.kill(name)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await self.fleet.start_host(name)
        self.reserved_hosts.discard(name)

    async def _pause(self) -> None:
        name = self._pick_host()
        if name is not None:
            host = self.fleet.hosts[name]
            host.process.send_signal(signal.SIGSTOP)
            began_at = time.monotonic()
            await self._wait_randomly(2.0)
            self.pauses.append(Period(start=began_at, end=time.monotonic()))
            host.process.send_signal(signal.SIGCONT)
            self.reserved_hosts.discard(name)

    async def _apply_to_store_proxy(self, rule: FaultRule, longest_s: float) -> None:
        proxy = self.fleet.proxies[self.generator.choice(sorted(self.fleet.proxies))]
        proxy.rules["127.0.0.1"] = rule
        await self._wait_randomly(longest_s)
        proxy.heal()

    async def _cut_from_store(self) -> None:
        one_way = self.generator.random() < 0.5
        await self._apply_to_store_proxy(
            FaultRule(hold_answers=True, hold_requests=not one_way), 3.0
        )

    async def _lose_store_answers(self) -> None:
        await self._apply_to_store_proxy(
            FaultRule(lose_answers=self.generator.randrange(1, 6)), 1.0
        )

    async def _slow_store(self) -> None:
        await self._apply_to_store_proxy(
            FaultRule(delay_s=self.generator.uniform(0.05, 0.5)), 2.0
        )

    async def _refuse_store_calls(self, longest_s: float = 3.0) -> None:
        store_servers = [host.store_server for host in self.fleet.hosts.values()]
        for store_server in store_servers:
            store_server.is_refusing = True
        await self._wait_randomly(longest_s)
        for store_server in store_servers:
            store_server.is_refusing = False

    async def _cut_from_targets(self) -> None:
        """Cut some hosts, at times all, from all targets."""
        names = sorted(self.fleet.hosts.keys() - self.fleet.cut_hosts)
        cut = self.generator.sample(names, self.generator.randint(0, len(names)))
        mode = self.generator.choice(list(CutMode))
        for name in cut:
            await self.fleet.cut_from_targets(name, mode)
        await self._wait_randomly(4.0)
        for name in cut:
            await self.fleet.reconnect_to_targets(name)

    async def _restore_store(self) -> None:
        """Let the store come back from an older copy.

        What the operators and the targets wrote is written again.
        """
        if self.is_restoring:
            return
        self.is_restoring = True
        copy = self.fleet.store.make_copy()
        await self._wait_randomly(3.0)
        await self._refuse_store_calls(1.0)
        self.fleet.store.restore(copy)
        await self.fleet.write_configuration(self.configuration_version)
        if self.is_evacuated:
            await self.fleet.evacuate(EVACUATED_DATA_CENTER)
        else:
            await self.fleet.end_evacuation(EVACUATED_DATA_CENTER)
        for number in range(self.fleet.n_targets):
            await self.fleet.write_target(number)
        self.is_restoring = False

    async def _break_target(self) -> None:
        target = self.generator.choice(self.fleet.targets)
        fault = self.generator.choice(TARGET_FAULTS)
        value = {"break_after": 2, "event_interval_s": 0.3}.get(fault, True)
        usual = {"break_after": None, "event_interval_s": EVENT_INTERVAL_S}
        setattr(target, fault, value)
        await self._wait_randomly(2.0)
        setattr(target, fault, usual.get(fault, False))

    async def _drain_target(self) -> None:
        number = self.generator.randrange(self.fleet.n_targets)
        await self.fleet.write_target(number, state="draining")
        await self._wait_randomly(2.0)
        await self.fleet.write_target(number)

    async def _evacuate(self) -> None:
        if self.is_evacuated:
            return
        self.is_evacuated = True
        await self.fleet.evacuate(EVACUATED_DATA_CENTER)
        began_at = time.monotonic()
        await asyncio.sleep(EVACUATION_S)
        self.evacuations.append(Period(start=began_at, end=time.monotonic()))
        await self.fleet.end_evacuation(EVACUATED_DATA_CENTER)
        self.is_evacuated = False

    async def _return_cold(self) -> None:
        """Take all targets down, and let them return together, cold."""
        if self.is_cold:
            return
        self.is_cold = True
        returns_at = time.monotonic() + COLD_DOWN_S
        cold_until = returns_at + COLD_S
        for number in range(self.fleet.n_targets):
            self.fleet.cold_until[number] = cold_until
            self.fleet.targets[number].refuse = True
            await self.fleet.write_target(number)
        await asyncio.sleep(max(0.0, returns_at - time.monotonic()))
        for target in self.fleet.targets:
            target.refuse = False
        await asyncio.sleep(max(0.0, cold_until - time.monotonic()))
        self.cold_periods.append(Period(start=returns_at, end=cold_until))
        self.is_cold = False

    async def _name_limit(self) -> None:
        """Let a target name a limit in its answers."""
        target = self.generator.choice(self.fleet.targets)
        if target.incarnation in self.limited_periods:
            return
        binds_at = time.monotonic() + LIMIT_LEARNING_S
        self.limited_periods[target.incarnation] = Period(start=binds_at, end=binds_at)
        target.headers["Server-Limit"] = str(LIMIT_PER_S)
        await asyncio.sleep(LIMIT_LEARNING_S + self.generator.uniform(2.0, 5.0))
        period = Period(start=binds_at, end=time.monotonic())
        self.limited_periods[target.incarnation] = period
        del target.headers["Server-Limit"]

    async def _ask_for_rest(self) -> None:
        """Let a target turn all requests away and ask for rest."""
        target = self.generator.choice(self.fleet.targets)
        if target.name in self.resting_targets:
            return
        self.resting_targets.add(target.name)
        target.headers["Retry-After"] = str(REST_S)
        target.refuse = True
        await self._wait_randomly(4.0)
        target.refuse = False
        del target.headers["Retry-After"]
        self.resting_targets.discard(target.name)

    async def break_source(self) -> None:
        """Restart a target, which then keeps no prefix, or let it answer nothing."""
        target = self.generator.choice(self.fleet.targets)
        if target.crash is not None and self.generator.random() < 0.5:
            await target.crash()
            return
        target.is_mute = True
        await self._wait_randomly(2.0)
        target.is_mute = False

    async def remove_source(self) -> None:
        """Remove a target's entry for a time; the target itself goes on."""
        number = self.generator.randrange(self.fleet.n_targets)
        if number in self.fleet.unlisted_targets:
            return
        self.fleet.unlisted_targets.add(number)
        await self.fleet.write_target(number)
        began_at = time.monotonic()
        await asyncio.sleep(REMOVAL_S)
        self.removals.append((number, Period(start=began_at, end=time.monotonic())))
        self.fleet.unlisted_targets.discard(number)
        await self.fleet.write_target(number)

    async def _top_up(self) -> None:
        self.configuration_version += 1
        self.fleet.prepaid += self.generator.randrange(500, 3_000)
        await self.fleet.write_configuration(self.configuration_version)
